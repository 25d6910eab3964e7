#include "src/spread/platform-client.h"

#include "src/process/http-limits.h"
#include "src/process/response-head.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <utility>

namespace swiftloft::spread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

/// The platform holds values up to a megabyte; the rest is room for an instance list at the design size.
constexpr std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
constexpr const char* partsPath = "/v1/parts/";
constexpr const char* revisionHeader = "Swiftloft-Revision";

const char* pathOf(Topic topic)
{
    return topic == Topic::Settings ? "/v1/settings" : "/v1/instances";
}

std::optional<Revision> revisionOf(std::string_view text)
{
    std::uint64_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return Revision(value);
}

PlatformAnswer failure(std::string problem)
{
    PlatformAnswer answer;
    answer.problem = std::move(problem);
    return answer;
}

PlatformAnswer answerOf(http::response<http::string_body>& response, bool isPart)
{
    PlatformAnswer answer;
    auto header = response[revisionHeader];
    auto revision = revisionOf(std::string_view(header.data(), header.size()));
    switch (response.result()) {
    case http::status::ok:
        if (!revision && !isPart)
            return failure("the answer names no revision");
        answer.outcome = PlatformOutcome::Body;
        answer.revision = revision.value_or(Revision());
        answer.body = std::move(response.body());
        return answer;
    case http::status::not_modified:
    case http::status::no_content:
        answer.outcome = PlatformOutcome::Unchanged;
        answer.revision = revision.value_or(Revision());
        return answer;
    case http::status::too_many_requests:
    case http::status::service_unavailable:
        answer.outcome = PlatformOutcome::OverRate;
        return answer;
    default:
        return failure(fmt::format("status {}", response.result_int()));
    }
}

} // namespace

namespace internal {

/// One HTTP call on one connection.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
public:
    HttpCall(asio::io_context& io, const std::string& target, TimePoint deadline, PlatformClient::Completion done)
        : m_stream(io)
        , m_done(std::move(done))
    {
        m_request.method(http::verb::get);
        m_request.target(target);
        m_request.version(11);
        m_request.keep_alive(false);
        // One deadline for the whole call. A connection that has gone silent would otherwise hold the watch for good,
        // and settings would stop without any error to see.
        m_stream.expires_at(deadline);
    }

    void start(const tcp::endpoint& server)
    {
        m_request.set(http::field::host, fmt::format("{}:{}", server.address().to_string(), server.port()));
        m_stream.async_connect(server, [self = shared_from_this()](beast::error_code ec) { self->onConnected(ec); });
    }

    void cancel()
    {
        m_done = nullptr;
        m_stream.close();
    }

private:
    void onConnected(beast::error_code ec)
    {
        if (ec)
            return finish(failure("connect: " + ec.message()));
        http::async_write(m_stream, m_request, [self = shared_from_this()](beast::error_code ec, std::size_t) { self->onWritten(ec); });
    }

    void onWritten(beast::error_code ec)
    {
        if (ec)
            return finish(failure("write: " + ec.message()));
        readResponse();
    }

    void readResponse()
    {
        m_parser.emplace();
        m_parser->body_limit(maxBodyBytes);
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code ec, std::size_t) { self->onRead(ec); });
    }

    void onRead(beast::error_code ec)
    {
        if (!ec)
            ec = process::checkResponseHead(m_parser->get().base());
        if (ec)
            return finish(failure("read: " + ec.message()));
        if (process::isInterim(m_parser->get().result_int()) && ++m_interimResponses <= process::maxInterimResponses)
            return readResponse();
        finish(answerOf(m_parser->get(), m_request.target().starts_with(partsPath)));
    }

    void finish(PlatformAnswer answer)
    {
        beast::error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ec);
        if (auto done = std::exchange(m_done, nullptr))
            done(std::move(answer));
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer { process::maxUnparsedBytes };
    http::request<http::empty_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    int m_interimResponses { 0 };
    PlatformClient::Completion m_done;
};

} // namespace internal

PlatformClient::PlatformClient(asio::io_context& io, tcp::endpoint server)
    : m_io(io)
    , m_server(std::move(server))
{
}

std::shared_ptr<PlatformClient> PlatformClient::create(asio::io_context& io, tcp::endpoint server)
{
    return std::shared_ptr<PlatformClient>(new PlatformClient(io, std::move(server)));
}

void PlatformClient::fetch(Topic topic, TimePoint deadline, Completion done)
{
    call(pathOf(topic), deadline, std::move(done));
}

void PlatformClient::watch(Topic topic, Revision known, TimePoint deadline, Completion done)
{
    call(fmt::format("{}?watch={}", pathOf(topic), known.value()), deadline, std::move(done));
}

void PlatformClient::fetchPart(const std::string& digest, TimePoint deadline, Completion done)
{
    call(partsPath + digest, deadline, std::move(done));
}

void PlatformClient::stop()
{
    for (auto& it : m_calls) {
        if (auto call = it.lock())
            call->cancel();
    }
    m_calls.clear();
}

void PlatformClient::call(const std::string& target, TimePoint deadline, Completion done)
{
    ++m_callCount;
    std::erase_if(m_calls, [](auto& it) { return it.expired(); });
    auto call = std::make_shared<internal::HttpCall>(m_io, target, deadline, std::move(done));
    m_calls.push_back(call);
    call->start(m_server);
}

} // namespace swiftloft::spread
