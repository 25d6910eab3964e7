#include <swiftloft/policy/server-health.h>

#include <algorithm>
#include <cmath>

namespace swiftloft::policy {

namespace {

void updateAverage(double& mean, double value, double weight)
{
    mean = mean > 0 ? mean + weight * (value - mean) : value;
}

double slowdown(double value, double median, double tolerance)
{
    if (median <= 0 || value <= median * tolerance)
        return 1;
    return value / median;
}

} // namespace

void RunningMedian::add(double value)
{
    // The first steps are wide, so that a bad first value is corrected quickly; later steps are one percent.
    constexpr double firstStep = 0.3;
    constexpr double lastStep = 0.01;
    if (!(value > 0))
        return;
    if (!m_count++) {
        m_value = value;
        return;
    }
    auto step = std::max(lastStep, firstStep / m_count);
    m_value *= value > m_value ? 1 + step : 1 / (1 + step);
}

void ServerHealth::onTokenGap(microseconds gap, ServiceBaseline& baseline, const ServerHealthOptions& options, TimePoint now)
{
    auto n = static_cast<double>(gap.count());
    baseline.tokenGap.add(n);
    updateAverage(m_tokenGap, n, options.weight);
    updateFactor(baseline, options, now);
}

void ServerHealth::onFirstByte(microseconds predicted, microseconds observed, ServiceBaseline& baseline, const ServerHealthOptions& options, TimePoint now)
{
    // Very small predictions would give extreme ratios, so both values are raised to this minimum.
    constexpr double minMicroseconds = 1000;
    auto ratio = std::max(minMicroseconds, static_cast<double>(observed.count())) / std::max(minMicroseconds, static_cast<double>(predicted.count()));
    baseline.firstByteRatio.add(ratio);
    updateAverage(m_firstByteRatio, ratio, options.weight);
    updateFactor(baseline, options, now);
}

void ServerHealth::updateFactor(const ServiceBaseline& baseline, const ServerHealthOptions& options, TimePoint now)
{
    auto gap = slowdown(m_tokenGap, baseline.tokenGap.value(), options.gapTolerance);
    auto firstByte = slowdown(m_firstByteRatio, baseline.firstByteRatio.value(), options.firstByteTolerance);
    m_factor = std::min(std::max(gap, firstByte), options.maxFactor);
    m_observedAt = now;
}

void ServerHealth::onSuccess(const ServerHealthOptions& options, TimePoint now)
{
    m_failures = 0;
    m_failureShare *= 1 - options.weight;
    // A success resets the count of ejections only when `maxEjection` has passed since the end of the last ejection,
    // because a server that fails every other request also succeeds in between.
    if (now >= m_ejectedUntil + options.maxEjection)
        m_ejections = 0;
}

bool ServerHealth::onFailure(FailureKind kind, const ServerHealthOptions& options, TimePoint now)
{
    if (kind == FailureKind::Refused)
        return false;
    ++m_failures;
    m_failureShare += options.weight * (1 - m_failureShare);
    bool isFailing = kind == FailureKind::Crashed || m_failures >= options.failuresToEject || m_failureShare >= options.failureShareToEject;
    if (!isFailing && !m_ejections)
        return false;
    constexpr unsigned maxDoublings = 16;
    auto multiplier = std::int64_t(1) << std::min(m_ejections, maxDoublings);
    ++m_ejections;
    m_failureShare = 0;
    m_ejectedUntil = now + std::min(options.initialEjection * multiplier, options.maxEjection);
    return true;
}

double ServerHealth::slowFactor(const ServerHealthOptions& options, TimePoint now) const
{
    if (m_factor <= 1)
        return 1;
    auto age = std::chrono::duration<double>(now - m_observedAt).count();
    auto confidence = 1 - age / static_cast<double>(options.expireAfter.count());
    return confidence <= 0 ? 1 : 1 + (m_factor - 1) * confidence;
}

} // namespace swiftloft::policy
