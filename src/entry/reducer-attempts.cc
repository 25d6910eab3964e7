#include "src/entry/reducer.h"

/// The part of the entry's reducer that handles attempts: first bytes, ends, and the retry or failure of the request.
namespace swiftloft::entry {

namespace {

/// Returns true if the agent currently refuses all new work and did not run this request.
bool isServerUnavailable(const AttemptEnded& event)
{
    return event.outcome == AttemptOutcome::Refused && event.verdict == Verdict::NotRun
        && (event.reason == AttemptReason::Leaving || event.reason == AttemptReason::EngineDown || event.reason == AttemptReason::Overloaded);
}

std::optional<policy::FailureKind> failureKind(const AttemptEnded& event)
{
    switch (event.outcome) {
    case AttemptOutcome::Answered:
        return std::nullopt;
    case AttemptOutcome::Refused:
        return event.reason == AttemptReason::EngineDown ? policy::FailureKind::Unreachable : policy::FailureKind::Refused;
    case AttemptOutcome::Failed:
        return event.reason == AttemptReason::EngineCrashed ? policy::FailureKind::Crashed : policy::FailureKind::TimedOut;
    case AttemptOutcome::Lost:
    case AttemptOutcome::Damaged:
        return policy::FailureKind::Unreachable;
    }
    return policy::FailureKind::Unreachable;
}

RefusalReason refusalReason(const AttemptEnded& event)
{
    if (event.outcome == AttemptOutcome::Damaged)
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
    if (event.outcome != AttemptOutcome::Refused)
        return RefusalReason::BackendServerFailed;
    return event.reason == AttemptReason::WrongIncarnation ? RefusalReason::HomeUnreachable : RefusalReason::NoBackendServer;
}

} // namespace

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
    if (auto router = m_serverRegistry.router(request.resolved.service->name))
        router->onFirstByte(request.attempt->choice, observed, event.now);
}

void Reducer::releaseAttempt(Request& request, std::optional<policy::FailureKind> failure, TimePoint now)
{
    if (!request.attempt)
        return;
    auto router = m_serverRegistry.router(request.resolved.service->name);
    if (router && request.attempt->isRouted) {
        if (failure)
            router->onFailure(request.attempt->choice, *failure, now);
        else
            router->onFinish(request.attempt->choice, now);
    }
    if (request.attempt->isIsolated)
        m_quarantine.onEndAlone(request.resolved.fingerprint);
    request.attempt.reset();
}

void Reducer::on(const AttemptEnded& event, Effects& effects)
{
    auto it = m_requests.find(event.id);
    // A cancelled attempt may still report its end after its request has been retried or answered.
    if (it == m_requests.end() || !it->second.attempt || it->second.attempt->serial != event.attempt)
        return;
    auto& request = it->second;
    request.verdict = combine(request.verdict, event.verdict);
    auto server = request.attempt->server;
    releaseAttempt(request, failureKind(event), event.now);
    if (event.crash != policy::CrashId()) {
        m_quarantine.onCrash({ event.crash, { request.resolved.fingerprint } }, event.now);
        publishSuspicions(true, event.now, effects);
    }
    if (isServerUnavailable(event)) {
        // The refusal is newer than the server's last report. Without this update the next requests would also be sent
        // to the server until its next report, and each of them would cost a retry. After the update the server is no
        // longer chosen, so each server can refuse only once in this way and the sequence of new attempts ends.
        m_serverRegistry.onRefusal(server, event.reason);
        if (!request.needsClaim() && event.reason == AttemptReason::Overloaded)
            return waitForReservedServer(event.id, event.now);
        if (!request.needsClaim())
            return dispatch(event.id, request, event.now, effects);
    }
    if (event.outcome != AttemptOutcome::Answered)
        return retryOrFail(event.id, request, event, effects);
    if (!m_quarantine.empty() && !m_quarantine.onSuccess(request.resolved.fingerprint, event.now).empty())
        publishSuspicions(true, event.now, effects);
    m_retryController.onSuccess({ request.resolved.service->name, request.resolved.organisation->name });
    recordCompletion(request, std::nullopt, event.now, effects);
    removeRequest(event.id, event.now, effects);
}

void Reducer::retryOrFail(RequestId id, Request& request, const AttemptEnded& event, Effects& effects)
{
    policy::FailedAttempt failed;
    failed.traffic = { request.resolved.service->name, request.resolved.organisation->name };
    failed.verdict = request.needsClaim() ? Verdict::MayHaveRun : combine(request.info->clientKey ? Verdict::NotRun : request.verdict, event.verdict);
    failed.isRepeatable = request.resolved.isRepeatable;
    failed.delivered = policy::OutputOffset(request.firstByteAt ? 1 : 0);
    failed.attempts = request.attempts;
    failed.deadline = request.resolved.deadline;
    auto decision = m_retryController.decide(failed, event.now, m_generator);
    if (decision.action == policy::RetryAction::Retry) {
        m_retries.emplace(decision.at, id);
        return;
    }
    Refusal refusal;
    refusal.reason = refusalReason(event);
    refusal.retryAfter = decision.retryAfter;
    failRequest(id, request, std::move(refusal), event.now, effects);
}

} // namespace swiftloft::entry
