#include "test/process/http-call.h"

#include <swiftloft/result.h>

#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>

namespace swiftloft::process_test {

replay::ExchangeResult call(const HttpCall& from)
{
    constexpr unsigned http11 = 11;
    auto request = std::make_shared<replay::HttpRequest>();
    request->version(http11);
    request->method_string(from.method);
    request->target(from.target);
    request->set(boost::beast::http::field::host, from.address);
    for (auto& [name, value] : from.headers)
        request->set(name, value);
    request->body() = from.body;
    request->prepare_payload();
    boost::asio::io_context io(1);
    replay::HttpClient client(io);
    replay::ExchangeResult result;
    boost::asio::co_spawn(io, client.exchange(from.address, request, Clock::now() + from.allowed, nullptr),
        [&](const std::exception_ptr&, replay::ExchangeResult found) { result = std::move(found); });
    io.run();
    return result;
}

boost::json::value callJson(const HttpCall& from)
{
    auto result = call(from);
    if (result.end != replay::ExchangeEnd::Whole)
        throw Exception({ ErrorCode::Unavailable, fmt::format("{} {}: {}", from.method, from.target, result.failure) });
    if (result.head.result_int() != 200)
        throw Exception({ ErrorCode::Refused, fmt::format("{} {}: status {}: {}", from.method, from.target, result.head.result_int(), result.body) });
    return boost::json::parse(result.body);
}

} // namespace swiftloft::process_test
