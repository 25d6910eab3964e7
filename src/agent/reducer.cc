#include "src/agent/reducer.h"

#include <fmt/format.h>

namespace swiftloft::agent {

RunId runIdOf(const policy::Ticket& ticket)
{
    return RunId(fmt::format("{:016x}-{}", ticket.mintedBy.value(), ticket.serial));
}

Result<Reducer> Reducer::create(ReducerOptions options, TimePoint now)
{
    auto dedup = policy::DedupTable::create(options.dedup, options.self, options.incarnation, now);
    if (!dedup)
        return dedup.error();
    auto quarantine = policy::CrashQuarantine::create(options.quarantine);
    if (!quarantine)
        return quarantine.error();
    auto claims = policy::ClaimTable::create(options.claims, options.incarnation, now);
    if (!claims)
        return claims.error();
    return Reducer(std::move(options), std::move(*dedup), std::move(*quarantine), std::move(*claims));
}

Reducer::Reducer(ReducerOptions options, policy::DedupTable dedup, policy::CrashQuarantine quarantine, policy::ClaimTable claims)
    : m_options(std::move(options))
    , m_dedup(std::move(dedup))
    , m_quarantine(std::move(quarantine))
    , m_claims(std::move(claims))
{
}

void Reducer::apply(const Event& event, Effects& effects)
{
    std::visit([&](auto& it) { on(it, effects); }, event);
}

bool Reducer::mustRunAlone(const RunRequested& event) const
{
    return event.runsAlone || m_quarantine.check(event.fingerprint, event.now).action != policy::QuarantineAction::Admit;
}

Reason Reducer::refusalReason(const RunRequested& event, bool runsAlone) const
{
    if (m_isLeaving)
        return Reason::LEAVING;
    if (!m_isEngineUp)
        return Reason::ENGINE_DOWN;
    if (event.deadline <= event.now)
        return Reason::DEADLINE;
    // Entries check for quarantine too, but a crash report may have reached this agent and not yet the entry.
    if (m_quarantine.check(event.fingerprint, event.now).action == policy::QuarantineAction::Refuse)
        return Reason::QUARANTINED;
    // If a crash suspect crashes the engine, requests that run beside it become suspects as well. No other request
    // therefore starts while a suspect runs alone or is waiting to do so.
    if (m_aloneRun)
        return Reason::OVERLOADED;
    if (m_bodyBytes + event.bodyBytes > m_options.maxBodyBytes)
        return Reason::OVERLOADED;
    if (runsAlone && m_quarantine.check(event.fingerprint, event.now).action == policy::QuarantineAction::Wait)
        return Reason::OVERLOADED;
    return Reason::NONE;
}

void Reducer::on(const RunRequested& event, Effects& effects)
{
    auto run = runIdOf(event.ticket);
    auto isAlone = mustRunAlone(event);
    auto mayStart = !m_runs.contains(run) && !event.attachesOnly;
    auto reason = mayStart ? refusalReason(event, isAlone) : Reason::NONE;
    if (reason != Reason::NONE) {
        // The verdict "not run" requires that a late copy of this call, which may still be in the buffer of a
        // connection, can't start the request either. `cancel` records the ticket as cancelled, which prevents this. It
        // returns another verdict if the request has started or its ticket is outside the range that the table
        // remembers.
        auto verdict = m_dedup.cancel(event.ticket);
        if (verdict == Verdict::NotRun) {
            effects.push_back(RefuseCall { event.call, verdict, reason });
            return;
        }
    }
    if (event.claim && resolveClaim(event, effects))
        return;
    auto result = m_dedup.start(event.ticket);
    switch (result.answer) {
    case policy::StartAnswer::Run:
        return startRun(event, isAlone, effects);
    case policy::StartAnswer::AlreadyRunning:
    case policy::StartAnswer::AlreadyFinished:
        effects.push_back(AttachCall { event.call, run });
        return;
    default:
        return refuseStart(event, result, effects);
    }
}

// Several entries may receive requests with the same client key, so the claim decides which entry may run the request.
// The claim must have been granted by this incarnation to this entry and must not have ended. Without this check, a
// resend through another entry would run the request again.
bool Reducer::resolveClaim(const RunRequested& event, Effects& effects)
{
    auto& claim = *event.claim;
    if (event.attachesOnly) {
        attachByKey(event, effects);
        return true;
    }
    if (event.ticket.agentIncarnation != m_options.incarnation)
        return false;
    switch (m_claims.onRun(claim.key, claim.claim, m_options.incarnation, event.now)) {
    case policy::RunAnswer::Run:
        return false;
    case policy::RunAnswer::AlreadyRunning:
    case policy::RunAnswer::AlreadyFinished:
        attachByKey(event, effects);
        return true;
    case policy::RunAnswer::NotClaimed:
        break;
    }
    effects.push_back(RefuseCall { event.call, Verdict::MayHaveRun, Reason::NOT_CLAIMED });
    return true;
}

void Reducer::attachByKey(const RunRequested& event, Effects& effects) const
{
    auto it = m_runByKey.find(event.claim->key);
    if (it != m_runByKey.end())
        effects.push_back(AttachCall { event.call, it->second });
    else
        effects.push_back(RefuseCall { event.call, m_claims.outcomeOf(event.claim->key).value_or(Verdict::MayHaveRun), Reason::ANSWER_NOT_HELD });
}

void Reducer::on(const ClaimRequested& event, Effects& effects)
{
    effects.push_back(AnswerClaim { event.call, m_claims.onClaim(event.request, event.now) });
}

void Reducer::on(const ClaimReleased& event, Effects&)
{
    m_claims.onRelease(event.request.key, event.request.claim);
}

void Reducer::on(const InstanceListReceived& event, Effects&)
{
    m_claims.onListRevision(event.revision, event.now);
}

void Reducer::refuseStart(const RunRequested& event, policy::StartResult result, Effects& effects) const
{
    auto reason = Reason::TOO_OLD;
    if (result.answer == policy::StartAnswer::Cancelled)
        reason = Reason::TOMBSTONE;
    if (result.answer == policy::StartAnswer::OtherIncarnation)
        reason = Reason::WRONG_INCARNATION;
    if (result.answer == policy::StartAnswer::Full)
        reason = Reason::OVERLOADED;
    effects.push_back(RefuseCall { event.call, result.verdict, reason });
}

void Reducer::startRun(const RunRequested& event, bool isAlone, Effects& effects)
{
    auto id = runIdOf(event.ticket);
    auto isHeld = isAlone && !m_runs.empty();
    RunRecord run { event.ticket, event.fingerprint, event.totalTokens, event.deadline, isAlone, isHeld, std::nullopt, event.bodyBytes };
    m_bodyBytes += event.bodyBytes;
    if (event.claim) {
        run.clientKey = event.claim->key;
        m_runByKey[event.claim->key] = id;
    }
    m_runs.emplace(id, std::move(run));
    m_pendingTokens += event.totalTokens;
    if (isAlone) {
        m_aloneRun = id;
        m_quarantine.onStartAlone(event.fingerprint);
    }
    effects.push_back(StartRun { event.call, id, event.deadline, isHeld });
    publishReport(event.now, effects);
}

void Reducer::on(const CancelRequested& event, Effects& effects)
{
    auto verdict = m_dedup.cancel(event.ticket);
    if (m_runs.contains(runIdOf(event.ticket)))
        effects.push_back(StopRun { runIdOf(event.ticket) });
    effects.push_back(AnswerCancel { event.call, verdict });
}

void Reducer::on(const RunEnded& event, Effects& effects)
{
    auto it = m_runs.find(event.run);
    if (it == m_runs.end())
        return;
    auto run = it->second;
    m_runs.erase(it);
    m_pendingTokens -= run.totalTokens;
    m_bodyBytes -= run.bodyBytes;
    m_dedup.finish(run.ticket, event.outcome == RunOutcome::Answered ? Verdict::Ran : Verdict::MayHaveRun);
    if (run.clientKey)
        m_claims.onFinish(*run.clientKey, event.outcome == RunOutcome::Answered ? Verdict::Ran : Verdict::MayHaveRun, event.now);
    m_retainedResponses.push_back({ event.run, event.now + m_options.responseRetention, run.clientKey, event.responseBytes });
    m_retainedBytes += event.responseBytes;
    if (run.isAlone) {
        m_aloneRun.reset();
        m_quarantine.onEndAlone(run.fingerprint);
    }
    if (event.outcome == RunOutcome::Answered && !m_quarantine.empty())
        m_quarantine.onSuccess(run.fingerprint, event.now);
    if (event.outcome == RunOutcome::Broken) {
        m_brokenRuns.push_back({ event.run, run.fingerprint, event.now });
        effects.push_back(ProbeEngine {});
    }
    releaseHeldRun(effects);
    publishReport(event.now, effects);
    finishIfIdle(effects);
}

void Reducer::releaseHeldRun(Effects& effects)
{
    if (!m_aloneRun || m_runs.size() > 1)
        return;
    auto& run = m_runs.at(*m_aloneRun);
    if (!run.isHeld)
        return;
    run.isHeld = false;
    effects.push_back(ReleaseRun { *m_aloneRun });
}

void Reducer::stopExpiredHeldRun(TimePoint now, Effects& effects) const
{
    if (!m_aloneRun)
        return;
    auto& run = m_runs.at(*m_aloneRun);
    if (run.isHeld && run.deadline <= now)
        effects.push_back(StopRun { *m_aloneRun });
}

void Reducer::on(const EngineUp& event, Effects& effects)
{
    m_isEngineUp = true;
    m_tokensPerSecond = event.tokensPerSecond;
    m_currentCrash = {};
    concludeBrokenRuns(event.probedAt, effects);
    publishReport(event.now, effects);
}

void Reducer::on(const EngineDown& event, Effects& effects)
{
    auto wasUp = m_isEngineUp;
    m_isEngineUp = false;
    if (event.hasCrashed && wasUp)
        recordCrash(event.now);
    concludeBrokenRuns(event.probedAt, effects);
    publishReport(event.now, effects);
}

// All requests that were at the engine become suspects: those still counted as running and those that have broken since the
// last probe that found the engine up.
void Reducer::recordCrash(TimePoint now)
{
    m_currentCrash = policy::crashIdOf(m_options.self, m_options.incarnation, ++m_crashCount);
    policy::CrashReport report { m_currentCrash, {} };
    for (auto& broken : m_brokenRuns)
        report.inFlight.push_back(broken.fingerprint);
    for (auto& [id, run] : m_runs) {
        if (!run.isHeld)
            report.inFlight.push_back(run.fingerprint);
    }
    m_quarantine.onCrash(report, now);
}

// The calls of a broken request end only when it is known whether the engine crashed, and they report the crash. If an
// entry learned only that the connection broke, it would retry the request on another server before the request is
// known as a suspect, and a third server could crash because of it. Only a probe that started after the break is
// conclusive: an earlier one may have found the engine alive just before the crash.
void Reducer::concludeBrokenRuns(TimePoint probedAt, Effects& effects)
{
    std::erase_if(m_brokenRuns, [&](auto& broken) {
        if (broken.brokenAt > probedAt)
            return false;
        effects.push_back(ConcludeRun { broken.run, m_currentCrash });
        return true;
    });
}

void Reducer::on(const SuspicionsReceived& event, Effects& effects)
{
    auto hasChanged = false;
    for (auto& message : event.messages)
        hasChanged = m_quarantine.onMessage(message, event.now) || hasChanged;
    if (hasChanged)
        publishReport(event.now, effects);
}

void Reducer::on(const LeaveRequested& event, Effects& effects)
{
    m_isLeaving = true;
    publishReport(event.now, effects);
    finishIfIdle(effects);
}

void Reducer::on(const Tick& event, Effects& effects)
{
    auto epoch = m_dedup.epoch();
    m_dedup.tick(event.now);
    m_quarantine.tick(event.now);
    m_claims.tick(event.now);
    evictExpiredResponses(event.now, effects);
    stopExpiredHeldRun(event.now, effects);
    if (m_dedup.epoch() != epoch || !m_quarantine.empty())
        publishReport(event.now, effects);
}

void Reducer::evictExpiredResponses(TimePoint now, Effects& effects)
{
    auto mustEvict = [&] {
        return m_retainedResponses.front().expires <= now || m_retainedResponses.size() > m_options.maxRetainedResponses || m_retainedBytes > m_options.maxRetainedBytes;
    };
    while (!m_retainedResponses.empty() && mustEvict()) {
        m_retainedBytes -= m_retainedResponses.front().bytes;
        effects.push_back(DiscardRun { m_retainedResponses.front().run });
        if (m_retainedResponses.front().clientKey)
            m_runByKey.erase(*m_retainedResponses.front().clientKey);
        m_retainedResponses.pop_front();
    }
}

void Reducer::finishIfIdle(Effects& effects) const
{
    if (m_isLeaving && m_runs.empty())
        effects.push_back(Finish {});
}

void Reducer::publishReport(TimePoint now, Effects& effects) const
{
    PublishReport report;
    report.isLeaving = m_isLeaving;
    report.isEngineUp = m_isEngineUp;
    report.isReserved = m_aloneRun.has_value();
    report.running = static_cast<std::uint32_t>(m_runs.size());
    report.pendingTokens = m_pendingTokens;
    report.tokensPerSecond = m_tokensPerSecond;
    report.epoch = m_dedup.epoch();
    if (!m_quarantine.empty())
        report.suspicions = m_quarantine.snapshot(now);
    effects.push_back(std::move(report));
}

} // namespace swiftloft::agent
