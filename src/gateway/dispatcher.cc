#include "src/gateway/dispatcher.h"

#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <set>

namespace swiftloft::gateway {

using namespace dispatch;

namespace {

/// A client that was refused for want of room comes back after this long, spread so that not all come at once. Most
/// rushes of a second or two have room for it again by then, and it stays within the third of its time that clients
/// are ready to wait.
constexpr milliseconds overloadRetryDelay { 500 };
constexpr milliseconds overloadRetryJitter { 700 };
/// While a service has no server, or all are forming their groups, it takes about this long until it serves again. A
/// client that is told to come back sooner is turned away again, and most come back only once.
constexpr milliseconds outageRetryDelay { 1800 };
/// Clients wait for at most a third of the time they have left; a little less, so that their clock agrees.
constexpr double maxWaitShare { 0.3 };
/// No client waits for longer.
constexpr seconds maxClientWait { 60 };
/// Between two looks for servers that have fallen silent.
constexpr milliseconds stallCheckInterval { 200 };
/// A try that can't last this long is not begun: connecting alone takes a few milliseconds.
constexpr milliseconds minAttemptTime { 15 };

bool isNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::Misdirected;
}

bool isServerSuspect(AttemptOutcome outcome)
{
    // One that stalled became suspect as the request was taken back.
    return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Lost || outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::ServerError;
}

} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::NotSent:
        return "not-sent";
    case AttemptOutcome::NotRun:
        return "not-run";
    case AttemptOutcome::Misdirected:
        return "misdirected";
    case AttemptOutcome::Lost:
        return "lost";
    case AttemptOutcome::ServerError:
        return "server-error";
    case AttemptOutcome::TimedOut:
        return "timed-out";
    case AttemptOutcome::Stalled:
        return "stalled";
    }
    return "unknown";
}

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Limited:
        return "limited";
    case RefusalReason::BackingOff:
        return "resting";
    case RefusalReason::NoServer:
        return "no-server";
    case RefusalReason::AttemptsExhausted:
        return "tries-spent";
    case RefusalReason::Lost:
        return "lost";
    case RefusalReason::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

Dispatcher::Dispatcher(const DispatcherOptions& options, policy::Generator generator)
    : m_options(options)
    , m_generator(generator)
    , m_retries(options.retries)
{
}

Effects Dispatcher::apply(TimePoint now, const Event& event)
{
    // Comes with every event of every stream, and gives room to nobody.
    if (auto* progressed = std::get_if<StreamProgressed>(&event)) {
        onStreamProgressed(now, progressed->call);
        return {};
    }
    Effects effects;
    if (auto* arrived = std::get_if<RequestArrived>(&event))
        onRequestArrived(now, *arrived, effects);
    else if (auto* ended = std::get_if<AttemptEnded>(&event))
        onAttemptEnded(now, *ended, effects);
    else if (auto* began = std::get_if<ResponseStarted>(&event))
        onResponseStarted(now, began->call);
    else if (auto* closed = std::get_if<CallClosed>(&event))
        onCallClosed(closed->call);
    else if (auto* limit = std::get_if<LimitReceived>(&event))
        m_loadBalancer.onLimitReceived(now, limit->server, limit->sentAt, limit->limit);
    else if (auto* backOff = std::get_if<BackOffRequested>(&event))
        m_loadBalancer.onBackOffRequested(now, backOff->server, backOff->backOff);
    else if (auto* leaving = std::get_if<LeavingReported>(&event)) {
        if (m_loadBalancer.onLeavingReported(leaving->server))
            effects.push_back(PublishLeaving { leaving->server });
    } else if (auto* changed = std::get_if<SnapshotChanged>(&event)) {
        m_loadBalancer.setServers(now, *changed->snapshot);
        m_retries.raiseMaxEntries(changed->snapshot->maxEntries);
    } else if (auto* load = std::get_if<LoadReceived>(&event))
        m_loadBalancer.onLoadUpdate(now, load->news);
    cancelStalledAttempts(now, effects);
    dispatchQueued(now, effects);
    m_lastEventAt = now;
    return effects;
}

void Dispatcher::onRequestArrived(TimePoint now, const RequestArrived& event, Effects& effects)
{
    auto& call = m_calls[event.call];
    call.request = event.request;
    auto objective = event.request.route->objective;
    auto wait = objective > milliseconds(0) ? std::chrono::duration_cast<Clock::duration>(m_options.queueTimeShare * objective) : m_options.defaultQueueTime;
    call.queueDeadline = std::min(event.request.arrivedAt + wait, event.request.deadline);
    call.service = pickService(*event.request.route);
    m_retries.onRequest(call.service, now);
    if (!m_loadBalancer.hasServer(call.service)) {
        refuse(now, event.call, call, RefusalReason::NoServer, clientRetryTime(call, now), effects);
        return;
    }
    // What waits already is older or more urgent, unless this one is more urgent than all of it.
    auto isMoreUrgent = [&](CallId id) { return m_calls[id].request.priority > event.request.priority; };
    m_queue.insert(std::find_if(m_queue.begin(), m_queue.end(), isMoreUrgent), event.call);
}

ServiceName Dispatcher::pickService(const Route& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    std::vector<double> weights;
    weights.reserve(route.services.size());
    for (auto& it : route.services)
        weights.push_back(std::max(it.weight, 0.0));
    boost::random::discrete_distribution<std::size_t> draw(weights);
    return route.services[draw(m_generator)].service;
}

LoadBalancer::ServerFilter Dispatcher::filterFor(const Call& call)
{
    // A request may run on so many servers and no more; those that it ran on may get it again.
    if (call.ranOn.size() >= std::max(call.request.route->maximumServers, 1U))
        return { call.service, {}, call.ranOn };
    return { call.service, call.triedServers, std::nullopt };
}

bool Dispatcher::tryStartAttempt(CallId id, Call& call, TimePoint now, Effects& effects)
{
    auto server = m_loadBalancer.choose(filterFor(call), now, m_generator);
    if (!server)
        return false;
    bool isOutsideAllowance = call.attempts == 0 || call.isAttemptCancelled;
    if (!isOutsideAllowance && !m_retries.tryTake(call.service, now))
        return false;
    ++call.attempts;
    call.currentServer = server->incarnation();
    call.hasResponseStarted = false;
    call.lastActivityAt = now;
    call.isAttemptCancelled = false;
    if (call.request.route->isStream && !m_nextStallCheckAt)
        m_nextStallCheckAt = now + stallCheckInterval;
    effects.push_back(StartAttempt { id, *server, m_loadBalancer.runningRequests(server->incarnation(), now), m_loadBalancer.limitOf(server->incarnation()) });
    m_loadBalancer.onAttemptStarted(now, server->incarnation(), { call.request.promptTokens });
    return true;
}

void Dispatcher::dispatchQueued(TimePoint now, Effects& effects)
{
    extendWaitForFormingGroups(now);
    std::vector<CallId> stillQueued;
    // Where one that may go anywhere finds no room, nobody does: with hundreds of servers each search is dear.
    std::set<ServiceName> fullServices;
    for (auto id : m_queue) {
        auto& call = m_calls[id];
        bool mayStart = now >= call.retryAt && !fullServices.contains(call.service);
        if (mayStart && tryStartAttempt(id, call, now, effects))
            continue;
        if (mayStart && call.attempts == 0)
            fullServices.insert(call.service);
        if (now < call.queueDeadline && m_loadBalancer.hasServer(filterFor(call)) && !isThrottledTooLong(call, now)) {
            stillQueued.push_back(id);
            continue;
        }
        if (call.lastOutcome)
            failCall(id, call, *call.lastOutcome, now, effects);
        else
            refuse(now, id, call, refusalReason(call, now), clientRetryTime(call, now), effects);
    }
    m_queue = std::move(stillQueued);
}

/// By the limits that they name and the rests that they ask for, no server may get the request while it waits: it is refused at
/// once.
bool Dispatcher::isThrottledTooLong(const Call& call, TimePoint now) const
{
    auto throttling = m_loadBalancer.throttling(filterFor(call), now);
    return throttling && throttling->isEveryServer && throttling->nextSendAt > call.queueDeadline;
}

RefusalReason Dispatcher::refusalReason(const Call& call, TimePoint now) const
{
    if (!m_loadBalancer.hasServer(call.service))
        return RefusalReason::NoServer;
    auto throttling = m_loadBalancer.throttling(filterFor(call), now);
    if (!throttling || !throttling->isEveryServer)
        return RefusalReason::Overloaded;
    return throttling->isBackingOff ? RefusalReason::BackingOff : RefusalReason::Limited;
}

/// While a whole service forms anew, all its room is about to be free at once. Turned away, a client would come back when
/// the rush is on; kept for the moment that it takes, it is served first. It stays so long when the first group is back,
/// too: else whatever has waited longer than usual and finds the first server full is refused in the same moment, while
/// the other servers come free.
void Dispatcher::extendWaitForFormingGroups(TimePoint now)
{
    std::map<ServiceName, bool> isForming;
    for (auto id : m_queue) {
        auto& call = m_calls[id];
        auto [it, isNew] = isForming.try_emplace(call.service, false);
        if (isNew)
            it->second = m_loadBalancer.isForming(call.service, now);
        if (!it->second)
            continue;
        auto formingDeadline = std::min(call.request.arrivedAt + m_options.recoveryTimeout, call.request.deadline);
        call.queueDeadline = std::max(call.queueDeadline, formingDeadline);
    }
}

/// Failure: the machine beside one engine of many stands still. The streams there stand until their clients leave, new requests
/// are sent there as its places come free, and it works for nobody when it wakes. Taken back in time, streams go on
/// elsewhere, and their clients stay.
void Dispatcher::cancelStalledAttempts(TimePoint now, Effects& effects)
{
    if (!m_nextStallCheckAt || now < *m_nextStallCheckAt)
        return;
    m_nextStallCheckAt.reset();
    for (auto& [id, call] : m_calls) {
        if (!call.currentServer || !call.request.route->isStream)
            continue;
        m_nextStallCheckAt = now + stallCheckInterval;
        if (!isStalled(call, now) || !m_retries.tryTake(call.service, now))
            continue;
        call.isAttemptCancelled = true;
        m_loadBalancer.onStalled(now, *call.currentServer);
        effects.push_back(CancelAttempt { id });
    }
}

/// True for a stream that another server can take, whose own says nothing while others go on. A request that has not begun may
/// wait its turn there; it counts once its server is suspect by another stream, here or at another entry.
bool Dispatcher::isStalled(const Call& call, TimePoint now) const
{
    auto silenceThreshold = now - m_options.stallTimeout;
    if (call.isAttemptCancelled || call.lastActivityAt > silenceThreshold || !mayRetry(call, AttemptOutcome::Stalled, now))
        return false;
    bool mayRunElsewhere = call.ranOn.size() + 1 < std::max(call.request.route->maximumServers, 1U);
    bool isServerSilent = m_loadBalancer.lastActivityAt(*call.currentServer) <= silenceThreshold && (call.hasResponseStarted || m_loadBalancer.isSuspect(*call.currentServer, now));
    return mayRunElsewhere && isServerSilent && m_loadBalancer.hasActivityElsewhere(call.service, *call.currentServer, now) && m_loadBalancer.hasCapacityElsewhere(call.service, *call.currentServer, now);
}

void Dispatcher::onStreamProgressed(TimePoint now, CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.currentServer)
        return;
    it->second.lastActivityAt = now;
    m_loadBalancer.onActivity(now, *it->second.currentServer);
}

void Dispatcher::endAttempt(Call& call)
{
    if (!call.currentServer)
        return;
    m_loadBalancer.onAttemptEnded(*call.currentServer, { call.request.promptTokens }, call.hasResponseStarted);
    call.currentServer.reset();
}

void Dispatcher::onResponseStarted(TimePoint now, CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.currentServer || it->second.hasResponseStarted)
        return;
    it->second.hasResponseStarted = true;
    onStreamProgressed(now, id);
    m_loadBalancer.onResponseStarted(*it->second.currentServer, { it->second.request.promptTokens });
}

void Dispatcher::onAttemptEnded(TimePoint now, const AttemptEnded& event, Effects& effects)
{
    auto it = m_calls.find(event.call);
    if (it == m_calls.end() || !it->second.currentServer)
        return;
    auto& call = it->second;
    auto server = *call.currentServer;
    endAttempt(call);
    if (event.outcome == AttemptOutcome::Answered) {
        m_loadBalancer.onSuccess(server);
        return;
    }
    updateServerState(now, server, event.outcome, call);
    call.lastOutcome = event.outcome;
    call.triedServers.push_back(server);
    if (!isNotRun(event.outcome)) {
        call.ranOn.push_back(server);
        call.verdict = combine(call.verdict, event.outcome == AttemptOutcome::ServerError ? Verdict::Ran : Verdict::MayHaveRun);
    }
    if (mayWaitForGroups(call, event.outcome, now)) {
        queueForRetry(event.call, call, now, call.request.arrivedAt + m_options.recoveryTimeout);
        return;
    }
    if (!mayRetry(call, event.outcome, now)) {
        failCall(event.call, call, event.outcome, now, effects);
        return;
    }
    if (tryStartAttempt(event.call, call, now, effects))
        return;
    if (event.outcome == AttemptOutcome::ServerError) {
        failCall(event.call, call, event.outcome, now, effects);
        return;
    }
    // Its servers may be back in a moment. It goes before what has not begun: somebody has waited for it already. What
    // has not run waits no longer than one that has just come.
    queueForRetry(event.call, call, now, call.verdict == Verdict::NotRun ? call.queueDeadline : now + m_options.recoveryTimeout);
}

void Dispatcher::queueForRetry(CallId id, Call& call, TimePoint now, TimePoint until)
{
    call.queueDeadline = std::min(until, call.request.deadline);
    call.triedServers.clear();
    call.retryAt = now + m_options.retryDelay;
    m_queue.insert(m_queue.begin(), id);
}

/// Failure: groups form after a loss of power and nobody has said so yet. A request spends its tries at one rank after the
/// other within milliseconds and is refused; most clients return once only, and the service is back half a second later.
bool Dispatcher::mayWaitForGroups(const Call& call, AttemptOutcome outcome, TimePoint now) const
{
    bool isRejected = outcome == AttemptOutcome::NotRun && call.verdict == Verdict::NotRun && call.rankRejections >= m_options.maxRankRejections;
    return isRejected && now + m_options.retryDelay < call.request.arrivedAt + m_options.recoveryTimeout;
}

void Dispatcher::updateServerState(TimePoint now, const ServerIncarnation& server, AttemptOutcome outcome, Call& call)
{
    if (outcome == AttemptOutcome::Misdirected)
        m_loadBalancer.onReplaced(server);
    else if (outcome == AttemptOutcome::NotRun)
        call.rankRejections += m_loadBalancer.onRejected(now, server) ? 1 : 0;
    else if (isServerSuspect(outcome))
        m_loadBalancer.onFailure(now, server);
}

bool Dispatcher::mayRetry(const Call& call, AttemptOutcome outcome, TimePoint now) const
{
    bool isSafe = call.request.route->isIdempotent || call.verdict == Verdict::NotRun;
    if (!isSafe || outcome == AttemptOutcome::TimedOut || call.attempts >= m_options.maxAttempts)
        return false;
    // A failure of the server's own mostly comes of the request: another server is asked once, the same ones not again.
    if (outcome == AttemptOutcome::ServerError && call.ranOn.size() >= call.request.route->maximumServers)
        return false;
    return now + minAttemptTime < call.request.deadline;
}

void Dispatcher::failCall(CallId id, Call& call, AttemptOutcome outcome, TimePoint now, Effects& effects)
{
    if (outcome == AttemptOutcome::ServerError) {
        effects.push_back(ForwardError { id });
        return;
    }
    if (call.verdict == Verdict::NotRun) {
        auto reason = isThrottledTooLong(call, now) ? refusalReason(call, now) : RefusalReason::AttemptsExhausted;
        refuse(now, id, call, reason, clientRetryTime(call, now), effects);
        return;
    }
    refuse(now, id, call, outcome == AttemptOutcome::TimedOut ? RefusalReason::TimedOut : RefusalReason::Lost, std::nullopt, effects);
}

void Dispatcher::refuse(TimePoint now, CallId id, const Call& call, RefusalReason reason, std::optional<TimePoint> retryAt, Effects& effects)
{
    effects.push_back(Refuse { id, reason, call.verdict, retryAt, call.service, m_loadBalancer.occupancy(call.service, now), m_queue.size() });
}

TimePoint outageRetryTime(TimePoint now, TimePoint deadline, policy::Generator& generator)
{
    auto left = std::max(deadline - now, Clock::duration(0));
    auto maxWait = std::chrono::duration_cast<Clock::duration>(maxWaitShare * left);
    // Spread, so that the clients of a whole outage don't return in one moment.
    boost::random::uniform_real_distribution<double> spread(0.8, 1.0);
    auto wait = std::min<Clock::duration>(outageRetryDelay, maxWait);
    return now + std::chrono::duration_cast<Clock::duration>(spread(generator) * wait);
}

/// Clients come back one after the other as the limits have room for them; one whose turn is later than it waits for
/// comes back towards the end of that time.
TimePoint Dispatcher::retryTimeWithinLimits(const Call& call, double rate, TimePoint now)
{
    auto left = std::max(call.request.deadline - now, Clock::duration(0));
    auto maxWait = std::chrono::duration_cast<Clock::duration>(maxWaitShare * left);
    auto& next = m_nextClientRetryAt[call.service];
    auto at = std::max(next, now + std::min<Clock::duration>(overloadRetryDelay, maxWait));
    if (rate <= 0 || at > now + maxWait) {
        boost::random::uniform_real_distribution<double> spread(0.5, 1.0);
        return now + std::chrono::duration_cast<Clock::duration>(spread(m_generator) * maxWait);
    }
    next = at + std::chrono::duration_cast<Clock::duration>(std::min(std::chrono::duration<double>(1 / rate), std::chrono::duration<double>(maxClientWait)));
    return at;
}

/// The true time, also where clients wait for less: until then they would be turned away again. Those that come during a long
/// rest return over as much longer a time, so that what has gathered does not arrive in one moment.
TimePoint Dispatcher::retryTimeAfterBackOff(const Call& call, TimePoint backOffEndsAt, TimePoint now)
{
    auto maxWaitEndsAt = now + std::chrono::duration_cast<Clock::duration>(maxWaitShare * std::max(call.request.deadline - now, Clock::duration(0)));
    auto latest = backOffEndsAt + std::max<Clock::duration>(overloadRetryJitter, (backOffEndsAt - now) / 2);
    if (backOffEndsAt < maxWaitEndsAt)
        latest = std::min(latest, maxWaitEndsAt);
    boost::random::uniform_real_distribution<double> spread(0, 1);
    return backOffEndsAt + std::chrono::duration_cast<Clock::duration>(spread(m_generator) * (latest - backOffEndsAt));
}

TimePoint Dispatcher::clientRetryTime(const Call& call, TimePoint now)
{
    if (!m_loadBalancer.hasServer(call.service) || m_loadBalancer.isForming(call.service, now))
        return outageRetryTime(now, call.request.deadline, m_generator);
    if (auto throttling = m_loadBalancer.throttling(filterFor(call), now); throttling && throttling->isEveryServer)
        return throttling->isBackingOff && throttling->rate <= 0 ? retryTimeAfterBackOff(call, throttling->nextSendAt, now) : retryTimeWithinLimits(call, throttling->rate, now);
    boost::random::uniform_int_distribution<int> spread(0, static_cast<int>(overloadRetryJitter.count()));
    return now + overloadRetryDelay + milliseconds(spread(m_generator));
}

void Dispatcher::onCallClosed(CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    endAttempt(it->second);
    std::erase(m_queue, id);
    m_calls.erase(it);
}

std::optional<TimePoint> Dispatcher::nextTick() const
{
    auto next = m_nextStallCheckAt;
    std::set<ServiceName> services;
    for (auto id : m_queue) {
        auto it = m_calls.find(id);
        auto& call = it->second;
        auto filter = filterFor(call);
        bool isNewFilter = filter.allowed || services.insert(call.service).second;
        if (auto throttling = isNewFilter ? m_loadBalancer.throttling(filter, m_lastEventAt) : std::nullopt)
            next = std::min(next.value_or(throttling->nextSendAt), throttling->nextSendAt);
        // One whose pause is over and that found no room waits for an event.
        auto due = call.retryAt > m_lastEventAt ? std::min(call.retryAt, call.queueDeadline) : call.queueDeadline;
        if (!next || due < *next)
            next = due;
    }
    return next;
}

} // namespace swiftloft::gateway
