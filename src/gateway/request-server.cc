#include "src/gateway/request-call.h"

#include "src/log/logger.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace swiftloft::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

/// Time for which a client is assumed to wait if its request names no deadline.
constexpr milliseconds defaultClientTimeout { 5000 };
/// Time for which the bytes of a client that was refused are discarded, so that it can read the refusal.
constexpr milliseconds discardTimeout { 2000 };

constexpr std::string_view answeredReason = "answered";
constexpr std::string_view retryDeniedDetail = " retry=denied";

/// Time since the request was sent to its last server, or since the last event of the stream if that is later; -1 if the
/// request was not sent.
milliseconds silenceDuration(TimePoint sentAt, TimePoint lastEventAt, TimePoint now)
{
    auto lastReceivedAt = std::max(sentAt, lastEventAt);
    return lastReceivedAt == TimePoint {} ? milliseconds(-1) : std::chrono::duration_cast<milliseconds>(now - lastReceivedAt);
}

/// True if the entry has the documents that it needs to serve requests.
bool mayServe(const Snapshot& snapshot)
{
    return snapshot.configuration && (snapshot.isReady || snapshot.servesWhileLeaving);
}

std::string formatted(const capacity::Forecast& forecast)
{
    auto ms = [](Clock::duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
    return fmt::format(" needs-ms={} left-ms={} pass-ms={} age-ms={} events={:.1f} running={:.0f} group={}", ms(forecast.duration), ms(forecast.timeLeft), ms(forecast.pass.length), ms(forecast.pass.age), forecast.events, forecast.running, forecast.group.value().empty() ? "-" : forecast.group.value());
}

std::string formatted(const dispatch::StopReport& report)
{
    auto ms = [](Clock::duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
    auto expected = report.forecast.value_or(capacity::Forecast {});
    return fmt::format("left-ms={} expected-ms={} events={} expected-events={:.1f} expected-pass-ms={} silent-ms={}", ms(report.timeLeft), report.forecast ? ms(expected.duration) : -1, report.events, expected.events, ms(expected.pass.length), ms(report.silence));
}

/// The first parts, in hexadecimal as clients send them.
std::string formatted(const std::vector<PromptPartId>& parts)
{
    constexpr std::size_t maxLoggedParts = 8;
    if (parts.empty())
        return "-";
    std::string text;
    for (std::size_t n = 0; n < std::min(parts.size(), maxLoggedParts); ++n)
        text += fmt::format("{}{:x}", n == 0 ? "" : ",", parts[n].value());
    return parts.size() > maxLoggedParts ? text + ",..." : text;
}

} // namespace

RequestServer::RequestServer(AsyncDispatcher& dispatcher, UpstreamPool& pool, const Protocol& protocol, process::SharedMetrics& metrics, SnapshotSource snapshot, bool waitsAtStart, std::size_t maxResponseBytes)
    : m_dispatcher(dispatcher)
    , m_pool(pool)
    , m_protocol(protocol)
    , m_metrics(metrics)
    , m_snapshot(std::move(snapshot))
    , m_startupQueue(waitsAtStart)
    , m_responseMemory(maxResponseBytes)
{
}

void RequestServer::onSnapshotChanged()
{
    if (mayServe(*m_snapshot()))
        m_startupQueue.onReady();
}

asio::awaitable<void> RequestServer::respond(Call& call, http::status status, std::string_view reason, std::optional<TimePoint> retryAt)
{
    ClientResponse response(status, call.request.version() ? call.request.version() : 11);
    response.set(http::field::content_type, "text/plain");
    if (retryAt)
        response.set(http::field::retry_after, m_protocol.encodeRetryAfter(*retryAt, Clock::now()));
    response.body() = fmt::format("{}\n", reason);
    response.prepare_payload();
    call.status = static_cast<unsigned>(status);
    call.reason = reason;
    releaseBody(call);
    co_await call.client.writeResponse(response);
}

void RequestServer::releaseBody(Call& call)
{
    // The log and the dispatcher ask for the fingerprint later.
    if (call.handle)
        call.fingerprint();
    std::string().swap(call.request.body());
    call.client.releaseRequest();
}

asio::awaitable<void> RequestServer::rejectUnreadable(DownstreamConnection& client, ReadError error)
{
    auto now = Clock::now();
    auto status = process::statusOf(error);
    client.setMustClose();
    ClientResponse response(static_cast<http::status>(status), 11);
    if (error == ReadError::NoMemory)
        response.set(http::field::retry_after, m_protocol.encodeRetryAfter(admission::outageRetryTime(now, now + defaultClientTimeout, m_generator), now));
    response.prepare_payload();
    log::write(log::Event::RequestRefused, "status={} reason={}", status, process::toString(error));
    m_metrics.count("swiftloft_entry_unread_requests_total", { { "reason", std::string(process::toString(error)) } });
    co_await client.writeResponse(response);
    co_await client.close(now + discardTimeout);
}

asio::awaitable<bool> RequestServer::serve(DownstreamConnection& client, ClientRequest request)
{
    using namespace asio::experimental::awaitable_operators;
    Call call { client, std::move(request), {}, Clock::now(), {}, nullptr, nullptr, std::nullopt, std::nullopt, nullptr, std::nullopt };
    auto head = m_protocol.decodeRequest(call.request.base(), call.arrivedAt);
    if (!head) {
        co_await respond(call, http::status::bad_request, "malformed-request");
        logOutcome(call);
        co_return true;
    }
    call.head = *head;
    client.setRequestId(call.head.id);
    auto winner = co_await (run(call) || client.waitForClose());
    if (winner.index() == 1) {
        // A response that the entry has cut keeps its reason.
        auto end = std::get<1>(winner);
        if (end != ConnectionEnd::EntryReset || call.reason == answeredReason)
            call.reason = toString(end);
        call.refusalDetails += fmt::format(" undelivered={}", client.undeliveredBytes());
        logOutcome(call);
        co_return false;
    }
    logOutcome(call);
    co_return !call.mustClose;
}

asio::awaitable<void> RequestServer::run(Call& call)
{
    auto clientDeadline = call.head.clientDeadline.value_or(call.arrivedAt + defaultClientTimeout);
    if (!mayServe(*m_snapshot()))
        co_await m_startupQueue.wait(clientDeadline);
    auto snapshot = m_snapshot();
    if (!mayServe(*snapshot)) {
        co_await respond(call, http::status::service_unavailable, "not-ready", admission::outageRetryTime(Clock::now(), clientDeadline, m_generator));
        co_return;
    }
    auto& configuration = snapshot->configuration;
    call.configuration = configuration;
    call.route = configuration->findRoute(call.head.host, call.head.path);
    if (!call.route) {
        co_await respond(call, http::status::not_found, "no-such-route");
        co_return;
    }
    const OrganisationKeys* organisation = nullptr;
    if (configuration->hasOrganisations() && !call.route->isPublic) {
        organisation = configuration->findOrganisation(call.head.key);
        if (!organisation) {
            co_await respond(call, http::status::unauthorized, "unknown-key");
            co_return;
        }
        call.organisation = organisation->name;
    }
    call.priority = priorityOf(*call.route, organisation);
    call.deadline = call.arrivedAt + call.route->timeout;
    if (call.head.clientDeadline)
        call.deadline = std::min(call.deadline, *call.head.clientDeadline);
    call.lastEvent = call.head.lastEvent;
    call.handle = std::make_unique<AsyncDispatcher::CallHandle>(m_dispatcher, m_dispatcher.nextId());
    call.handle->setAttemptHooks({ [&call] { cancelAttempt(call); }, [this, &call](auto& start) { offerTakeover(call, start); } });
    std::span<const RegionName> organisationHomes;
    if (organisation)
        organisationHomes = organisation->homes;
    CallRequest request { configuration, call.route, call.priority, call.arrivedAt, call.deadline, call.head.promptTokens, call.head.outputTokens, call.head.expectedOutputTokens, call.organisation, organisationHomes, [&call] { return call.fingerprint(); }, call.head.sharedParts };
    auto decision = co_await call.handle->submit(std::move(request));
    countAdmission(call, decision);
    while (auto* start = std::get_if<dispatch::StartAttempt>(&decision)) {
        auto next = *start;
        decision = co_await attempt(call, std::move(next));
        if (call.isComplete)
            co_return;
    }
    if (auto* refusal = std::get_if<dispatch::Refuse>(&decision))
        co_await refuse(call, *refusal);
    else
        co_await forwardServerError(call, std::get<dispatch::ForwardError>(decision));
}

void RequestServer::countAdmission(const Call& call, const CallDecision& decision) const
{
    auto service = call.service;
    std::string_view outcome = "failed";
    if (auto* start = std::get_if<dispatch::StartAttempt>(&decision)) {
        service = start->server.service;
        outcome = "admitted";
    } else if (auto* refusal = std::get_if<dispatch::Refuse>(&decision)) {
        service = refusal->service;
        outcome = toString(refusal->reason);
    }
    process::Labels labels { { "service", service.value() }, { "priority", fmt::format("{}", call.priority) }, { "outcome", "wanted" } };
    m_metrics.count("swiftloft_entry_admission_total", labels);
    labels.back().value = outcome;
    m_metrics.count("swiftloft_entry_admission_total", labels);
}

void RequestServer::cancelAttempt(Call& call)
{
    call.isCancelled = true;
    if (call.upstream)
        call.upstream->stream.cancel();
    if (auto takeover = call.takeover.lock())
        takeover->cancel();
}

asio::awaitable<CallDecision> RequestServer::attempt(Call& call, dispatch::StartAttempt start)
{
    auto& server = start.server;
    recordAttemptStart(call, server, start.running, start.limit, start.retries);
    call.splitter.reset();
    call.isCancelled = false;
    call.currentServer = server.id;
    auto outcome = co_await exchange(call, server);
    if (call.isCancelled && outcome == AttemptOutcome::Lost)
        outcome = AttemptOutcome::Stopped;
    if (outcome == AttemptOutcome::Answered) {
        call.isComplete = true;
        call.handle->reportCompleted(call.status < 300, call.endsWithConnection);
        co_return CallDecision(dispatch::ForwardError { call.handle->id() });
    }
    logFailedAttempt(call, call.currentServer, outcome);
    co_return co_await call.handle->reportAttemptEnd(outcome);
}

void RequestServer::recordAttemptStart(Call& call, const BackendServer& server, std::uint32_t running, const std::optional<RequestRate>& limit, const std::optional<RetryUse>& retries)
{
    ++call.attempts;
    call.service = server.service;
    if (limit)
        m_metrics.count("swiftloft_entry_limited_sends_total", { { "service", server.service.value() } });
    if (call.attempts > 1) {
        m_metrics.count("swiftloft_entry_retries_total", { { "service", server.service.value() } });
        log::write(log::Event::AttemptStarted, "id={} server={} attempt={} running={} behind-event={}{}", call.head.id, server.id.value(), call.attempts, running,
            call.lastEvent.value_or(0), retries ? fmt::format(" retries={} allowed={:.1f}", retries->spent, retries->allowed) : "");
    }
    call.servers += fmt::format("{}{}", call.servers.empty() ? "" : ",", server.id.value());
}

void RequestServer::logFailedAttempt(Call& call, const BackendServerId& server, AttemptOutcome outcome)
{
    log::write(log::Event::AttemptFailed, "id={} server={} end={} after-ms={} fingerprint={:016x} parts={}", call.head.id, server.value(), toString(outcome),
        std::chrono::duration_cast<milliseconds>(Clock::now() - call.arrivedAt).count(), call.fingerprint().value(), formatted(call.head.sharedParts));
}

asio::awaitable<void> RequestServer::refuse(Call& call, const dispatch::Refuse& refusal)
{
    call.reason = toString(refusal.reason);
    call.service = refusal.service;
    call.refusalDetails = fmt::format(" verdict={} occupancy={:.2f} waiting={}", toString(refusal.verdict), refusal.occupancy, refusal.queued);
    if (refusal.homes)
        call.refusalDetails += fmt::format(" homes={}", refusal.homes->empty() ? "none" : *refusal.homes);
    if (auto& forecast = refusal.forecast)
        call.refusalDetails += formatted(*forecast);
    if (refusal.part)
        call.refusalDetails += fmt::format(" part={:x} cause={:016x}", refusal.part->id.value(), refusal.part->cause.fingerprint.value());
    if (refusal.isRetryDenied)
        call.refusalDetails += retryDeniedDetail;
    if (refusal.stopReport)
        log::write(log::Event::RequestEndedByStop, "id={} {}", call.head.id, formatted(*refusal.stopReport));
    if (call.hasStreamStarted) {
        // Bytes that were sent can't be withdrawn. The response ends without its end mark, so that the client sees it as truncated.
        call.mustClose = true;
        call.client.reset();
        co_return;
    }
    if (refusal.verdict == Verdict::NotRun) {
        co_await respond(call, http::status::service_unavailable, call.reason, refusal.retryAt);
        co_return;
    }
    auto status = refusal.reason == RefusalReason::TimedOut ? http::status::gateway_timeout : http::status::bad_gateway;
    co_await respond(call, status, call.reason);
}

asio::awaitable<void> RequestServer::forwardServerError(Call& call, const dispatch::ForwardError& effect)
{
    if (effect.isRetryDenied)
        call.refusalDetails += retryDeniedDetail;
    if (call.hasStreamStarted || !call.serverError) {
        call.mustClose = true;
        call.client.reset();
        co_return;
    }
    call.status = call.serverError->result_int();
    call.reason = "server-error";
    co_await call.client.writeResponse(*call.serverError);
}

void RequestServer::logOutcome(Call& call) const
{
    auto now = Clock::now();
    auto sinceArrival = [&](TimePoint time) { return std::chrono::duration_cast<milliseconds>(time - call.arrivedAt).count(); };
    bool isServed = call.isComplete && call.reason == answeredReason;
    auto details = call.refusalDetails;
    if (!isServed && (call.attempts > 0 || call.computedFingerprint))
        details += fmt::format(" fingerprint={:016x} parts={}", call.fingerprint().value(), formatted(call.head.sharedParts));
    log::write(isServed ? log::Event::RequestServed : log::Event::RequestFailed, "id={} route={} organisation={} status={} reason={} attempts={} service={} servers={} configuration={} first-ms={} pause-ms={} silent-ms={} ms={}{}", call.head.id,
        call.route ? call.route->name : "-", call.organisation ? call.organisation->value() : "-", call.status, call.reason, call.attempts, call.service.value(), call.servers,
        call.configuration ? call.configuration->version().value() : 0, call.firstByteAt ? sinceArrival(*call.firstByteAt) : -1, call.longestEventGap.count(), silenceDuration(call.sentAt, call.lastEventAt, now).count(), sinceArrival(now), details);
    recordMetrics(call, isServed, now);
}

void RequestServer::recordMetrics(const Call& call, bool isServed, TimePoint now) const
{
    auto seconds = [&](TimePoint time) { return std::chrono::duration<double>(time - call.arrivedAt).count(); };
    process::Labels service { { "service", call.service.value() } };
    m_metrics.count("swiftloft_entry_requests_total", { { "service", call.service.value() }, { "outcome", std::string(call.reason) } });
    m_metrics.count("swiftloft_entry_attempts_total", service, call.attempts);
    if (!isServed)
        return;
    m_metrics.addTo("swiftloft_entry_request_seconds", service, seconds(now));
    if (call.firstByteAt)
        m_metrics.addTo("swiftloft_entry_first_byte_seconds", service, seconds(*call.firstByteAt));
}

} // namespace swiftloft::gateway
