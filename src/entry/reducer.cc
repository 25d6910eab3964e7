#include "src/entry/reducer.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace swiftloft::entry {

namespace {

/// Comes back soon: the fleet is expected to change within seconds.
constexpr seconds shortRetryAfter { 1 };

RequestKey mintKey(Incarnation incarnation, RequestId id)
{
    return RequestKey(fmt::format("{:016x}-{}", incarnation.value(), id.value()));
}

/// The agent takes no work now, and did nothing for this request.
bool takesNoWork(const AttemptEnded& event)
{
    return event.end == AttemptEnd::Refused && event.verdict == Verdict::NotRun
        && (event.reason == AttemptReason::Leaving || event.reason == AttemptReason::EngineDown);
}

/// A client's own key only means something within its organisation.
RequestKey joinKey(const OrganisationName& organisation, const RequestKey& clientKey)
{
    return RequestKey(fmt::format("{}/{}", organisation.value(), clientKey.value()));
}

std::uint64_t homeScore(const RequestKey& key, const BackendServerId& server)
{
    auto seed = XXH3_64bits(server.value().data(), server.value().size());
    return XXH3_64bits_withSeed(key.value().data(), key.value().size(), seed);
}

std::optional<policy::FailureKind> failureKind(const AttemptEnded& event)
{
    switch (event.end) {
    case AttemptEnd::Answered:
        return std::nullopt;
    case AttemptEnd::Refused:
        return event.reason == AttemptReason::EngineDown ? policy::FailureKind::Unreachable : policy::FailureKind::Refused;
    case AttemptEnd::Failed:
        return event.reason == AttemptReason::EngineCrashed ? policy::FailureKind::Crashed : policy::FailureKind::TimedOut;
    case AttemptEnd::Lost:
    case AttemptEnd::Damaged:
        return policy::FailureKind::Unreachable;
    }
    return policy::FailureKind::Unreachable;
}

RefusalReason refusalReason(const AttemptEnded& event)
{
    if (event.end == AttemptEnd::Damaged)
        return RefusalReason::AnswerDamaged;
    switch (event.reason) {
    case AttemptReason::DeadlinePassed:
        return RefusalReason::DeadlinePassed;
    case AttemptReason::AnswerNotHeld:
        return RefusalReason::AnswerNotHeld;
    case AttemptReason::Quarantined:
        return RefusalReason::Quarantined;
    case AttemptReason::Overloaded:
        return RefusalReason::Overloaded;
    default:
        break;
    }
    if (event.end != AttemptEnd::Refused)
        return RefusalReason::BackendServerFailed;
    return event.reason == AttemptReason::WrongIncarnation ? RefusalReason::HomeUnreachable : RefusalReason::NoBackendServer;
}

} // namespace

Result<Reducer> Reducer::create(ReducerOptions options)
{
    auto retryPolicy = policy::RetryPolicy::create({});
    if (!retryPolicy)
        return retryPolicy.error();
    auto retryBudget = policy::RetryBudget::create({});
    if (!retryBudget)
        return retryBudget.error();
    return Reducer(std::move(options), std::move(*retryPolicy), std::move(*retryBudget));
}

Reducer::Reducer(ReducerOptions options, policy::RetryPolicy retryPolicy, policy::RetryBudget retryBudget)
    : m_options(std::move(options))
    , m_retryPolicy(std::move(retryPolicy))
    , m_retryBudget(std::move(retryBudget))
    , m_generator(m_options.randomSeed)
    , m_fleet(m_options.dataCentre, m_options.region)
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
    request.key = clientKey ? joinKey(request.resolved.organisation->name, *clientKey) : mintKey(m_options.incarnation, event.id);
    // A resend under a client's own key is the same request, and another entry may have started it: a refusal here must
    // not say "not run".
    if (clientKey)
        request.verdict = Verdict::MayHaveRun;
    m_deadlines.emplace(request.resolved.deadline, event.id);
    auto it = m_requests.insert_or_assign(event.id, std::move(request)).first;
    dispatch(event.id, it->second, event.now, effects);
}

void Reducer::refuseArrival(const RequestArrived& event, Refusal refusal, Effects& effects) const
{
    refusal.verdict = event.info->clientKey ? Verdict::MayHaveRun : Verdict::NotRun;
    effects.push_back(RecordAnswer { event.info->service, event.info->organisation, refusal.verdict, refusal.reason });
    effects.push_back(Refuse { event.worker, event.id, std::move(refusal) });
}

policy::RouteRequest Reducer::routeRequest(const Request& request) const
{
    return { request.info->prefix, request.info->promptTokens, request.info->expectedOutput, request.resolved.isRepeatable, request.tried };
}

void Reducer::dispatch(RequestId id, Request& request, TimePoint now, Effects& effects)
{
    Attempt attempt;
    auto isChosen = request.isBoundToHome() ? chooseHome(request, attempt) : chooseServer(request, now, attempt);
    if (isChosen)
        return start(id, request, std::move(attempt), now, effects);
    Refusal refusal;
    refusal.reason = request.isBoundToHome() ? RefusalReason::HomeUnreachable : RefusalReason::NoBackendServer;
    refusal.retryAfter = shortRetryAfter;
    giveUp(id, request, std::move(refusal), now, effects);
}

bool Reducer::chooseServer(Request& request, TimePoint now, Attempt& attempt)
{
    auto& service = request.resolved.service->name;
    auto router = m_fleet.router(service);
    if (!router)
        return false;
    auto choice = router->choose(routeRequest(request), now, m_generator);
    if (!choice)
        return false;
    router->onStart(*choice, routeRequest(request), now);
    request.tried.push_back(choice->server);
    attempt.server = *router->idOf(choice->server);
    attempt.choice = *choice;
    return true;
}

bool Reducer::chooseHome(const Request& request, Attempt& attempt)
{
    const BackendServer* home = nullptr;
    std::uint64_t best = 0;
    for (auto& id : m_fleet.listed(request.resolved.service->name)) {
        auto score = homeScore(request.key, id);
        if (home && score <= best)
            continue;
        best = score;
        home = m_fleet.find(id);
    }
    if (!home || !home->handle)
        return false;
    attempt.server = home->id;
    attempt.isRouted = false;
    return true;
}

void Reducer::start(RequestId id, Request& request, Attempt attempt, TimePoint now, Effects& effects)
{
    attempt.serial = AttemptSerial(++m_lastAttempt);
    attempt.startedAt = now;
    ++request.attempts;
    AttemptOrder order;
    order.id = id;
    order.attempt = attempt.serial;
    order.key = request.key;
    order.server = attempt.server;
    order.incarnation = *m_fleet.find(attempt.server)->incarnation;
    order.service = request.resolved.service->name;
    order.organisation = request.resolved.organisation->name;
    order.fingerprint = request.resolved.fingerprint;
    order.priority = static_cast<int>(request.resolved.organisation->priority);
    order.isRepeatable = request.resolved.isRepeatable;
    order.deadline = request.resolved.deadline;
    request.attempt = std::move(attempt);
    effects.push_back(StartAttempt { request.worker, std::move(order) });
}

void Reducer::on(const OutputBegan& event, Effects&)
{
    auto it = m_requests.find(event.id);
    if (it == m_requests.end() || !it->second.attempt)
        return;
    auto& request = it->second;
    request.firstByteAt = event.now;
    if (!request.attempt->isRouted)
        return;
    auto observed = std::chrono::duration_cast<microseconds>(event.now - request.attempt->startedAt);
    if (auto router = m_fleet.router(request.resolved.service->name))
        router->onFirstByte(request.attempt->choice, observed, event.now);
}

void Reducer::releaseAttempt(Request& request, std::optional<policy::FailureKind> failure, TimePoint now)
{
    if (!request.attempt)
        return;
    auto router = m_fleet.router(request.resolved.service->name);
    if (router && request.attempt->isRouted) {
        if (failure)
            router->onFail(request.attempt->choice, *failure, now);
        else
            router->onFinish(request.attempt->choice, now);
    }
    request.attempt.reset();
}

void Reducer::on(const AttemptEnded& event, Effects& effects)
{
    auto it = m_requests.find(event.id);
    // An attempt that was given up may still report its end; its request has gone on or has been answered.
    if (it == m_requests.end() || !it->second.attempt || it->second.attempt->serial != event.attempt)
        return;
    auto& request = it->second;
    request.verdict = combine(request.verdict, event.verdict);
    auto server = request.attempt->server;
    releaseAttempt(request, failureKind(event), event.now);
    if (takesNoWork(event)) {
        // Its report is older than its refusal. Without this the next requests would go there as well until a newer
        // report comes, each at the price of a retry. Each server can refuse so once, so this ends.
        m_fleet.onRefusal(server, event.reason);
        if (!request.isBoundToHome())
            return dispatch(event.id, request, event.now, effects);
    }
    if (event.end != AttemptEnd::Answered)
        return retryOrAnswer(event.id, request, event, effects);
    m_retryBudget.onSuccess({ request.resolved.service->name, request.resolved.organisation->name });
    recordAnswer(request, std::nullopt, event.now, effects);
    remove(event.id);
}

void Reducer::retryOrAnswer(RequestId id, Request& request, const AttemptEnded& event, Effects& effects)
{
    policy::FailedAttempt failed;
    failed.traffic = { request.resolved.service->name, request.resolved.organisation->name };
    failed.verdict = request.isBoundToHome() ? request.verdict : combine(request.info->clientKey ? Verdict::NotRun : request.verdict, event.verdict);
    failed.isRepeatable = request.resolved.isRepeatable;
    failed.delivered = policy::OutputOffset(request.firstByteAt ? 1 : 0);
    failed.attempts = request.attempts;
    failed.deadline = request.resolved.deadline;
    auto decision = m_retryPolicy.decide(failed, m_retryBudget, event.now, m_generator);
    if (decision.action == policy::RetryAction::Retry) {
        m_retries.emplace(decision.at, id);
        return;
    }
    Refusal refusal;
    refusal.reason = refusalReason(event);
    refusal.retryAfter = decision.retryAfter;
    giveUp(id, request, std::move(refusal), event.now, effects);
}

void Reducer::giveUp(RequestId id, Request& request, Refusal refusal, TimePoint now, Effects& effects)
{
    refusal.verdict = request.verdict;
    if (request.attempt) {
        // Its agent has it, and no word has come that it did not start.
        refusal.verdict = combine(refusal.verdict, Verdict::MayHaveRun);
        effects.push_back(CancelAttempt { request.worker, id, request.attempt->server });
        releaseAttempt(request, policy::FailureKind::TimedOut, now);
    }
    recordAnswer(request, refusal.reason, now, effects);
    if (request.firstByteAt)
        effects.push_back(CutAnswer { request.worker, id, std::move(refusal) });
    else
        effects.push_back(Refuse { request.worker, id, std::move(refusal) });
    remove(id);
}

void Reducer::recordAnswer(const Request& request, std::optional<RefusalReason> refusal, TimePoint now, Effects& effects) const
{
    RecordAnswer record { request.resolved.service->name, request.resolved.organisation->name, request.verdict, refusal };
    record.total = std::chrono::duration_cast<microseconds>(now - request.arrivedAt);
    record.firstByte = std::chrono::duration_cast<microseconds>(request.firstByteAt.value_or(now) - request.arrivedAt);
    record.attempts = request.attempts;
    auto& objective = request.resolved.service->objective;
    auto isInTime = request.resolved.service->kind == settings::ServiceKind::Model ? record.firstByte <= objective.firstToken : record.total <= objective.answer;
    record.isGood = !refusal && isInTime;
    effects.push_back(std::move(record));
}

void Reducer::remove(RequestId id)
{
    auto it = m_requests.find(id);
    m_deadlines.erase({ it->second.resolved.deadline, id });
    m_requests.erase(it);
}

void Reducer::on(const ClientGone& event, Effects& effects)
{
    auto it = m_requests.find(event.id);
    if (it == m_requests.end())
        return;
    auto& request = it->second;
    if (request.attempt) {
        effects.push_back(CancelAttempt { request.worker, event.id, request.attempt->server });
        releaseAttempt(request, std::nullopt, event.now);
    }
    remove(event.id);
}

void Reducer::on(const LinkReported& event, Effects&)
{
    m_fleet.onReport(event);
}

void Reducer::on(const LinkDown& event, Effects&)
{
    m_fleet.onLinkDown(event);
}

void Reducer::on(const ViewChanged& event, Effects& effects)
{
    m_fleet.onView(*event.view, effects);
}

void Reducer::on(const SettingsInForce& event, Effects&)
{
    if (m_revision && event.revision <= *m_revision)
        return;
    m_revision = event.revision;
    m_resolver.emplace(event.tree);
}

void Reducer::on(const LeaveRequested& event, Effects& effects)
{
    if (m_acceptUntil)
        return;
    // Clients may hold an address answer that names this entry, given a moment ago by a peer that had not yet heard:
    // closing sooner would refuse them.
    auto keep = m_resolver ? m_resolver->longestKeepTime() : microseconds { 0 };
    m_acceptUntil = event.now + std::chrono::duration_cast<Clock::duration>(keep);
    effects.push_back(AnnounceLeaving {});
    leaveWhenDone(event.now, effects);
}

void Reducer::on(const Tick& event, Effects& effects)
{
    startDueRetries(event.now, effects);
    endPassedDeadlines(event.now, effects);
    leaveWhenDone(event.now, effects);
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

void Reducer::endPassedDeadlines(TimePoint now, Effects& effects)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        auto id = m_deadlines.begin()->second;
        Refusal refusal;
        refusal.reason = RefusalReason::DeadlinePassed;
        giveUp(id, m_requests.at(id), std::move(refusal), now, effects);
    }
}

void Reducer::leaveWhenDone(TimePoint now, Effects& effects)
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
