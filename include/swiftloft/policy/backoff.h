#pragma once

#include <swiftloft/policy/random.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

namespace swiftloft::policy {

struct BackoffOptions {
    /// Upper end of the first delay.
    milliseconds initial { 20 };
    /// Each further delay is up to this many times the one before.
    double multiplier { 2 };
    /// No delay is longer.
    milliseconds ceiling { 2000 };
};

/// Exponential backoff with jitter: the delay before attempt n is drawn evenly from the upper half of
/// `initial * multiplier^(n-1)`, so that callers that failed together do not come back together.
class Backoff {
public:
    /// Fails with `InvalidArgument` when a delay is not positive or the multiplier is below one.
    static Result<Backoff> create(BackoffOptions options);

    /// When the next attempt may start after `failures` failed ones (1 or more).
    TimePoint nextAttempt(unsigned failures, TimePoint now, Generator& generator) const;

private:
    explicit Backoff(BackoffOptions options);

    BackoffOptions m_options;
};

struct RetryAfterOptions {
    seconds minimum { 1 };
    seconds maximum { 60 };
    /// The answer is drawn from the estimate up to the estimate times one plus this.
    double jitter { 0.5 };
};

/// Whole seconds for a `Retry-After` header: from `now` until `expectedFree`, never less, plus jitter so that refused
/// clients spread out. The one duration that leaves the policy, since the header carries durations.
seconds retryAfter(const RetryAfterOptions& options, TimePoint expectedFree, TimePoint now, Generator& generator);

} // namespace swiftloft::policy
