#include <swiftloft/policy/backoff.h>

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace swiftloft::policy {

Backoff::Backoff(BackoffOptions options)
    : m_options(options)
{
}

Result<Backoff> Backoff::create(BackoffOptions options)
{
    if (options.initial.count() <= 0 || options.ceiling < options.initial)
        return Error { ErrorCode::InvalidArgument, "back-off: initial delay must be positive and at most the ceiling" };
    if (!(options.multiplier >= 1))
        return Error { ErrorCode::InvalidArgument, "back-off: multiplier must be 1 or more" };
    return Backoff(options);
}

TimePoint Backoff::nextAttempt(unsigned failures, TimePoint now, Generator& generator) const
{
    auto exponent = static_cast<double>(std::max(failures, 1U) - 1);
    auto ceiling = std::chrono::duration<double, std::milli>(m_options.ceiling).count();
    auto longest = std::min(ceiling, static_cast<double>(m_options.initial.count()) * std::pow(m_options.multiplier, exponent));
    auto upper = std::max<std::int64_t>(2, static_cast<std::int64_t>(longest * 1000));
    boost::random::uniform_int_distribution<std::int64_t> delay(upper / 2, upper);
    return now + microseconds(delay(generator));
}

seconds retryAfter(const RetryAfterOptions& options, TimePoint expectedFree, TimePoint now, Generator& generator)
{
    auto wait = std::chrono::duration<double>(expectedFree - now).count();
    auto shortest = std::clamp(wait, static_cast<double>(options.minimum.count()), static_cast<double>(options.maximum.count()));
    boost::random::uniform_real_distribution<double> factor(1, 1 + std::max(options.jitter, 0.001));
    auto n = static_cast<std::int64_t>(std::ceil(shortest * factor(generator)));
    return std::min(seconds(n), options.maximum);
}

} // namespace swiftloft::policy
