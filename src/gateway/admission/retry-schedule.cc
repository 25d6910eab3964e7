#include "src/gateway/admission/retry-schedule.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace swiftloft::gateway::admission {

namespace {

/// Retry delay for a client that was refused for lack of capacity, jittered so that clients don't all return at once.
/// Most bursts last a second or two, so there is usually capacity again by then. The delay is also short enough for the
/// client: clients wait for at most a third of the time they have left.
constexpr milliseconds overloadRetryDelay { 500 };
constexpr milliseconds overloadRetryJitter { 700 };
/// Time until a service that has no server, or whose groups are all forming, usually serves again. A client that
/// returns sooner is refused again, and most clients retry only once.
constexpr milliseconds outageRetryDelay { 1800 };
/// Spreads the clients that a stopping entry refuses over a short time at the other entries.
constexpr milliseconds maxOtherEntryDelay { 100 };
/// Clients wait for at most a third of the time they have left; slightly less allows for clock differences.
constexpr double maxWaitShare { 0.3 };
/// No client waits for longer than this.
constexpr seconds maxClientWait { 60 };
/// Clients without a turn return between this part and the whole of their maximum wait.
constexpr double minLateWaitShare { 0.8 };

/// Maximum time for which a client with this deadline waits before it returns.
Clock::duration maxWaitUntil(TimePoint now, TimePoint deadline)
{
    return std::chrono::duration_cast<Clock::duration>(maxWaitShare * std::max(deadline - now, Clock::duration(0)));
}

} // namespace

TimePoint outageRetryTime(TimePoint now, TimePoint deadline, policy::Generator& generator)
{
    // Jitter keeps the clients of a whole outage from returning at the same moment.
    boost::random::uniform_real_distribution<double> jitter(0.8, 1.0);
    auto wait = std::min<Clock::duration>(outageRetryDelay, maxWaitUntil(now, deadline));
    return now + std::chrono::duration_cast<Clock::duration>(jitter(generator) * wait);
}

TimePoint restartRetryTime(TimePoint now, TimePoint deadline, policy::Generator& generator)
{
    boost::random::uniform_real_distribution<double> jitter(minLateWaitShare, 1.0);
    return now + std::chrono::duration_cast<Clock::duration>(jitter(generator) * maxWaitUntil(now, deadline));
}

TimePoint otherEntryRetryTime(TimePoint now, policy::Generator& generator)
{
    boost::random::uniform_int_distribution<int> jitter(0, static_cast<int>(maxOtherEntryDelay.count()));
    return now + milliseconds(jitter(generator));
}

/// Schedules the retries of clients one after the other at the rate that the limits allow. A client whose turn would
/// come after its maximum wait retries towards the end of that wait.
TimePoint RetrySchedule::timeWithinLimits(TimePoint now, const RefusedRequest& request, double rate)
{
    auto maxWait = maxWaitUntil(now, request.deadline);
    auto& next = m_nextReturnAt[request.service];
    auto at = std::max(next, now + std::min<Clock::duration>(overloadRetryDelay, maxWait));
    if (rate <= 0 || at > now + maxWait) {
        boost::random::uniform_real_distribution<double> jitter(0.5, 1.0);
        return now + std::chrono::duration_cast<Clock::duration>(jitter(m_generator) * maxWait);
    }
    next = at + std::chrono::duration_cast<Clock::duration>(std::min(std::chrono::duration<double>(1 / rate), std::chrono::duration<double>(maxClientWait)));
    return at;
}

/// Returns a time after the end of the back-off even if clients wait for less: a retry before that would be refused
/// again. The retries of clients refused during a long back-off are spread over a proportionally longer period, so that
/// they don't all arrive at once.
TimePoint RetrySchedule::timeAfterBackOff(TimePoint now, const RefusedRequest& request, TimePoint backOffEndsAt)
{
    auto maxWaitEndsAt = now + maxWaitUntil(now, request.deadline);
    auto latest = backOffEndsAt + std::max<Clock::duration>(overloadRetryJitter, (backOffEndsAt - now) / 2);
    if (backOffEndsAt < maxWaitEndsAt)
        latest = std::min(latest, maxWaitEndsAt);
    boost::random::uniform_real_distribution<double> jitter(0, 1);
    return backOffEndsAt + std::chrono::duration_cast<Clock::duration>(jitter(m_generator) * (latest - backOffEndsAt));
}

/// Gives the client a turn. A client whose turn would come after its maximum wait returns towards the end of that wait:
/// there may be more capacity by then, and no time foreseen is better.
TimePoint RetrySchedule::timeInTurn(TimePoint now, const RefusedRequest& request)
{
    auto maxWait = maxWaitUntil(now, request.deadline);
    if (auto at = m_turns.take(now, request.service, request.priority, now + maxWait))
        return *at;
    boost::random::uniform_real_distribution<double> jitter(minLateWaitShare, 1.0);
    return now + std::chrono::duration_cast<Clock::duration>(jitter(m_generator) * maxWait);
}

TimePoint RetrySchedule::retryTime(TimePoint now, const RefusedRequest& request, const ServiceOutlook& outlook)
{
    if (outlook.isDown)
        return outageRetryTime(now, request.deadline, m_generator);
    if (auto& throttling = outlook.throttling)
        return throttling->isBackingOff && throttling->rate <= 0 ? timeAfterBackOff(now, request, throttling->nextSendAt) : timeWithinLimits(now, request, throttling->rate);
    if (outlook.hasTurns)
        return timeInTurn(now, request);
    boost::random::uniform_int_distribution<int> jitter(0, static_cast<int>(overloadRetryJitter.count()));
    return now + overloadRetryDelay + milliseconds(jitter(m_generator));
}

} // namespace swiftloft::gateway::admission
