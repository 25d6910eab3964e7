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

/// The endpoints still to be asked, shared by all that ask.
struct Work {
    const std::vector<Endpoint>& endpoints;
    const std::string& target;
    TimePoint deadline;
    const FetchedHandler& onFetched;
    std::size_t next { 0 };
};

asio::awaitable<Result<std::string>> tryFetch(Endpoint endpoint, const Work& work)
{
    try {
        co_return co_await fetch(endpoint, work.target, work.deadline);
    } catch (const boost::system::system_error& error) {
        if (error.code() == beast::error::timeout)
            co_return Error { ErrorCode::TimedOut, "no answer in time" };
        co_return Error { ErrorCode::Unavailable, error.code().message() };
    } catch (const std::exception& exception) {
        co_return Error { ErrorCode::Unavailable, exception.what() };
    }
}

asio::awaitable<void> fetchInTurn(Work& work)
{
    while (work.next < work.endpoints.size()) {
        auto index = work.next++;
        auto& endpoint = work.endpoints[index];
        // Awaited on a line of its own: GCC 12 destroys a braced temporary twice when its list holds a co_await.
        auto body = co_await tryFetch(endpoint, work);
        work.onFetched(index, { endpoint, std::move(body) });
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

void fetchAll(const std::vector<Endpoint>& endpoints, const std::string& target, TimePoint deadline, const FetchedHandler& onFetched)
{
    asio::io_context context;
    Work work { endpoints, target, deadline, onFetched };
    for (std::size_t it = 0; it < std::min(maxAtOnce, endpoints.size()); ++it)
        asio::co_spawn(context, fetchInTurn(work), asio::detached);
    context.run();
}

} // namespace swiftloft::ctl
