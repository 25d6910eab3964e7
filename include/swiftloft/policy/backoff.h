#pragma once

#include <swiftloft/policy/random.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

namespace swiftloft::policy {

struct BackoffOptions {
    /// Upper bound of the first delay.
    milliseconds initial { 20 };
    /// Factor by which the upper bound grows after each failure.
    double multiplier { 2 };
    /// Maximum delay.
    milliseconds ceiling { 2000 };
};

/// Exponential back-off with jitter. The delay before attempt n is drawn uniformly from the upper half of
/// `initial * multiplier^(n-1)`, so that callers that failed at the same time do not retry at the same time.
class Backoff {
public:
    /// Fails with `InvalidArgument` when a delay is not positive, the ceiling is below the initial delay or the
    /// multiplier is below one.
    static Result<Backoff> create(BackoffOptions options);

    /// Earliest start of the next attempt after `failures` failed ones (1 or more).
    TimePoint nextAttempt(unsigned failures, TimePoint now, Generator& generator) const;

private:
    explicit Backoff(BackoffOptions options);

    BackoffOptions m_options;
};

struct RetryAfterOptions {
    seconds minimum { 1 };
    seconds maximum { 60 };
    /// Maximum jitter as a fraction of the estimate: the result is drawn between the estimate and the estimate times
    /// `1 + jitter`.
    double jitter { 0.5 };
};

/// Value of a `Retry-After` header in whole seconds: the time from `now` until `expectedFree`, never rounded down, plus
/// jitter that spreads out the refused clients, clamped to the minimum and maximum of `options`. The policy library
/// otherwise returns time points; this is a duration because the header carries one.
seconds retryAfter(const RetryAfterOptions& options, TimePoint expectedFree, TimePoint now, Generator& generator);

} // namespace swiftloft::policy
