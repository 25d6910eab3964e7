#include "src/process/fetch-page.h"

#include "src/process/http-limits.h"

#include <swiftloft/result.h>

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace swiftloft::process {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

asio::awaitable<std::string> fetchPage(asio::io_context& ioContext, asio::ip::tcp::endpoint server, std::string target, TimePoint deadline)
{
    constexpr unsigned httpVersion11 = 11;
    beast::tcp_stream stream(ioContext);
    stream.expires_at(deadline);
    co_await stream.async_connect(server, asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::get, target, httpVersion11);
    request.keep_alive(false);
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buf(maxUnparsedBytes);
    http::response<http::string_body> response;
    co_await http::async_read(stream, buf, response, asio::use_awaitable);
    if (response.result() != http::status::ok)
        throw Exception({ ErrorCode::Refused, fmt::format("{} answered {}", target, response.result_int()) });
    co_return std::move(response.body());
}

} // namespace swiftloft::process
