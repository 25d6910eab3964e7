#pragma once

#include <swiftloft/policy/backoff.h>
#include <swiftloft/policy/retry-budget.h>
#include <swiftloft/verdict.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace swiftloft::policy {

/// Bytes of the answer counted from its first one.
using OutputOffset = Strong<struct OutputOffsetTag, std::uint64_t>;

/// What is known of a request when one of its attempts has failed.
struct FailedAttempt {
    TrafficKey traffic;
    /// Verdict over all attempts so far, this one included.
    Verdict verdict { Verdict::MayHaveRun };
    bool isRepeatable { false };
    /// How much of the answer has gone to the client.
    OutputOffset delivered;
    /// First byte from which the agent that runs the request can still send, when it can be reached again.
    std::optional<OutputOffset> resumableFrom;
    /// Attempts made, this one included.
    unsigned attempts { 1 };
    TimePoint deadline;
    /// How long a new attempt takes at best; one that cannot end before the deadline is not begun.
    microseconds expectedService { 0 };
};

enum class RetryAction {
    /// Start a new attempt.
    Retry,
    /// Re-attach to the running attempt and go on at `resumeAt`.
    Resume,
    /// Answer the client now with the verdict and `retryAfter`.
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
    /// When to act; for `Answer` it is now.
    TimePoint at;
    OutputOffset resumeAt;
    /// For `Answer`: the value of the `Retry-After` header.
    seconds retryAfter { 0 };
    Verdict verdict { Verdict::MayHaveRun };
};

struct RetryPolicyOptions {
    BackoffOptions backoff;
    RetryAfterOptions retryAfter;
    unsigned maximumAttempts { 4 };
};

/// Decides what follows a failed attempt. Holds no state of requests; the budget is the caller's.
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
