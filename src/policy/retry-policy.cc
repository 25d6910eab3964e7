#include <swiftloft/policy/retry-policy.h>

namespace swiftloft::policy {

std::string_view toString(RetryReason reason)
{
    switch (reason) {
    case RetryReason::Allowed:
        return "allowed";
    case RetryReason::MayHaveRun:
        return "may-have-run";
    case RetryReason::OutputBegan:
        return "output-began";
    case RetryReason::DeadlineTooClose:
        return "deadline-too-close";
    case RetryReason::TooManyAttempts:
        return "too-many-attempts";
    case RetryReason::BudgetSpent:
        return "budget-spent";
    }
    return "unknown";
}

RetryPolicy::RetryPolicy(RetryPolicyOptions options, Backoff backoff)
    : m_options(options)
    , m_backoff(backoff)
{
}

Result<RetryPolicy> RetryPolicy::create(RetryPolicyOptions options)
{
    if (!options.maxAttempts)
        return Error { ErrorCode::InvalidArgument, "retry policy: maximum attempts must be at least 1" };
    auto backoff = Backoff::create(options.backoff);
    if (!backoff)
        return backoff.error();
    return RetryPolicy(options, *backoff);
}

RetryDecision RetryPolicy::decide(const FailedAttempt& attempt, RetryBudget& budget, TimePoint now, Generator& generator) const
{
    auto start = m_backoff.nextAttempt(attempt.attempts, now, generator);
    bool canResume = attempt.resumableFrom && *attempt.resumableFrom <= attempt.delivered;
    if (canResume && start < attempt.deadline && attempt.attempts < m_options.maxAttempts) {
        // Re-attaching sends no new work to an engine, so it needs no retry budget.
        return { RetryAction::Resume, RetryReason::Allowed, start, attempt.delivered, seconds(0), attempt.verdict };
    }
    auto reason = checkRetry(attempt, start);
    if (reason == RetryReason::Allowed && !budget.tryTake(attempt.traffic, now))
        reason = RetryReason::BudgetSpent;
    if (reason != RetryReason::Allowed)
        return answer(attempt, reason, now, generator);
    return { RetryAction::Retry, RetryReason::Allowed, start, OutputOffset(0), seconds(0), attempt.verdict };
}

RetryReason RetryPolicy::checkRetry(const FailedAttempt& attempt, TimePoint start) const
{
    if (!mayRetry(attempt.verdict, attempt.isRepeatable))
        return RetryReason::MayHaveRun;
    // A second run samples different tokens. Appended to the part that has been delivered, they would form a response
    // that no run generated but that looks complete. So a response that has begun can only be resumed.
    if (attempt.delivered > OutputOffset(0))
        return RetryReason::OutputBegan;
    if (attempt.attempts >= m_options.maxAttempts)
        return RetryReason::TooManyAttempts;
    if (start + attempt.expectedService >= attempt.deadline)
        return RetryReason::DeadlineTooClose;
    return RetryReason::Allowed;
}

RetryDecision RetryPolicy::answer(const FailedAttempt& attempt, RetryReason reason, TimePoint now, Generator& generator) const
{
    auto wait = retryAfter(m_options.retryAfter, now, now, generator);
    return { RetryAction::Answer, reason, now, OutputOffset(0), wait, attempt.verdict };
}

} // namespace swiftloft::policy
