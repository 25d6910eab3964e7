#include "src/agent/reducer.h"

namespace swiftloft::agent {

Reducer::Reducer(Incarnation incarnation, ReducerOptions options)
    : m_incarnation(incarnation)
    , m_options(options)
{
}

void Reducer::apply(const Event& event, Effects& effects)
{
    std::visit([&](auto& it) { on(it, effects); }, event);
}

Reason Reducer::reasonToRefuse(const RunRequested& event) const
{
    if (m_isLeaving)
        return Reason::LEAVING;
    if (!m_isEngineUp)
        return Reason::ENGINE_DOWN;
    if (event.deadline <= event.now)
        return Reason::DEADLINE;
    return Reason::NONE;
}

void Reducer::on(const RunRequested& event, Effects& effects)
{
    // Guards against a request that an earlier incarnation may have started: the entry's caller would see it run twice.
    // Only the incarnation that the request names knows whether it has.
    if (event.incarnation != m_incarnation) {
        effects.push_back(RefuseCall { event.call, Verdict::MayHaveRun, Reason::WRONG_INCARNATION });
        return;
    }
    // Guards against a late copy of a try that was refused or cancelled as not run, still in some connection's buffer:
    // its caller has been told "not run" and may have sent the request again.
    if (m_closedAttempts.contains(event.attempt)) {
        effects.push_back(RefuseCall { event.call, Verdict::NotRun, Reason::TOMBSTONE });
        return;
    }
    auto it = m_records.find(event.key);
    if (it != m_records.end()) {
        it->second.attempt = event.attempt;
        effects.push_back(AttachCall { event.call, event.key });
        return;
    }
    auto reason = reasonToRefuse(event);
    if (reason != Reason::NONE) {
        closeAttempt(event.attempt, event.now);
        effects.push_back(RefuseCall { event.call, Verdict::NotRun, reason });
        return;
    }
    m_records.emplace(event.key, Record { event.fingerprint, event.attempt });
    ++m_running;
    effects.push_back(StartRun { event.call, event.key, event.deadline });
    publish(effects);
}

void Reducer::on(const CancelRequested& event, Effects& effects)
{
    if (event.incarnation != m_incarnation) {
        effects.push_back(AnswerCancel { event.call, Verdict::MayHaveRun });
        return;
    }
    auto it = m_records.find(event.key);
    if (it == m_records.end()) {
        closeAttempt(event.attempt, event.now);
        effects.push_back(AnswerCancel { event.call, Verdict::NotRun });
        return;
    }
    if (it->second.isRunning && it->second.attempt == event.attempt)
        effects.push_back(StopRun { event.key });
    effects.push_back(AnswerCancel { event.call, it->second.verdict });
}

void Reducer::on(const RunEnded& event, Effects& effects)
{
    auto it = m_records.find(event.key);
    if (it == m_records.end() || !it->second.isRunning)
        return;
    --m_running;
    it->second.isRunning = false;
    if (event.end == RunEnd::NotReached) {
        closeAttempt(it->second.attempt, event.now);
        m_records.erase(it);
        effects.push_back(ForgetRun { event.key });
    } else {
        if (event.end == RunEnd::Answered)
            it->second.verdict = Verdict::Ran;
        if (event.end == RunEnd::Broken)
            m_recentlyBroken.push_back({ it->second.fingerprint, event.now });
        m_finished.push_back({ event.key, event.now + m_options.keepFinished });
    }
    publish(effects);
    finishIfIdle(effects);
}

void Reducer::on(const EngineUp&, Effects& effects)
{
    m_isEngineUp = true;
    publish(effects);
}

void Reducer::on(const EngineDown& event, Effects& effects)
{
    if (!m_isEngineUp)
        return;
    m_isEngineUp = false;
    if (event.hasCrashed)
        takeSuspects(event.now);
    publish(effects);
}

// A crash breaks the connections of its requests a moment before the engine is seen to be gone, so requests that broke
// lately count as in progress at the crash.
void Reducer::takeSuspects(TimePoint now)
{
    m_suspects.clear();
    for (auto& broken : m_recentlyBroken) {
        if (broken.at + m_options.crashWindow >= now)
            m_suspects.push_back(broken.fingerprint);
    }
    m_recentlyBroken.clear();
    for (auto& [key, record] : m_records) {
        if (record.isRunning)
            m_suspects.push_back(record.fingerprint);
    }
    m_suspectsExpire = now + m_options.keepSuspects;
}

void Reducer::on(const LeaveRequested&, Effects& effects)
{
    m_isLeaving = true;
    publish(effects);
    finishIfIdle(effects);
}

void Reducer::on(const Tick& event, Effects& effects)
{
    forgetExpired(event.now, effects);
    if (m_suspects.empty() || event.now < m_suspectsExpire)
        return;
    m_suspects.clear();
    publish(effects);
}

void Reducer::closeAttempt(const AttemptId& attempt, TimePoint now)
{
    if (m_closedAttempts.insert(attempt).second)
        m_closed.push_back({ attempt, now + m_options.keepFinished });
}

void Reducer::forgetExpired(TimePoint now, Effects& effects)
{
    while (!m_finished.empty() && (m_finished.front().expires <= now || m_finished.size() > m_options.mostFinished)) {
        effects.push_back(ForgetRun { m_finished.front().id });
        m_records.erase(m_finished.front().id);
        m_finished.pop_front();
    }
    while (!m_closed.empty() && (m_closed.front().expires <= now || m_closed.size() > m_options.mostFinished)) {
        m_closedAttempts.erase(m_closed.front().id);
        m_closed.pop_front();
    }
    while (!m_recentlyBroken.empty() && m_recentlyBroken.front().at + m_options.crashWindow < now)
        m_recentlyBroken.pop_front();
}

void Reducer::finishIfIdle(Effects& effects)
{
    if (m_isLeaving && m_running == 0)
        effects.push_back(Finish {});
}

void Reducer::publish(Effects& effects) const
{
    effects.push_back(PublishReport { m_isLeaving, m_isEngineUp, static_cast<std::uint32_t>(m_running), m_suspects });
}

} // namespace swiftloft::agent
