#include "src/gateway/dispatcher.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

/// The part of the dispatcher that refuses requests: why, and when their clients should return.
namespace swiftloft::gateway {

using namespace dispatch;

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Limited:
        return "limited";
    case RefusalReason::BackingOff:
        return "resting";
    case RefusalReason::Unfinishable:
        return "no-time";
    case RefusalReason::NoServer:
        return "no-server";
    case RefusalReason::NoHomeServer:
        return "no-home-server";
    case RefusalReason::NoCommonHome:
        return "no-common-home";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::SuspectRunning:
        return "suspect-running";
    case RefusalReason::Stopping:
        return "stopping";
    case RefusalReason::AttemptsExhausted:
        return "tries-spent";
    case RefusalReason::Lost:
        return "lost";
    case RefusalReason::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

/// True if, because of limits and back-offs, no server may get the request while it waits, so that it is refused
/// immediately.
bool Dispatcher::isThrottledTooLong(const Call& call, TimePoint now) const
{
    auto throttling = m_loadBalancer.throttling(filterFor(call), now);
    return throttling && throttling->isEveryServer && throttling->nextSendAt > call.queueDeadline;
}

RefusalReason Dispatcher::refusalReason(const Call& call, TimePoint now) const
{
    if (!m_loadBalancer.hasServer({ call.service, {}, std::nullopt, call.homes })) {
        if (call.homes.isEmpty())
            return RefusalReason::NoCommonHome;
        return m_loadBalancer.hasServer(call.service) ? RefusalReason::NoHomeServer : RefusalReason::NoServer;
    }
    auto throttling = m_loadBalancer.throttling(filterFor(call), now);
    if (!throttling || !throttling->isEveryServer)
        return RefusalReason::Overloaded;
    return throttling->isBackingOff ? RefusalReason::BackingOff : RefusalReason::Limited;
}

capacity::RequestView Dispatcher::requestView(const CallRequest& request, TimePoint queueDeadline, std::size_t queuedBefore)
{
    return { *request.route, request.priority, request.arrivedAt, request.deadline, { request.outputTokens, request.expectedOutputTokens }, queueDeadline, queuedBefore };
}

void Dispatcher::failCall(CallId id, Call& call, AttemptOutcome outcome, TimePoint now, Effects& effects)
{
    if (outcome == AttemptOutcome::ServerError) {
        effects.push_back(ForwardError { id, call.isRetryDenied });
        return;
    }
    if (call.verdict == Verdict::NotRun && !canEndBeforeStop(call, now)) {
        refuseForStop(id, call, now, effects);
        return;
    }
    if (call.verdict == Verdict::NotRun) {
        auto reason = isThrottledTooLong(call, now) ? refusalReason(call, now) : RefusalReason::AttemptsExhausted;
        refuse(now, id, call, reason, clientRetryTime(call, now), effects);
        return;
    }
    auto reason = RefusalReason::Lost;
    if (outcome == AttemptOutcome::TimedOut)
        reason = RefusalReason::TimedOut;
    else if (isStopDeadlineReached(now) && (outcome == AttemptOutcome::Stopped || outcome == AttemptOutcome::Stalled))
        reason = RefusalReason::Stopping;
    refuse(now, id, call, reason, std::nullopt, effects);
    if (reason == RefusalReason::Stopping)
        std::get<Refuse>(effects.back()).stopReport = StopReport { m_stop->deadline - call.sentAt, call.stopForecast, call.clock.events, now - call.lastActivityAt };
}

/// A request that has been sent to a server once goes on: its client has waited, and what it got would be lost.
std::optional<capacity::Forecast> Dispatcher::forecastRefusal(const Call& call, TimePoint now, std::size_t queuedBefore, bool isFull)
{
    if (call.attempts > 0)
        return std::nullopt;
    auto view = requestView(call.request, call.queueDeadline, queuedBefore);
    if (isFull)
        return m_estimate.queueRefusalOf(now, call.service, view);
    if (!m_estimate.isWatching(now, call.service))
        return std::nullopt;
    return m_estimate.refusalOf(now, call.service, view, m_loadBalancer.useOf(call.service, now));
}

void Dispatcher::refuseUnfinishable(CallId id, const Call& call, const capacity::Forecast& forecast, TimePoint now, Effects& effects)
{
    m_queue.remove(id);
    // A slow rank lasts for seconds; slots of a plain server become free all the time.
    auto retryAt = call.request.route->isStream ? admission::outageRetryTime(now, call.request.deadline, m_generator) : clientRetryTime(call, now);
    refuse(now, id, call, RefusalReason::Unfinishable, retryAt, effects);
    std::get<Refuse>(effects.back()).forecast = forecast;
}

void Dispatcher::refuseForStop(CallId id, const Call& call, TimePoint now, Effects& effects)
{
    auto retryAt = m_hasAcceptingPeer ? admission::otherEntryRetryTime(now, m_generator) : admission::restartRetryTime(now, call.request.deadline, m_generator);
    refuse(now, id, call, RefusalReason::Stopping, retryAt, effects);
}

void Dispatcher::refuse(TimePoint now, CallId id, const Call& call, RefusalReason reason, std::optional<TimePoint> retryAt, Effects& effects)
{
    bool isForCapacity = reason != RefusalReason::NoServer && reason != RefusalReason::NoHomeServer && reason != RefusalReason::NoCommonHome
        && reason != RefusalReason::Stopping && reason != RefusalReason::Quarantined && reason != RefusalReason::SuspectRunning;
    if (call.verdict == Verdict::NotRun && isForCapacity)
        m_admission.onRefused(now, call.service, call.request.priority);
    Refuse refusal { id, reason, call.verdict, retryAt, call.service, m_loadBalancer.occupancy(call.service, now), m_queue.size() };
    if (call.homes.isRestricted())
        refusal.homes = fmt::format("{}", fmt::join(m_options.regions.names(call.homes.bits()), ","));
    refusal.isRetryDenied = call.isRetryDenied;
    effects.push_back(std::move(refusal));
}

std::optional<TimePoint> Dispatcher::clientRetryTime(const Call& call, TimePoint now)
{
    if (call.homes.isEmpty())
        return std::nullopt;
    admission::ServiceOutlook outlook;
    outlook.isDown = !m_loadBalancer.hasServer({ call.service, {}, std::nullopt, call.homes }) || m_loadBalancer.isForming(call.service, now, call.homes);
    auto throttling = m_loadBalancer.throttling(filterFor(call), now);
    if (throttling && throttling->isEveryServer)
        outlook.throttling = throttling;
    outlook.hasTurns = m_admission.hasPriorities(call.service);
    return m_retrySchedule.retryTime(now, { call.service, call.request.deadline, call.request.priority }, outlook);
}

} // namespace swiftloft::gateway
