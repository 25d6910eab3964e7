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

Reason Reducer::reasonToRefuse(const RunRequested& event, bool runsAlone) const
{
    if (m_isLeaving)
        return Reason::LEAVING;
    if (!m_isEngineUp)
        return Reason::ENGINE_DOWN;
    if (event.deadline <= event.now)
        return Reason::DEADLINE;
    // The second line behind the entries: news of a crash may have reached this agent and not the entry.
    if (m_quarantine.check(event.fingerprint, event.now).action == policy::QuarantineAction::Refuse)
        return Reason::QUARANTINED;
    // While a suspect has or awaits the engine to itself, its neighbours would become suspects as well if it crashes.
    if (m_alone)
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
    auto reason = mayStart ? reasonToRefuse(event, isAlone) : Reason::NONE;
    if (reason != Reason::NONE) {
        // "Not run" may be said only when a copy of this call, late in some connection's buffer, can't start it either.
        // The cancel leaves that mark, or says that the request has run already.
        auto verdict = m_dedup.cancel(event.ticket);
        if (verdict == Verdict::NotRun) {
            effects.push_back(RefuseCall { event.call, verdict, reason });
            return;
        }
    }
    if (event.claim && settleClaim(event, effects))
        return;
    auto result = m_dedup.start(event.ticket);
    switch (result.answer) {
    case policy::StartAnswer::Run:
        return begin(event, isAlone, effects);
    case policy::StartAnswer::AlreadyRunning:
    case policy::StartAnswer::AlreadyFinished:
        effects.push_back(AttachCall { event.call, run });
        return;
    default:
        return refuseStart(event, result, effects);
    }
}

// A client's own key says nothing of who may run it, so the claim decides: it was granted here, to this entry, by this
// incarnation, and has not ended. Without it a resend through another entry would run the request again.
bool Reducer::settleClaim(const RunRequested& event, Effects& effects)
{
    auto& claim = *event.claim;
    if (event.attachesOnly) {
        attachToKey(event, effects);
        return true;
    }
    if (event.ticket.agentIncarnation != m_options.incarnation)
        return false;
    switch (m_claims.onRun(claim.key, claim.claim, m_options.incarnation, event.now)) {
    case policy::RunAnswer::Run:
        return false;
    case policy::RunAnswer::AlreadyRunning:
    case policy::RunAnswer::AlreadyFinished:
        attachToKey(event, effects);
        return true;
    case policy::RunAnswer::NotClaimed:
        break;
    }
    effects.push_back(RefuseCall { event.call, Verdict::MayHaveRun, Reason::NOT_CLAIMED });
    return true;
}

void Reducer::attachToKey(const RunRequested& event, Effects& effects) const
{
    auto it = m_runOfKey.find(event.claim->key);
    if (it != m_runOfKey.end())
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

void Reducer::on(const ListLearned& event, Effects&)
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

void Reducer::begin(const RunRequested& event, bool isAlone, Effects& effects)
{
    auto id = runIdOf(event.ticket);
    auto isHeld = isAlone && !m_runs.empty();
    Run run { event.ticket, event.fingerprint, event.work, event.deadline, isAlone, isHeld };
    if (event.claim) {
        run.clientKey = event.claim->key;
        m_runOfKey[event.claim->key] = id;
    }
    m_runs.emplace(id, std::move(run));
    m_pending += event.work;
    if (isAlone) {
        m_alone = id;
        m_quarantine.onStartAlone(event.fingerprint);
    }
    effects.push_back(StartRun { event.call, id, event.deadline, isHeld });
    publish(event.now, effects);
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
    m_pending -= run.work;
    m_dedup.finish(run.ticket, event.end == RunEnd::Answered ? Verdict::Ran : Verdict::MayHaveRun);
    if (run.clientKey)
        m_claims.onFinish(*run.clientKey, event.end == RunEnd::Answered ? Verdict::Ran : Verdict::MayHaveRun, event.now);
    m_answers.push_back({ event.run, event.now + m_options.keepAnswers, run.clientKey });
    if (run.isAlone) {
        m_alone.reset();
        m_quarantine.onEndAlone(run.fingerprint);
    }
    if (event.end == RunEnd::Answered && !m_quarantine.empty())
        m_quarantine.onSuccess(run.fingerprint, event.now);
    if (event.end == RunEnd::Broken) {
        m_broken.push_back({ event.run, run.fingerprint, event.now });
        effects.push_back(ProbeEngine {});
    }
    releaseHeld(effects);
    publish(event.now, effects);
    finishIfIdle(effects);
}

void Reducer::releaseHeld(Effects& effects)
{
    if (!m_alone || m_runs.size() > 1)
        return;
    auto& run = m_runs.at(*m_alone);
    if (!run.isHeld)
        return;
    run.isHeld = false;
    effects.push_back(ReleaseRun { *m_alone });
}

void Reducer::stopLateHeld(TimePoint now, Effects& effects) const
{
    if (!m_alone)
        return;
    auto& run = m_runs.at(*m_alone);
    if (run.isHeld && run.deadline <= now)
        effects.push_back(StopRun { *m_alone });
}

void Reducer::on(const EngineUp& event, Effects& effects)
{
    m_isEngineUp = true;
    m_tokensPerSecond = event.tokensPerSecond;
    m_crash = {};
    concludeBroken(event.probedAt, effects);
    publish(event.now, effects);
}

void Reducer::on(const EngineDown& event, Effects& effects)
{
    auto wasUp = m_isEngineUp;
    m_isEngineUp = false;
    if (event.hasCrashed && wasUp)
        takeCrash(event.now);
    concludeBroken(event.probedAt, effects);
    publish(event.now, effects);
}

// All that was at the engine is suspect: what still counts as running and what has broken since the last good probe.
void Reducer::takeCrash(TimePoint now)
{
    m_crash = policy::crashIdOf(m_options.self, m_options.incarnation, ++m_crashes);
    policy::CrashReport report { m_crash, {} };
    for (auto& broken : m_broken)
        report.inFlight.push_back(broken.fingerprint);
    for (auto& [id, run] : m_runs) {
        if (!run.isHeld)
            report.inFlight.push_back(run.fingerprint);
    }
    m_quarantine.onCrash(report, now);
}

// A broken request is answered only now, with the crash that broke it. An entry that heard of the break alone would try
// the request elsewhere before anyone suspects it, and a third server could die of it. Only a probe that began after the
// break says anything: an older one may have found the engine alive a moment before.
void Reducer::concludeBroken(TimePoint probedAt, Effects& effects)
{
    std::erase_if(m_broken, [&](auto& broken) {
        if (broken.at > probedAt)
            return false;
        effects.push_back(ConcludeRun { broken.run, m_crash });
        return true;
    });
}

void Reducer::on(const SuspicionsHeard& event, Effects& effects)
{
    auto isNews = false;
    for (auto& message : event.messages)
        isNews = m_quarantine.onMessage(message, event.now) || isNews;
    if (isNews)
        publish(event.now, effects);
}

void Reducer::on(const LeaveRequested& event, Effects& effects)
{
    m_isLeaving = true;
    publish(event.now, effects);
    finishIfIdle(effects);
}

void Reducer::on(const Tick& event, Effects& effects)
{
    auto epoch = m_dedup.epoch();
    m_dedup.tick(event.now);
    m_quarantine.tick(event.now);
    m_claims.tick(event.now);
    forgetExpired(event.now, effects);
    stopLateHeld(event.now, effects);
    if (m_dedup.epoch() != epoch || !m_quarantine.empty())
        publish(event.now, effects);
}

void Reducer::forgetExpired(TimePoint now, Effects& effects)
{
    while (!m_answers.empty() && (m_answers.front().expires <= now || m_answers.size() > m_options.mostAnswers)) {
        effects.push_back(ForgetRun { m_answers.front().run });
        if (m_answers.front().clientKey)
            m_runOfKey.erase(*m_answers.front().clientKey);
        m_answers.pop_front();
    }
}

void Reducer::finishIfIdle(Effects& effects) const
{
    if (m_isLeaving && m_runs.empty())
        effects.push_back(Finish {});
}

void Reducer::publish(TimePoint now, Effects& effects) const
{
    PublishReport report;
    report.isLeaving = m_isLeaving;
    report.isEngineUp = m_isEngineUp;
    report.isReserved = m_alone.has_value();
    report.running = static_cast<std::uint32_t>(m_runs.size());
    report.pending = m_pending;
    report.tokensPerSecond = m_tokensPerSecond;
    report.epoch = m_dedup.epoch();
    if (!m_quarantine.empty())
        report.suspicions = m_quarantine.snapshot(now);
    effects.push_back(std::move(report));
}

} // namespace swiftloft::agent
