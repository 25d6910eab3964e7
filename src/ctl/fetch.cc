#include "src/ctl/fetch.h"

#include "src/ctl/options.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace swiftloft::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::size_t maxAtOnce = 128;
constexpr std::uint64_t maxBody = 64u << 20;
constexpr int httpVersion = 11;

Endpoint endpointFrom(const std::string& text)
{
    auto colon = text.rfind(':');
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    boost::system::error_code ec;
    auto address = asio::ip::make_address(ip, ec);
    std::uint16_t port = 0;
    auto first = colon == std::string::npos ? text.data() + text.size() : text.data() + colon + 1;
    auto [end, errc] = std::from_chars(first, text.data() + text.size(), port);
    if (ec || errc != std::errc() || end != text.data() + text.size())
        throw UsageError(fmt::format("address: found \"{}\", expected IP:PORT or [IP]:PORT", text));
    return { address, port };
}

/// `deadline` bounds the whole exchange: a peer that sends a byte now and then must not hold it open.
asio::awaitable<std::string> fetch(Endpoint endpoint, const std::string& target, TimePoint deadline)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_at(deadline);
    co_await stream.async_connect(endpoint, asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::get, target, httpVersion);
    request.set(http::field::host, toString(endpoint));
    request.set(http::field::connection, "close");
    co_await http::async_write(stream, request, asio::use_awaitable);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBody);
    beast::flat_buffer buf;
    co_await http::async_read(stream, buf, parser, asio::use_awaitable);
    if (parser.get().result() != http::status::ok)
        throw Exception({ ErrorCode::Unavailable, fmt::format("HTTP status {}", parser.get().result_int()) });
    co_return std::move(parser.get().body());
}

/// One of several that share the list of endpoints.
asio::awaitable<void> work(std::vector<Fetched>& fetched, std::size_t& next, const std::string& target, TimePoint deadline)
{
    while (next < fetched.size()) {
        auto& it = fetched[next++];
        try {
            it.body = co_await fetch(it.endpoint, target, deadline);
        } catch (const boost::system::system_error& error) {
            auto isLate = error.code() == beast::error::timeout;
            it.body = Error { isLate ? ErrorCode::TimedOut : ErrorCode::Unavailable, isLate ? "no answer in time" : error.code().message() };
        } catch (const std::exception& exception) {
            it.body = Error { ErrorCode::Unavailable, exception.what() };
        }
    }
}

} // namespace

std::vector<Endpoint> endpointsFrom(const std::vector<std::string>& texts)
{
    std::vector<Endpoint> endpoints;
    endpoints.reserve(texts.size());
    for (auto& text : texts)
        endpoints.push_back(endpointFrom(text));
    return endpoints;
}

std::string toString(const Endpoint& endpoint)
{
    auto ip = endpoint.address().to_string();
    return endpoint.address().is_v6() ? fmt::format("[{}]:{}", ip, endpoint.port()) : fmt::format("{}:{}", ip, endpoint.port());
}

std::vector<Fetched> fetchAll(const std::vector<Endpoint>& endpoints, const std::string& target, TimePoint deadline)
{
    std::vector<Fetched> fetched;
    fetched.reserve(endpoints.size());
    for (auto& endpoint : endpoints)
        fetched.push_back({ endpoint, Error { ErrorCode::Unavailable, "not asked" } });
    asio::io_context context;
    std::size_t next = 0;
    for (std::size_t it = 0; it < std::min(maxAtOnce, fetched.size()); ++it)
        asio::co_spawn(context, work(fetched, next, target, deadline), asio::detached);
    context.run();
    return fetched;
}

} // namespace swiftloft::ctl
