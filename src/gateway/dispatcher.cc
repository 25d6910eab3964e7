#include "src/gateway/dispatcher.h"

#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <set>

namespace swiftloft::gateway {

using namespace dispatch;

namespace {

/// Interval between checks for servers that have fallen silent.
constexpr milliseconds stallCheckInterval { 200 };
/// An attempt with less time left is not started: connecting alone takes a few milliseconds.
constexpr milliseconds minAttemptTime { 15 };

bool isServerSuspect(AttemptOutcome outcome)
{
    // A stalled server already became suspect when its stream was offered to another one.
    return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::ConnectionRefused || outcome == AttemptOutcome::Lost || outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::ServerError;
}

} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::NotSent:
        return "not-sent";
    case AttemptOutcome::ConnectionRefused:
        return "connection-refused";
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
    case AttemptOutcome::Superseded:
        return "superseded";
    case AttemptOutcome::Stopped:
        return "stopped";
    }
    return "unknown";
}

bool isNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::ConnectionRefused || outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::Misdirected;
}

Dispatcher::Dispatcher(const DispatcherOptions& options, policy::Generator generator)
    : m_options(options)
    , m_generator(generator)
    , m_loadBalancer(options.coldLimits, options.regions)
    , m_estimate(options.estimate)
    , m_crashes(options.crashes)
    , m_retries(options.retries)
    , m_admission(options.admission)
    , m_retrySchedule(generator)
{
}

Effects Dispatcher::apply(TimePoint now, const Event& event)
{
    // Handled separately: they occur with every event of every stream and free no capacity.
    if (auto* progressed = std::get_if<StreamProgressed>(&event)) {
        onStreamProgressed(now, *progressed);
        return {};
    }
    if (auto* delivered = std::get_if<StreamDelivered>(&event)) {
        onStreamDelivered(now, delivered->call);
        return {};
    }
    Effects effects;
    if (auto* arrived = std::get_if<RequestArrived>(&event))
        onRequestArrived(now, *arrived, effects);
    else if (auto* ended = std::get_if<AttemptEnded>(&event))
        onAttemptEnded(now, *ended, effects);
    else if (auto* responseStarted = std::get_if<ResponseStarted>(&event))
        onResponseStarted(now, responseStarted->call);
    else if (auto* received = std::get_if<ResponseReceived>(&event))
        onResponseReceived(received->call);
    else if (auto* accepted = std::get_if<TakeoverAccepted>(&event))
        onTakeoverAccepted(now, accepted->call);
    else if (auto* failed = std::get_if<TakeoverFailed>(&event))
        onTakeoverFailed(now, *failed, effects);
    else if (auto* closed = std::get_if<CallClosed>(&event))
        onCallClosed(now, closed->call);
    else if (auto* limit = std::get_if<LimitReceived>(&event))
        m_loadBalancer.onLimitReceived(now, limit->server, limit->sentAt, limit->limit);
    else if (auto* backOff = std::get_if<BackOffRequested>(&event))
        m_loadBalancer.onBackOffRequested(now, backOff->server, backOff->backOff);
    else if (auto* leaving = std::get_if<LeavingReported>(&event)) {
        if (m_loadBalancer.onLeavingReported(leaving->server))
            effects.push_back(PublishLeaving { leaving->server });
    } else if (auto* changed = std::get_if<SnapshotChanged>(&event))
        onSnapshotChanged(now, *changed->snapshot);
    else if (auto* load = std::get_if<LoadReceived>(&event)) {
        m_loadBalancer.onLoadUpdate(now, load->update);
        m_admission.onLoadUpdate(now, load->update);
        m_crashes.onReports(now, load->update.suspicions);
        m_crashes.onPeerTrials(now, load->update.incarnation, load->update.trials);
    } else if (auto* suspicions = std::get_if<SuspicionsReceived>(&event))
        m_crashes.onReports(now, suspicions->reports);
    else if (auto* refused = std::get_if<ProbeRefused>(&event))
        onServerEnded(now, refused->server, crashes::Evidence::ConnectionRefused);
    else if (auto* stop = std::get_if<StopScheduled>(&event))
        m_stop = *stop;
    offerStalledCalls(now, effects);
    endCallsAtStop(now, effects);
    dispatchQueued(now, effects);
    m_lastEventAt = now;
    return effects;
}

void Dispatcher::onSnapshotChanged(TimePoint now, const Snapshot& snapshot)
{
    findEndedServers(now, snapshot);
    m_loadBalancer.setServers(now, snapshot);
    m_admission.setFleet(now, snapshot);
    m_estimate.setSnapshot(now, snapshot);
    m_retries.start(now);
    m_retries.raiseMaxEntries(snapshot.maxEntries);
    m_crashes.tick(now);
    m_hasAcceptingPeer = std::any_of(snapshot.entries.begin(), snapshot.entries.end(), [](auto& it) { return it.state == EntryState::Serving; })
        || std::any_of(snapshot.leavers.begin(), snapshot.leavers.end(), [&](auto& it) { return it.clients != snapshot.self.clients; });
}

void Dispatcher::onRequestArrived(TimePoint now, const RequestArrived& event, Effects& effects)
{
    auto& call = m_calls[event.call];
    call.request = event.request;
    call.service = pickService(*event.request.route);
    call.parts = crashes::promptParts(call.service, event.request.sharedParts);
    call.homes = homesOf(event.request.route->homes, event.request.organisationHomes, m_options.regions);
    m_retries.onRequest(call.service, now);
    if (!m_loadBalancer.hasServer(filterFor(call))) {
        refuse(now, event.call, call, refusalReason(call, now), clientRetryTime(call, now), effects);
        return;
    }
    if (refuseIfQuarantined(event.call, call, now, effects))
        return;
    m_admission.onArrived(now, queuedRequest(event.call, call));
    updateQueueDeadline(event.call, call, now);
    m_estimate.onRequestArrived(call.service, requestView(call.request, call.queueDeadline, 0));
    m_queue.push(queuedRequest(event.call, call));
}

admission::QueuedRequest Dispatcher::queuedRequest(CallId id, const Call& call)
{
    auto& request = call.request;
    return { id, request.priority, call.service, request.organisation, request.promptTokens + request.expectedOutputTokens.value_or(request.outputTokens), call.attempts > 0 };
}

void Dispatcher::updateQueueDeadline(CallId id, Call& call, TimePoint now)
{
    if (!call.isQueueTimeExtended)
        call.queueDeadline = std::min(m_admission.queueDeadline(now, queuedRequest(id, call), call.request.arrivedAt, call.request.route->objective), call.request.deadline);
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
    // Once a request has run on the permitted number of servers, only those may get it again.
    if (call.ranOn.size() >= std::max(call.request.route->maximumServers, 1U))
        return { call.service, {}, call.ranOn, call.homes };
    return { call.service, call.triedServers, std::nullopt, call.homes };
}

bool Dispatcher::tryTakeRetry(CallId id, Call& call, TimePoint now, Effects& effects)
{
    if (m_retries.tryTake(call.service, now)) {
        m_servicesWithoutRetries.erase(call.service);
        return true;
    }
    if (std::exchange(call.isRetryDenied, true))
        return false;
    bool isFirst = m_servicesWithoutRetries.insert(call.service).second;
    effects.push_back(RetryDenied { id, call.service, m_retries.use(call.service, now), isFirst });
    return false;
}

bool Dispatcher::tryStartAttempt(CallId id, Call& call, TimePoint now, Effects& effects)
{
    auto action = quarantineAction(call, now);
    if (action == policy::QuarantineAction::Wait || action == policy::QuarantineAction::Refuse)
        return false;
    auto filter = filterFor(call);
    filter.prefersIdle = action == policy::QuarantineAction::RunAlone;
    std::vector<ServerIncarnation> excluded;
    if (filter.prefersIdle && !filter.allowed) {
        // A server that has just ended is listed for a while and looks idle.
        excluded = m_crashes.endedServers();
        excluded.insert(excluded.end(), filter.excluded.begin(), filter.excluded.end());
        filter.excluded = excluded;
    }
    auto server = m_loadBalancer.choose(filter, now, m_generator);
    if (!server)
        return false;
    if (call.attempts > 0 && !tryTakeRetry(id, call, now, effects))
        return false;
    if (call.attempts == 0) {
        m_admission.onAdmitted(now, queuedRequest(id, call));
        m_retrySchedule.onAdmitted(now, call.service);
    }
    call.isTrial = action == policy::QuarantineAction::RunAlone;
    if (call.isTrial)
        startTrial(call, now);
    ++call.attempts;
    call.sentAt = now;
    call.currentServer = server->incarnation();
    call.hasResponseStarted = false;
    call.hasProgressed = false;
    call.hasServerEnded = false;
    call.lastActivityAt = now;
    call.isAttemptCancelled = false;
    call.isDelivering = false;
    call.stopForecast = m_stop ? forecastOf(call, now) : std::nullopt;
    if (auto at = stallTime(call))
        scheduleStallCheck(call, *at, now);
    auto retries = call.attempts > 1 ? std::optional(m_retries.use(call.service, now)) : std::nullopt;
    effects.push_back(StartAttempt { id, *server, m_loadBalancer.runningRequests(server->incarnation(), now), m_loadBalancer.limitOf(server->incarnation()), retries });
    m_loadBalancer.onAttemptStarted(now, server->incarnation(), { call.request.promptTokens });
    m_estimate.onAttemptStarted(now, call.clock, server->incarnation());
    return true;
}

void Dispatcher::dispatchQueued(TimePoint now, Effects& effects)
{
    auto order = m_admission.beginRound(now, m_queue);
    extendWaitForFormingGroups(now);
    // If a request that may go to any server finds no capacity, no other request of the service with the same homes does:
    // with hundreds of servers each search is expensive.
    std::set<std::pair<ServiceName, HomeSet>> fullServices;
    std::size_t queuedBefore = 0;
    for (auto id : order) {
        auto& call = m_calls[id];
        if (refuseIfQuarantined(id, call, now, effects)) {
            m_queue.remove(id);
            continue;
        }
        updateQueueDeadline(id, call, now);
        if (call.verdict == Verdict::NotRun && !canEndBeforeStop(call, now)) {
            m_queue.remove(id);
            refuseForStop(id, call, now, effects);
            continue;
        }
        if (auto forecast = forecastRefusal(call, now, queuedBefore, false)) {
            refuseUnfinishable(id, call, *forecast, now, effects);
            continue;
        }
        bool isHeldBack = !m_admission.mayStart(now, queuedRequest(id, call), [&] { return m_loadBalancer.freeSlots(call.service, now); });
        auto decision = quarantineDecision(call, now);
        bool isTrialRunning = decision.action == policy::QuarantineAction::Wait;
        bool mayStart = !isTrialRunning && now >= call.retryAt && !fullServices.contains({ call.service, call.homes }) && !isHeldBack;
        if (mayStart && tryStartAttempt(id, call, now, effects)) {
            m_queue.remove(id);
            continue;
        }
        if (mayStart && call.attempts == 0)
            fullServices.emplace(call.service, call.homes);
        auto before = queuedBefore++;
        if (auto forecast = isHeldBack || isTrialRunning ? std::nullopt : forecastRefusal(call, now, before, true)) {
            refuseUnfinishable(id, call, *forecast, now, effects);
            continue;
        }
        if (now < call.queueDeadline && m_loadBalancer.hasServer(filterFor(call)) && !isThrottledTooLong(call, now))
            continue;
        m_queue.remove(id);
        if (call.lastOutcome)
            failCall(id, call, *call.lastOutcome, now, effects);
        else if (isTrialRunning) {
            refuse(now, id, call, RefusalReason::SuspectRunning, clientRetryTime(call, now), effects);
            std::get<Refuse>(effects.back()).part = decision.part;
        } else
            refuse(now, id, call, refusalReason(call, now), clientRetryTime(call, now), effects);
    }
    m_admission.endRound(now, m_queue);
}

/// Extends the wait of requests whose service is re-forming as a whole. All capacity of the service is about to become
/// free at the same moment. A client refused now would retry in the middle of the rush that follows, while a queued
/// request is served before the rush. The extended wait stays in force when the first group is back. Otherwise all
/// requests that have waited longer than usual and find the first server full would be refused at that moment, while
/// the other servers become free.
void Dispatcher::extendWaitForFormingGroups(TimePoint now)
{
    std::map<std::pair<ServiceName, HomeSet>, bool> isForming;
    for (auto id : m_queue.order()) {
        auto& call = m_calls[id];
        auto [it, isNew] = isForming.try_emplace({ call.service, call.homes }, false);
        if (isNew)
            it->second = m_loadBalancer.isForming(call.service, now, call.homes);
        if (!it->second)
            continue;
        auto formingDeadline = std::min(call.request.arrivedAt + m_options.recoveryTimeout, call.request.deadline);
        updateQueueDeadline(id, call, now);
        call.queueDeadline = std::max(call.queueDeadline, formingDeadline);
        call.isQueueTimeExtended = true;
    }
}

/// Guards against the stall of a single engine's machine. The engine's streams would hang until their clients
/// disconnect. The slots of these clients would become free and be given new requests, and when the engine resumes, it
/// would work for clients that have left. If the streams continue on other servers in time, their clients stay.
///
/// An engine may also pause a request and resume it in time. The silent server therefore keeps each request until another server
/// has taken it over.
void Dispatcher::offerStalledCalls(TimePoint now, Effects& effects)
{
    if (!m_nextStallCheckAt || now < *m_nextStallCheckAt)
        return;
    m_nextStallCheckAt.reset();
    for (auto& [id, call] : m_calls) {
        auto at = call.currentServer ? stallTime(call) : std::nullopt;
        if (!at)
            continue;
        scheduleStallCheck(call, *at, now);
        if (*at <= now && isStalled(call, now))
            tryStartTakeover(id, call, now, effects);
    }
}

std::optional<TimePoint> Dispatcher::stallTime(const Call& call) const
{
    auto& route = *call.request.route;
    if (!route.isIdempotent || route.maximumServers < 2)
        return std::nullopt;
    if (route.isStream)
        return call.lastActivityAt + m_options.stallTimeout;
    if (route.objective <= milliseconds(0))
        return std::nullopt;
    return call.sentAt + m_options.maxSilentObjectives * route.objective;
}

void Dispatcher::scheduleStallCheck(const Call& call, TimePoint stalledAt, TimePoint now)
{
    auto next = now + stallCheckInterval;
    // Whether the server of a stream is silent may change with each event of another stream.
    if (!call.request.route->isStream)
        next = std::max(next, stalledAt);
    m_nextStallCheckAt = std::min(m_nextStallCheckAt.value_or(next), next);
}

void Dispatcher::tryStartTakeover(CallId id, Call& call, TimePoint now, Effects& effects)
{
    if (quarantineAction(call, now) != policy::QuarantineAction::Admit)
        return;
    auto excluded = call.triedServers;
    excluded.push_back(*call.currentServer);
    auto server = m_loadBalancer.choose({ call.service, excluded, std::nullopt, call.homes }, now, m_generator);
    if (!server || m_loadBalancer.isSuspect(server->incarnation(), now) || !tryTakeRetry(id, call, now, effects))
        return;
    if (call.request.route->isStream)
        m_loadBalancer.onStalled(now, *call.currentServer);
    else
        m_loadBalancer.onFailure(now, *call.currentServer);
    ++call.attempts;
    call.takeover = Call::Takeover { server->incarnation(), now };
    effects.push_back(StartTakeover { id, *server, m_loadBalancer.runningRequests(server->incarnation(), now), m_loadBalancer.limitOf(server->incarnation()), m_retries.use(call.service, now) });
    m_loadBalancer.onAttemptStarted(now, server->incarnation(), { call.request.promptTokens });
}

ServerIncarnation Dispatcher::endTakeover(Call& call)
{
    auto server = call.takeover->server;
    call.takeover.reset();
    m_loadBalancer.onAttemptEnded(server, { call.request.promptTokens }, false);
    return server;
}

void Dispatcher::onTakeoverAccepted(TimePoint now, CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.takeover || !it->second.currentServer)
        return;
    auto& call = it->second;
    auto stalledServer = *call.currentServer;
    endAttempt(call, now, { id, AttemptOutcome::Stalled });
    recordFailedServer(call, stalledServer, AttemptOutcome::Stalled);
    auto takeover = *std::exchange(call.takeover, std::nullopt);
    call.sentAt = takeover.sentAt;
    call.currentServer = takeover.server;
    call.hasProgressed = false;
    call.hasServerEnded = false;
    call.stopForecast = m_stop ? forecastOf(call, now) : std::nullopt;
    m_estimate.onAttemptStarted(takeover.sentAt, call.clock, takeover.server);
    call.lastActivityAt = now;
    call.hasResponseStarted = false;
    if (!call.request.route->isStream)
        return;
    // The head of a response is no event of the stream.
    call.hasResponseStarted = true;
    call.responseStartedAt = now;
    m_loadBalancer.onActivity(now, takeover.server);
    m_loadBalancer.onResponseStarted(takeover.server, { call.request.promptTokens });
}

void Dispatcher::onTakeoverFailed(TimePoint now, const TakeoverFailed& event, Effects& effects)
{
    auto it = m_calls.find(event.call);
    if (it == m_calls.end() || !it->second.takeover)
        return;
    auto& call = it->second;
    recordTakeoverOutcome(event.call, call, event.outcome, now);
    auto server = endTakeover(call);
    gatherEvidence(now, server, event.outcome, call, effects);
    updateServerState(now, server, event.outcome, call);
    recordFailedServer(call, server, event.outcome);
}

std::optional<capacity::Forecast> Dispatcher::forecastOf(const Call& call, TimePoint now) const
{
    return m_estimate.forecast(now, call.service, requestView(call.request, call.queueDeadline, 0), m_loadBalancer.useOf(call.service, now));
}

bool Dispatcher::canEndBeforeStop(const Call& call, TimePoint now) const
{
    if (!m_stop || call.request.deadline <= m_stop->deadline)
        return true;
    // A forecast may fail: servers become slow, and streams are longer than their clients expect.
    if (now >= m_stop->acceptsUntil)
        return false;
    auto forecast = forecastOf(call, now);
    return !forecast || now + forecast->duration <= m_stop->deadline;
}

/// Without this, the end of the process would reset the connections of all clients that still wait, and a client would not
/// know whether its request ran.
void Dispatcher::endCallsAtStop(TimePoint now, Effects& effects)
{
    if (!isStopDeadlineReached(now))
        return;
    for (auto& [id, call] : m_calls) {
        if (call.currentServer && !std::exchange(call.isAttemptCancelled, true))
            effects.push_back(CancelAttempt { id });
    }
    for (auto id : m_queue.order()) {
        auto& call = m_calls[id];
        m_queue.remove(id);
        if (call.verdict == Verdict::NotRun)
            refuseForStop(id, call, now, effects);
        else
            failCall(id, call, *call.lastOutcome, now, effects);
    }
}

/// A response that is sent as a whole shows no progress. A stream's server is silent if none of its streams makes progress while
/// other servers do. A stream whose response has not started may just be waiting in the queue of its server. Its server
/// counts as silent only once it is suspect because of another stream, of this or another entry.
bool Dispatcher::isServerSilent(const Call& call, TimePoint now) const
{
    if (!call.request.route->isStream)
        return true;
    auto& server = *call.currentServer;
    bool hasBegun = call.hasResponseStarted || m_loadBalancer.isSuspect(server, now);
    return hasBegun && m_loadBalancer.lastActivityAt(server) <= now - m_options.stallTimeout && m_loadBalancer.hasActivityElsewhere(call.service, server, now, call.homes);
}

/// True for a call that waits for a silent server, if another server can take it.
bool Dispatcher::isStalled(const Call& call, TimePoint now) const
{
    bool isWaiting = !call.isAttemptCancelled && !call.takeover && !call.isDelivering;
    bool mayRunElsewhere = call.ranOn.size() + 1 < call.request.route->maximumServers;
    return isWaiting && mayRunElsewhere && mayRetry(call, AttemptOutcome::Stalled, now) && isServerSilent(call, now) && m_loadBalancer.hasCapacityElsewhere(call.service, *call.currentServer, now, call.homes);
}

void Dispatcher::onStreamProgressed(TimePoint now, const StreamProgressed& event)
{
    auto it = m_calls.find(event.call);
    if (it == m_calls.end() || !it->second.currentServer)
        return;
    it->second.lastActivityAt = now;
    it->second.isDelivering = event.isDelivering;
    recordProgress(it->second, now);
    m_loadBalancer.onActivity(now, *it->second.currentServer);
    capacity::ServiceEstimate::onEvent(now, it->second.clock);
}

void Dispatcher::onResponseReceived(CallId id)
{
    auto it = m_calls.find(id);
    if (it != m_calls.end())
        it->second.isDelivering = true;
}

void Dispatcher::onStreamDelivered(TimePoint now, CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !std::exchange(it->second.isDelivering, false))
        return;
    it->second.lastActivityAt = now;
}

void Dispatcher::endAttempt(Call& call, TimePoint now, const AttemptEnded& event)
{
    if (!call.currentServer)
        return;
    recordOutcome(call, *call.currentServer, event, now);
    m_estimate.onAttemptEnded(now, call.clock, call.service, *call.currentServer, *call.request.route, event.outcome == AttemptOutcome::Answered);
    m_loadBalancer.onAttemptEnded(*call.currentServer, { call.request.promptTokens }, call.hasResponseStarted);
    if (call.hasResponseStarted)
        m_admission.onSlotReleased(call.service, now - call.sentAt);
    call.currentServer.reset();
}

void Dispatcher::onResponseStarted(TimePoint now, CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.currentServer || it->second.hasResponseStarted)
        return;
    it->second.hasResponseStarted = true;
    it->second.responseStartedAt = now;
    onStreamProgressed(now, { id });
    m_loadBalancer.onResponseStarted(*it->second.currentServer, { it->second.request.promptTokens });
}

void Dispatcher::onAttemptEnded(TimePoint now, const AttemptEnded& event, Effects& effects)
{
    auto it = m_calls.find(event.call);
    if (it == m_calls.end() || !it->second.currentServer)
        return;
    auto& call = it->second;
    auto server = *call.currentServer;
    endAttempt(call, now, event);
    if (event.outcome == AttemptOutcome::Answered) {
        m_loadBalancer.onSuccess(server);
        return;
    }
    gatherEvidence(now, server, event.outcome, call, effects);
    updateServerState(now, server, event.outcome, call);
    call.lastOutcome = event.outcome;
    recordFailedServer(call, server, event.outcome);
    bool hasResponse = event.outcome == AttemptOutcome::ServerError;
    if (!hasResponse && refuseIfQuarantined(event.call, call, now, effects))
        return;
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
    // The servers may recover within moments. The request goes before those that have not started, because its client
    // is already waiting. A request that has not run waits no longer than one that has just arrived.
    queueForRetry(event.call, call, now, call.verdict == Verdict::NotRun ? call.queueDeadline : now + m_options.recoveryTimeout);
}

void Dispatcher::recordFailedServer(Call& call, const ServerIncarnation& server, AttemptOutcome outcome)
{
    call.triedServers.push_back(server);
    if (isNotRun(outcome))
        return;
    call.ranOn.push_back(server);
    call.verdict = combine(call.verdict, outcome == AttemptOutcome::ServerError ? Verdict::Ran : Verdict::MayHaveRun);
}

void Dispatcher::queueForRetry(CallId id, Call& call, TimePoint now, TimePoint until)
{
    call.queueDeadline = std::min(until, call.request.deadline);
    call.isQueueTimeExtended = true;
    call.triedServers.clear();
    call.retryAt = now + m_options.retryDelay;
    m_queue.pushFirst(queuedRequest(id, call));
}

/// Guards against refusals right after a power loss, when groups are forming and no agent has reported it yet. A
/// request would use up its attempts on one rank after the other within milliseconds and be refused, although the
/// service is back half a second later. Most clients retry only once.
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
    bool hasNotRun = isNotRun(outcome) && call.verdict == Verdict::NotRun;
    if (isStopDeadlineReached(now) || (hasNotRun && !canEndBeforeStop(call, now)))
        return false;
    bool isSafe = call.request.route->isIdempotent || call.verdict == Verdict::NotRun;
    if (!isSafe || outcome == AttemptOutcome::TimedOut || call.attempts >= m_options.maxAttempts)
        return false;
    // The server of a trial may have crashed under it: another attempt could crash one more server before that is known.
    if (call.isTrial && !isNotRun(outcome) && outcome != AttemptOutcome::ServerError)
        return false;
    // A server error is mostly caused by the request itself. The request is therefore retried on another server only:
    // once it has run on as many servers as the route allows, it is not sent to these again.
    if (outcome == AttemptOutcome::ServerError && call.ranOn.size() >= call.request.route->maximumServers)
        return false;
    return now + minAttemptTime < call.request.deadline;
}

void Dispatcher::onCallClosed(TimePoint now, CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    // If an attempt is in progress, the client has left.
    if (it->second.takeover)
        endTakeover(it->second);
    endAttempt(it->second, now, { id, AttemptOutcome::Lost });
    m_queue.remove(id);
    m_calls.erase(it);
}

std::optional<TimePoint> Dispatcher::nextTick() const
{
    auto next = m_nextStallCheckAt;
    // After the deadline the calls end by themselves, and no further tick is needed.
    if (m_stop && m_lastEventAt < m_stop->deadline)
        next = std::min(next.value_or(m_stop->deadline), m_stop->deadline);
    if (auto at = m_admission.nextCheck(); at && m_queue.size() > 0)
        next = std::min(next.value_or(*at), *at);
    std::set<std::pair<ServiceName, HomeSet>> services;
    for (auto id : m_queue.order()) {
        auto it = m_calls.find(id);
        auto& call = it->second;
        auto filter = filterFor(call);
        bool isNewFilter = filter.allowed || services.emplace(call.service, call.homes).second;
        if (auto throttling = isNewFilter ? m_loadBalancer.throttling(filter, m_lastEventAt) : std::nullopt)
            next = std::min(next.value_or(throttling->nextSendAt), throttling->nextSendAt);
        // A request whose retry delay is over and that found no capacity waits for another event.
        auto due = call.retryAt > m_lastEventAt ? std::min(call.retryAt, call.queueDeadline) : call.queueDeadline;
        if (!next || due < *next)
            next = due;
    }
    return next;
}

} // namespace swiftloft::gateway
