#include "src/entry/reducer.h"

#include <swiftloft/membership/address-answer.h>

#include <fmt/format.h>

#include <algorithm>

namespace swiftloft::entry {

namespace {

/// `Retry-After` for conditions that are expected to change within seconds.
constexpr seconds shortRetryAfter { 1 };
constexpr milliseconds housekeepingInterval { 250 };
/// Interval at which a waiting request checks whether a server reserved for a suspected request is available again.
constexpr milliseconds reservedRetryInterval { 50 };
/// Time that a request waits for a peer's grant when it exceeds the part of a limit that this entry may use: a few
/// round trips within a region.
constexpr milliseconds grantTimeout { 60 };

RequestKey generateKey(Incarnation incarnation, RequestId id)
{
    return RequestKey(fmt::format("{:016x}-{}", incarnation.value(), id.value()));
}

/// A client's own key is unique only within its organisation.
RequestKey scopedKey(const OrganisationName& organisation, const RequestKey& clientKey)
{
    return RequestKey(fmt::format("{}/{}", organisation.value(), clientKey.value()));
}

} // namespace

Result<Reducer> Reducer::create(ReducerOptions options)
{
    auto quarantine = policy::CrashQuarantine::create({});
    if (!quarantine)
        return quarantine.error();
    return Reducer(std::move(options), std::move(*quarantine));
}

Reducer::Reducer(ReducerOptions options, policy::CrashQuarantine quarantine)
    : m_options(std::move(options))
    , m_generator(m_options.randomSeed)
    , m_serverRegistry(m_options.dataCentre)
    , m_limiter(m_options.self, m_options.incarnation, m_options.isFirstStart, m_options.startedAt)
    , m_quarantine(std::move(quarantine))
{
}

void Reducer::apply(const Event& event, Effects& effects)
{
    std::visit([&](auto& it) { on(it, effects); }, event);
}

std::shared_ptr<const settings::ServiceSettings> Reducer::service(const ServiceName& name)
{
    return m_resolver ? m_resolver->service(name) : nullptr;
}

void Reducer::on(const RequestArrived& event, Effects& effects)
{
    if (!m_resolver) {
        Refusal refusal;
        refusal.reason = RefusalReason::NotReady;
        refusal.retryAfter = shortRetryAfter;
        return refuseArrival(event, std::move(refusal), effects);
    }
    auto resolved = m_resolver->resolve(*event.info, event.now);
    if (auto refusal = boost::variant2::get_if<Refusal>(&resolved))
        return refuseArrival(event, *refusal, effects);
    Request request { event.worker, event.info, boost::variant2::get<ResolvedRequest>(std::move(resolved)) };
    request.arrivedAt = event.now;
    auto& clientKey = event.info->clientKey;
    request.key = clientKey ? scopedKey(request.resolved.organisation->name, *clientKey) : generateKey(m_options.incarnation, event.id);
    // A resend under a client's own key is the same request, which another entry may already have started. A refusal
    // must therefore not carry the verdict "not run".
    if (clientKey)
        request.verdict = Verdict::MayHaveRun;
    m_deadlines.emplace(request.resolved.deadline, event.id);
    request.cost = costOf(*request.resolved.service, *request.info);
    auto it = m_requests.insert_or_assign(event.id, std::move(request)).first;
    applyLimits(event.id, it->second, event.now, effects);
}

void Reducer::applyLimits(RequestId id, Request& request, TimePoint now, Effects& effects)
{
    auto decision = m_limiter.admit(request.resolved.organisation, request.cost, now, effects);
    if (!decision.refusal) {
        request.isCountedInLimits = true;
        return admit(id, request, now, effects);
    }
    // A peer may lend the missing part of the limit within one round trip, so the request waits for the grant. The wait
    // is bounded by the time that a grant takes and is not used to throttle the request.
    if (decision.isBorrowing && now < request.arrivedAt + grantTimeout) {
        m_awaitingGrant.emplace(request.arrivedAt + grantTimeout, id);
        return;
    }
    Refusal refusal;
    refusal.reason = *decision.refusal;
    refusal.retryAfter = policy::retryAfter({}, decision.retryAt, now, m_generator);
    failRequest(id, request, std::move(refusal), now, effects);
}

void Reducer::retryWaitingForGrant(TimePoint now, Effects& effects)
{
    auto waiting = std::exchange(m_awaitingGrant, {});
    for (auto& [until, id] : waiting) {
        auto it = m_requests.find(id);
        if (it != m_requests.end())
            applyLimits(id, it->second, now, effects);
    }
}

void Reducer::admit(RequestId id, Request& request, TimePoint now, Effects& effects)
{
    auto& resolved = request.resolved;
    applyDecisions(m_admission.onArrive(id, *resolved.service, *resolved.organisation, request.cost, resolved.deadline, now, m_generator), now, effects);
}

void Reducer::applyDecisions(const AdmissionController::Decisions& decisions, TimePoint now, Effects& effects)
{
    for (auto& decision : decisions) {
        auto it = m_requests.find(decision.id);
        if (it == m_requests.end())
            continue;
        if (decision.isStarted) {
            it->second.isAdmitted = true;
            dispatch(decision.id, it->second, now, effects);
            continue;
        }
        Refusal refusal;
        refusal.reason = RefusalReason::Overloaded;
        refusal.retryAfter = decision.retryAfter;
        failRequest(decision.id, it->second, std::move(refusal), now, effects);
    }
}

void Reducer::refuseArrival(const RequestArrived& event, Refusal refusal, Effects& effects) const
{
    refusal.verdict = event.info->clientKey ? Verdict::MayHaveRun : Verdict::NotRun;
    effects.push_back(RecordCompletion { event.info->service, event.info->organisation, refusal.verdict, refusal.reason });
    effects.push_back(RefuseRequest { event.worker, event.id, std::move(refusal) });
}

policy::RouteRequest Reducer::routeRequest(const Request& request) const
{
    return { request.info->prefix, request.info->promptTokens, request.info->expectedOutput, request.resolved.isRepeatable, request.triedServers };
}

void Reducer::dispatch(RequestId id, Request& request, TimePoint now, Effects& effects)
{
    if (refuseIfQuarantined(id, request, now, effects))
        return;
    if (request.needsClaim())
        return startClaim(id, request, now, effects);
    Attempt attempt;
    if (!m_quarantine.empty() && m_quarantine.check(request.resolved.fingerprint, now).action == policy::QuarantineAction::RunAlone) {
        if (chooseIsolationServer(request, attempt))
            return startAttempt(id, request, std::move(attempt), now, effects);
    }
    if (chooseServer(request, now, attempt))
        return startAttempt(id, request, std::move(attempt), now, effects);
    if (m_serverRegistry.hasReservedServer(request.resolved.service->name))
        return waitForReservedServer(id, now);
    Refusal refusal;
    refusal.reason = RefusalReason::NoBackendServer;
    refusal.retryAfter = shortRetryAfter;
    failRequest(id, request, std::move(refusal), now, effects);
}

bool Reducer::refuseIfQuarantined(RequestId id, Request& request, TimePoint now, Effects& effects)
{
    if (m_quarantine.empty())
        return false;
    auto decision = m_quarantine.check(request.resolved.fingerprint, now);
    if (decision.action != policy::QuarantineAction::Refuse && decision.action != policy::QuarantineAction::Wait)
        return false;
    Refusal refusal;
    refusal.reason = RefusalReason::Quarantined;
    refusal.retryAfter = std::max(shortRetryAfter, std::chrono::ceil<seconds>(decision.until - now));
    failRequest(id, request, std::move(refusal), now, effects);
    return true;
}

// Suspected requests use the servers exclusively, one after the other. Meanwhile the other requests wait, at most until
// their deadlines. The wait must neither consume retry budget nor end in a refusal: when it did, a crash with several
// requests in the engine led to the refusal of a sixth of all requests.
void Reducer::waitForReservedServer(RequestId id, TimePoint now)
{
    m_retries.emplace(now + reservedRetryInterval, id);
}

// A suspected request runs alone. All entries select the same server for it, so that a second crash affects no other
// request.
bool Reducer::chooseIsolationServer(const Request& request, Attempt& attempt) const
{
    auto server = policy::isolationServer(request.resolved.fingerprint, m_serverRegistry.upServers(request.resolved.service->name));
    if (!server)
        return false;
    attempt.server = *server;
    attempt.isRouted = false;
    attempt.isIsolated = true;
    return true;
}

bool Reducer::chooseServer(Request& request, TimePoint now, Attempt& attempt)
{
    auto& service = request.resolved.service->name;
    auto router = m_serverRegistry.router(service);
    if (!router)
        return false;
    auto choice = router->choose(routeRequest(request), now, m_generator);
    if (!choice)
        return false;
    router->onStart(*choice, routeRequest(request), now);
    request.triedServers.push_back(choice->server);
    attempt.server = *router->idOf(choice->server);
    attempt.choice = *choice;
    return true;
}

void Reducer::startAttempt(RequestId id, Request& request, Attempt attempt, TimePoint now, Effects& effects, std::optional<policy::ClaimRequest> claim, bool attachesOnly)
{
    attempt.serial = AttemptSerial(++m_lastAttempt);
    attempt.startedAt = now;
    ++request.attempts;
    AttemptSpec spec;
    spec.id = id;
    spec.attempt = attempt.serial;
    spec.key = request.key;
    auto& server = *m_serverRegistry.find(attempt.server);
    spec.ticket = { server.id, *server.incarnation, server.epoch, m_options.incarnation, attempt.serial.value() };
    spec.service = request.resolved.service->name;
    spec.organisation = request.resolved.organisation->name;
    spec.fingerprint = request.resolved.fingerprint;
    spec.priority = static_cast<int>(toPolicy(request.resolved.organisation->priority));
    spec.promptTokens = request.info->promptTokens;
    spec.expectedOutput = request.info->expectedOutput;
    spec.isRepeatable = request.resolved.isRepeatable;
    spec.runsAlone = attempt.isIsolated;
    spec.claim = std::move(claim);
    spec.attachesOnly = attachesOnly;
    spec.deadline = request.resolved.deadline;
    if (attempt.isIsolated)
        m_quarantine.onStartAlone(spec.fingerprint);
    request.attempt = std::move(attempt);
    effects.push_back(StartAttempt { request.worker, std::move(spec) });
}

void Reducer::failRequest(RequestId id, Request& request, Refusal refusal, TimePoint now, Effects& effects)
{
    refusal.verdict = request.verdict;
    if (request.attempt) {
        // The attempt has been sent to the agent, and the agent has not reported that the request did not start. The
        // request may therefore have run.
        refusal.verdict = combine(refusal.verdict, Verdict::MayHaveRun);
        effects.push_back(CancelAttempt { request.worker, id, request.attempt->server });
        releaseAttempt(request, policy::FailureKind::TimedOut, now);
    }
    recordCompletion(request, refusal.reason, now, effects);
    if (request.firstByteAt)
        effects.push_back(AbortResponse { request.worker, id, std::move(refusal) });
    else
        effects.push_back(RefuseRequest { request.worker, id, std::move(refusal) });
    removeRequest(id, now, effects);
}

void Reducer::recordCompletion(const Request& request, std::optional<RefusalReason> refusal, TimePoint now, Effects& effects) const
{
    RecordCompletion completion { request.resolved.service->name, request.resolved.organisation->name, request.verdict, refusal };
    completion.total = std::chrono::duration_cast<microseconds>(now - request.arrivedAt);
    completion.firstByte = std::chrono::duration_cast<microseconds>(request.firstByteAt.value_or(now) - request.arrivedAt);
    completion.attempts = request.attempts;
    auto& objective = request.resolved.service->objective;
    auto isInTime = request.resolved.service->kind == settings::ServiceKind::Model ? completion.firstByte <= objective.firstToken : completion.total <= objective.answer;
    completion.isWithinObjective = !refusal && isInTime;
    effects.push_back(std::move(completion));
}

void Reducer::removeRequest(RequestId id, TimePoint now, Effects& effects)
{
    auto it = m_requests.find(id);
    auto request = std::move(it->second);
    m_deadlines.erase({ request.resolved.deadline, id });
    m_requests.erase(it);
    auto& service = request.resolved.service->name;
    if (request.isCountedInLimits)
        m_limiter.release(*request.resolved.organisation, request.cost, request.verdict, now);
    if (!request.isAdmitted)
        return m_admission.onAbandon(service, id);
    applyDecisions(m_admission.onFinish(service, request.cost, now, m_generator), now, effects);
}

void Reducer::publishSuspicions(bool isUrgent, TimePoint now, Effects& effects)
{
    auto suspicions = m_quarantine.snapshot(now);
    m_hasSuspicions = !suspicions.empty();
    effects.push_back(PublishSuspicions { std::move(suspicions), isUrgent });
}

void Reducer::on(const ClientDisconnected& event, Effects& effects)
{
    auto it = m_requests.find(event.id);
    if (it == m_requests.end())
        return;
    auto& request = it->second;
    if (request.attempt) {
        effects.push_back(CancelAttempt { request.worker, event.id, request.attempt->server });
        releaseAttempt(request, std::nullopt, event.now);
    }
    removeRequest(event.id, event.now, effects);
}

void Reducer::on(const LinkReported& event, Effects& effects)
{
    m_serverRegistry.onReport(event);
    auto hasChanged = false;
    for (auto& message : event.report.suspicions)
        hasChanged = m_quarantine.onMessage(message, event.now) || hasChanged;
    if (hasChanged)
        publishSuspicions(true, event.now, effects);
}

void Reducer::on(const LinkDown& event, Effects&)
{
    m_serverRegistry.onLinkDown(event);
}

void Reducer::on(const ViewChanged& event, Effects& effects)
{
    m_serverRegistry.onView(*event.view, event.now, effects);
    m_limiter.onView(*event.view, event.now);
}

void Reducer::on(const LendingMessageReceived& event, Effects& effects)
{
    auto request = std::get_if<policy::LendRequest>(&event.message);
    auto traffic = request && m_resolver ? RequestLimiter::trafficKeyOf(request->organisation) : std::nullopt;
    auto organisation = traffic ? m_resolver->organisation(*traffic) : nullptr;
    if (organisation)
        m_limiter.ensureLimit(organisation, event.now);
    m_limiter.onLendingMessage(event.message, event.now, effects);
    retryWaitingForGrant(event.now, effects);
}

void Reducer::on(const SettingsActivated& event, Effects&)
{
    if (m_revision && event.revision <= *m_revision)
        return;
    m_revision = event.revision;
    m_resolver.emplace(event.tree);
    m_serverRegistry.setTopology(m_resolver->topology());
    for (auto& name : m_resolver->services())
        m_retryController.setOptions(*m_resolver->service(name));
}

void Reducer::on(const LeaveRequested& event, Effects& effects)
{
    if (m_acceptUntil)
        return;
    // A peer that did not yet know that this entry is leaving may have just sent an address list that names this entry.
    // If the listeners were closed earlier, connections of clients with that list would be refused.
    membership::AddressAnswerOptions answers;
    answers.meanLifetime = std::chrono::duration_cast<milliseconds>(m_resolver ? m_resolver->maxKeepTime() : microseconds { 0 });
    m_acceptUntil = membership::acceptUntil(event.now, answers);
    effects.push_back(AnnounceLeaving {});
    advanceLeaving(event.now, effects);
}

void Reducer::on(const Tick& event, Effects& effects)
{
    startDueRetries(event.now, effects);
    if (!m_awaitingGrant.empty() && m_awaitingGrant.begin()->first <= event.now)
        retryWaitingForGrant(event.now, effects);
    applyDecisions(m_admission.onTimer(event.now, m_generator), event.now, effects);
    if (m_nextHousekeeping <= event.now) {
        m_nextHousekeeping = event.now + housekeepingInterval;
        m_quarantine.tick(event.now);
        if (m_hasSuspicions)
            publishSuspicions(false, event.now, effects);
        updateCapacities(event.now, effects);
    }
    failExpiredRequests(event.now, effects);
    advanceLeaving(event.now, effects);
}

void Reducer::updateCapacities(TimePoint now, Effects& effects)
{
    if (!m_resolver)
        return;
    for (auto& name : m_resolver->services()) {
        auto service = m_resolver->service(name);
        applyDecisions(m_admission.setCapacity(*service, m_serverRegistry.capacityOf(name), now, m_generator), now, effects);
    }
}

void Reducer::startDueRetries(TimePoint now, Effects& effects)
{
    while (!m_retries.empty() && m_retries.begin()->first <= now) {
        auto id = m_retries.begin()->second;
        m_retries.erase(m_retries.begin());
        auto it = m_requests.find(id);
        if (it != m_requests.end() && !it->second.attempt)
            dispatch(id, it->second, now, effects);
    }
}

void Reducer::failExpiredRequests(TimePoint now, Effects& effects)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        auto id = m_deadlines.begin()->second;
        Refusal refusal;
        refusal.reason = RefusalReason::DeadlinePassed;
        failRequest(id, m_requests.at(id), std::move(refusal), now, effects);
    }
}

void Reducer::advanceLeaving(TimePoint now, Effects& effects)
{
    if (!m_acceptUntil || now < *m_acceptUntil)
        return;
    if (!m_hasClosedListeners)
        effects.push_back(CloseListeners {});
    m_hasClosedListeners = true;
    if (m_requests.empty())
        effects.push_back(Finish {});
}

} // namespace swiftloft::entry
