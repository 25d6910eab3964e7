#include "standin/platform.h"

#include "src/log/logger.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace swiftloft::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
using asio::use_awaitable;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds longestWatch { 20 };
constexpr std::size_t largestValue = 1024 * 1024;
constexpr std::size_t revisionsKept = 256;
constexpr std::size_t weightChunk = 64 * 1024;

void requireValueSize(const std::string& value)
{
    if (value.size() > largestValue)
        throw Exception(Error { ErrorCode::OutOfRange, fmt::format("a value of {} bytes is above 1 MB", value.size()) });
}

bool hasId(const json::value& instance, std::string_view id)
{
    auto& own = instance.as_object().at("id").as_string();
    return std::string_view(own.data(), own.size()) == id;
}

std::string lastSegment(std::string_view path)
{
    return std::string(path.substr(path.rfind('/') + 1));
}

} // namespace

WatchedDocument::WatchedDocument(asio::io_context& io)
    : m_io(io)
{
}

void WatchedDocument::publish(std::string text)
{
    m_history[nextRevision()] = std::move(text);
    if (m_history.size() > revisionsKept)
        m_history.erase(m_history.begin());
    wakeAll();
}

std::uint64_t WatchedDocument::nextRevision() const
{
    return m_history.empty() ? 1 : m_history.rbegin()->first + 1;
}

WatchedDocument::History::const_iterator WatchedDocument::served() const
{
    auto it = m_pinned ? m_history.upper_bound(m_pinned) : m_history.end();
    return it == m_history.begin() ? it : std::prev(it);
}

std::uint64_t WatchedDocument::revision() const
{
    return m_history.empty() ? 0 : served()->first;
}

const std::string& WatchedDocument::text() const
{
    static const std::string empty;
    return m_history.empty() ? empty : served()->second;
}

void WatchedDocument::pin(std::uint64_t pinned)
{
    m_pinned = pinned;
    wakeAll();
}

void WatchedDocument::wakeAll()
{
    for (auto* timer : m_waiting)
        timer->cancel();
}

awaitable<void> WatchedDocument::waitPast(std::uint64_t seen, steady_clock::time_point deadline)
{
    asio::steady_timer timer(m_io);
    m_waiting.insert(&timer);
    while (revision() <= seen && steady_clock::now() < deadline) {
        timer.expires_at(deadline);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(use_awaitable, ec));
    }
    m_waiting.erase(&timer);
}

CallCounter::CallCounter(std::int64_t callsPerSecond)
    : m_limit(callsPerSecond)
{
}

bool CallCounter::admit(steady_clock::time_point now)
{
    auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != m_second) {
        m_second = second;
        m_inSecond = 0;
    }
    ++m_total;
    ++m_inSecond;
    m_peak = std::max(m_peak, m_inSecond);
    if (m_inSecond <= m_limit)
        return true;
    ++m_refused;
    return false;
}

json::object CallCounter::toJson() const
{
    return { { "total", m_total }, { "refused", m_refused }, { "peak_per_second", m_peak } };
}

Platform::Platform(asio::io_context& io, PlatformOptions options)
    : m_io(io)
    , m_options(options)
    , m_settings(io)
    , m_instances(io)
    , m_calls(options.callsPerSecond)
{
}

void Platform::publishInstances(const std::string& text)
{
    auto value = json::parse(text);
    m_instanceList = value.is_object() ? value.as_object().at("instances").as_array() : value.as_array();
    publishInstanceList();
}

void Platform::publishInstanceList()
{
    json::object document { { "revision", m_instances.nextRevision() }, { "instances", m_instanceList } };
    m_instances.publish(json::serialize(document));
}

awaitable<void> Platform::pause(std::chrono::milliseconds delay)
{
    asio::steady_timer timer(m_io, delay);
    co_await timer.async_wait(use_awaitable);
}

awaitable<void> Platform::handle(Exchange& exchange)
{
    if (exchange.path().starts_with("/admin/")) {
        co_await handleAdmin(exchange);
        co_return;
    }
    if (m_fault == "down") {
        exchange.drop();
        co_return;
    }
    if (m_fault == "slow")
        co_await pause(m_slowDelay);
    if (!m_calls.admit(steady_clock::now())) {
        exchange.setHeader("Retry-After", "1");
        co_await exchange.reply(HttpStatus::too_many_requests, "text/plain", "over the call rate\n");
        co_return;
    }
    co_await handleRead(exchange);
}

awaitable<void> Platform::handleRead(Exchange& exchange)
{
    auto path = exchange.path();
    if (path == "/v1/settings")
        co_await serveDocument(exchange, m_settings, "text/plain");
    else if (path == "/v1/instances")
        co_await serveDocument(exchange, m_instances, "application/json");
    else if (path.starts_with("/v1/parts/"))
        co_await servePart(exchange);
    else if (path.starts_with("/v1/weights/"))
        co_await serveWeights(exchange);
    else
        co_await exchange.reply(HttpStatus::not_found, "text/plain", "no such path\n");
}

awaitable<void> Platform::serveDocument(Exchange& exchange, WatchedDocument& document, std::string contentType)
{
    auto watch = exchange.query("watch");
    auto seen = std::strtoull(watch.c_str(), nullptr, 10);
    if (!watch.empty())
        co_await document.waitPast(seen, steady_clock::now() + longestWatch);
    if (m_fault == "down") {
        exchange.drop();
        co_return;
    }
    exchange.setHeader("Swiftloft-Revision", std::to_string(document.revision()));
    if (!watch.empty() && document.revision() <= seen)
        co_await exchange.reply(HttpStatus::not_modified, contentType, "");
    else
        co_await exchange.reply(HttpStatus::ok, contentType, document.text());
}

awaitable<void> Platform::servePart(Exchange& exchange)
{
    auto it = m_parts.find(lastSegment(exchange.path()));
    if (it == m_parts.end())
        co_await exchange.reply(HttpStatus::not_found, "text/plain", "no such part\n");
    else
        co_await exchange.reply(HttpStatus::ok, "application/octet-stream", it->second);
}

awaitable<void> Platform::serveWeights(Exchange& exchange)
{
    auto left = std::strtoull(exchange.query("bytes").c_str(), nullptr, 10);
    co_await exchange.startStream("application/octet-stream");
    while (left > 0) {
        auto n = std::min<std::uint64_t>(left, weightChunk);
        auto cost = std::chrono::nanoseconds(n * 1'000'000'000ull / static_cast<std::uint64_t>(m_options.weightBytesPerSecond));
        m_weightsFreeAt = std::max(m_weightsFreeAt, steady_clock::now()) + cost;
        asio::steady_timer timer(m_io, m_weightsFreeAt);
        co_await timer.async_wait(use_awaitable);
        co_await exchange.sendChunk(std::string(n, 'w'));
        left -= n;
    }
    co_await exchange.finishStream();
}

awaitable<void> Platform::handleAdmin(Exchange& exchange)
{
    auto path = exchange.path();
    auto& body = exchange.request().body();
    auto method = std::string(exchange.request().method_string());
    auto call = method + " " + std::string(path);
    std::string answer = "{}";
    if (call == "GET /admin/calls") {
        answer = json::serialize(m_calls.toJson());
    } else if (call == "PUT /admin/settings") {
        requireValueSize(body);
        m_settings.publish(body);
        answer = json::serialize(json::object { { "revision", m_settings.revision() } });
    } else if (call == "PUT /admin/instances") {
        publishInstances(body);
    } else if (call == "POST /admin/fault") {
        setFault(body);
    } else if (call.starts_with("PUT /admin/parts/")) {
        requireValueSize(body);
        m_parts[lastSegment(path)] = body;
    } else if (call.starts_with("PATCH /admin/instances/")) {
        changeInstance(lastSegment(path), body);
    } else if (call.starts_with("DELETE /admin/instances/")) {
        removeInstance(lastSegment(path));
    } else {
        co_await exchange.reply(HttpStatus::not_found, "text/plain", "no such path\n");
        co_return;
    }
    co_await exchange.replyJson(HttpStatus::ok, answer);
}

void Platform::setFault(const std::string& body)
{
    auto fault = json::parse(body).as_object();
    m_fault = json::value_to<std::string>(fault.at("kind"));
    m_slowDelay = std::chrono::milliseconds(fault.contains("ms") ? fault.at("ms").to_number<int>() : 1000);
    auto revisionOf = [&](const char* name) { return fault.contains(name) ? fault.at(name).to_number<std::uint64_t>() : 0; };
    auto isStale = m_fault == "stale";
    m_settings.pin(isStale ? revisionOf("revision") : 0);
    m_instances.pin(isStale ? revisionOf("instances_revision") : 0);
    log::write(log::Event::StandinFaultSet, "kind={}", m_fault);
}

void Platform::changeInstance(const std::string& id, const std::string& patch)
{
    auto changes = json::parse(patch).as_object();
    for (auto& instance : m_instanceList) {
        if (!hasId(instance, id))
            continue;
        for (auto& change : changes)
            instance.as_object()[change.key()] = change.value();
        publishInstanceList();
        return;
    }
    throw Exception(Error { ErrorCode::NotFound, fmt::format("no instance '{}'", id) });
}

void Platform::removeInstance(const std::string& id)
{
    auto it = std::find_if(m_instanceList.begin(), m_instanceList.end(), [&](auto& instance) { return hasId(instance, id); });
    if (it == m_instanceList.end())
        throw Exception(Error { ErrorCode::NotFound, fmt::format("no instance '{}'", id) });
    m_instanceList.erase(it);
    publishInstanceList();
}

} // namespace swiftloft::standin
