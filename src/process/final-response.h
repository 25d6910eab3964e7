#pragma once

#include "src/process/response-head.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <memory>

/// Reading of responses that interim ones may precede.
namespace swiftloft::process {

/// Bounds of a final response, in bytes.
struct ResponseBounds {
    std::uint32_t maxHeaderBytes { 8192 };
    /// None for a body that its reader bounds.
    boost::optional<std::uint64_t> maxBodyBytes;
};

/// Reads the head of the final response to a request, past all interim ones, and returns its parser. Throws
/// `boost::system::system_error` if the connection fails, or if a head is not valid.
template <typename Body>
boost::asio::awaitable<std::unique_ptr<boost::beast::http::response_parser<Body>>> readFinalHead(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, ResponseBounds bounds)
{
    namespace http = boost::beast::http;
    for (int n = 0; n <= maxInterimResponses; ++n) {
        auto parser = std::make_unique<http::response_parser<Body>>();
        parser->header_limit(bounds.maxHeaderBytes);
        parser->body_limit(bounds.maxBodyBytes);
        co_await http::async_read_header(stream, buffer, *parser, boost::asio::use_awaitable);
        if (auto ec = checkResponseHead(parser->get().base()))
            throw boost::system::system_error(ec);
        if (!isInterim(parser->get().result_int()))
            co_return parser;
    }
    throw boost::system::system_error(http::error::header_limit);
}

} // namespace swiftloft::process
