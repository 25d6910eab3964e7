#include "src/replay/http-client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>

namespace swiftloft::replay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr seconds fetchLimit { 5 };
constexpr std::uint64_t longestAnswer = 256ull * 1024 * 1024;
constexpr unsigned http11 = 11;

tcp::endpoint toEndpoint(const std::string& address)
{
    auto colon = address.rfind(':');
    boost::system::error_code ec;
    auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    std::uint16_t port = 0;
    if (colon != std::string::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return { ip, port };
}

bool isStillOpen(beast::tcp_stream& stream)
{
    boost::system::error_code ec;
    char byte;
    stream.socket().non_blocking(true, ec);
    stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
}

} // namespace

HttpClient::HttpClient(asio::io_context& io)
    : m_io(io)
{
}

std::unique_ptr<HttpClient::Stream> HttpClient::takeIdle(const std::string& address)
{
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (isStillOpen(*stream))
            return stream;
    }
    return nullptr;
}

awaitable<std::unique_ptr<HttpClient::Stream>> HttpClient::connect(const std::string& address, TimePoint deadline)
{
    auto stream = std::make_unique<Stream>(m_io);
    stream->expires_at(deadline);
    boost::system::error_code ec;
    co_await stream->async_connect(toEndpoint(address), asio::redirect_error(use_awaitable, ec));
    if (ec)
        co_return nullptr;
    stream->socket().set_option(tcp::no_delay(true), ec);
    co_return stream;
}

awaitable<ExchangeResult> HttpClient::exchange(std::string address, std::shared_ptr<HttpRequest> request, TimePoint deadline, OnBody onBody)
{
    ExchangeResult result;
    auto stream = takeIdle(address);
    if (!stream)
        stream = co_await connect(address, deadline);
    if (!stream) {
        result.failure = "no connection to " + address;
        result.doneAt = Clock::now();
        co_return result;
    }
    stream->expires_at(deadline);
    result.end = ExchangeEnd::Cut;
    try {
        co_await http::async_write(*stream, *request, use_awaitable);
        auto keepsAlive = co_await readAnswer(*stream, result, onBody);
        result.end = ExchangeEnd::Whole;
        if (keepsAlive) {
            stream->expires_never();
            m_idle[address].push_back(std::move(stream));
        }
    } catch (const boost::system::system_error& error) {
        result.failure = error.code().message();
        if (error.code() == beast::error::timeout)
            result.end = ExchangeEnd::TimedOut;
    }
    result.doneAt = Clock::now();
    co_return result;
}

awaitable<bool> HttpClient::readAnswer(Stream& stream, ExchangeResult& result, const OnBody& onBody)
{
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(longestAnswer);
    co_await http::async_read_header(stream, buf, parser, use_awaitable);
    result.firstByteAt = Clock::now();
    result.head = parser.get().base();
    std::size_t seen = 0;
    while (!parser.is_done()) {
        boost::system::error_code ec;
        co_await http::async_read_some(stream, buf, parser, boost::asio::redirect_error(use_awaitable, ec));
        auto& body = parser.get().body();
        if (ec) {
            // What came of a cut answer is the caller's to judge.
            result.body = std::move(body);
            throw boost::system::system_error(ec);
        }
        if (onBody && body.size() > seen)
            onBody(std::string_view(body).substr(seen), Clock::now());
        seen = body.size();
    }
    auto keepsAlive = parser.keep_alive();
    result.body = std::move(parser.get().body());
    co_return keepsAlive;
}

awaitable<ExchangeResult> HttpClient::fetch(std::string address, std::string target)
{
    auto request = std::make_shared<HttpRequest>(http::verb::get, target, http11);
    request->set(http::field::host, address);
    co_return co_await exchange(address, request, Clock::now() + fetchLimit, nullptr);
}

} // namespace swiftloft::replay
