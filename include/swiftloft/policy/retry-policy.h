#pragma once

#include <swiftloft/policy/backoff.h>
#include <swiftloft/policy/retry-budget.h>
#include <swiftloft/verdict.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace swiftloft::policy {

/// Offset in bytes from the start of the response.
using OutputOffset = Strong<struct OutputOffsetTag, std::uint64_t>;

/// State of a request when one of its attempts has failed.
struct FailedAttempt {
    TrafficKey traffic;
    /// Verdict over all attempts so far, including this one.
    Verdict verdict { Verdict::MayHaveRun };
    bool isRepeatable { false };
    /// Part of the response that has been sent to the client.
    OutputOffset delivered;
    /// First offset from which the agent that runs the request can still send, if the agent can be reached again.
    std::optional<OutputOffset> resumableFrom;
    /// Number of attempts, including this one.
    unsigned attempts { 1 };
    TimePoint deadline;
    /// Minimum duration of a new attempt. An attempt that cannot end before the deadline is not started.
    microseconds expectedService { 0 };
};

enum class RetryAction {
    /// Start a new attempt.
    Retry,
    /// Re-attach to the running attempt and continue at `resumeAt`.
    Resume,
    /// Respond to the client now with the verdict and `retryAfter`.
    Answer,
};

enum class RetryReason {
    Allowed,
    MayHaveRun,
    OutputBegan,
    DeadlineTooClose,
    TooManyAttempts,
    BudgetSpent,
};

std::string_view toString(RetryReason reason);

struct RetryDecision {
    RetryAction action { RetryAction::Answer };
    RetryReason reason { RetryReason::Allowed };
    /// When to act; for `Answer`, the current time.
    TimePoint at;
    OutputOffset resumeAt;
    /// For `Answer`: value of the `Retry-After` header.
    seconds retryAfter { 0 };
    Verdict verdict { Verdict::MayHaveRun };
};

struct RetryPolicyOptions {
    BackoffOptions backoff;
    RetryAfterOptions retryAfter;
    unsigned maxAttempts { 4 };
};

/// Decides what to do after a failed attempt. Keeps no state about requests; the caller owns the budget.
class RetryPolicy {
public:
    static Result<RetryPolicy> create(RetryPolicyOptions options);

    RetryDecision decide(const FailedAttempt& attempt, RetryBudget& budget, TimePoint now, Generator& generator) const;

private:
    RetryPolicy(RetryPolicyOptions options, Backoff backoff);
    RetryReason checkRetry(const FailedAttempt& attempt, TimePoint start) const;
    RetryDecision answer(const FailedAttempt& attempt, RetryReason reason, TimePoint now, Generator& generator) const;

    RetryPolicyOptions m_options;
    Backoff m_backoff;
};

} // namespace swiftloft::policy
