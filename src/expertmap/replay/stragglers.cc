#include "src/expertmap/replay/stragglers.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace swiftloft::expertmap::replay {

namespace {

constexpr double factorGrid[] = { 1.05, 1.08, 1.1, 1.12, 1.15, 1.2, 1.25, 1.3, 1.4, 1.5 };
constexpr std::uint32_t persistenceGrid[] = { 1, 3, 6, 10, 40 };
/// Spread (of the logarithm) of a rank's time for equal tokens, from step to step.
constexpr double timeSpread = 0.03;

std::vector<bool> overThreshold(std::span<const double> times, double factor)
{
    std::vector<double> sorted(times.begin(), times.end());
    auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    std::vector<bool> flags(times.size());
    std::transform(times.begin(), times.end(), flags.begin(), [bound = factor * *middle](double time) { return time > bound; });
    return flags;
}

/// Applies one method with its persistence. The persistence rule is the same for all methods, so that only their
/// tests differ.
class Detector {
public:
    Detector(const DetectorSetting& setting, std::size_t ranks)
        : m_setting(setting)
        , m_streaks(ranks, 0)
        , m_flags(ranks, false)
    {
    }

    const std::vector<bool>& update(std::span<const double> times, std::span<const double> tokens)
    {
        auto now = classify(times, tokens);
        for (std::size_t r = 0; r < now.size(); ++r) {
            m_streaks[r] = now[r] == m_flags[r] ? 0 : m_streaks[r] + 1;
            if (m_streaks[r] < m_setting.persistence)
                continue;
            m_flags[r] = now[r];
            m_streaks[r] = 0;
        }
        return m_flags;
    }

private:
    std::vector<bool> classify(std::span<const double> times, std::span<const double> tokens) const
    {
        if (m_setting.kind == DetectorKind::ParetoStepTime)
            return paretoStragglers(times, m_setting.factor);
        std::vector<double> perToken(times.size());
        std::transform(times.begin(), times.end(), tokens.begin(), perToken.begin(), [](double time, double n) { return time / std::max(n, 1.0); });
        if (m_setting.kind == DetectorKind::ParetoPerToken)
            return paretoStragglers(perToken, m_setting.factor);
        return overThreshold(perToken, m_setting.factor);
    }

    DetectorSetting m_setting;
    std::vector<std::uint32_t> m_streaks;
    std::vector<bool> m_flags;
};

/// Period in which a rank is slow, from one interval to another.
struct SlowPeriod {
    std::uint32_t rank { 0 };
    std::uint32_t from { 0 };
    std::uint32_t to { 0 };
    bool isDetected { false };
};

/// Returns the slow periods of more than one interval. A stall of one interval does not indicate slow hardware.
std::vector<SlowPeriod> findSlowPeriods(const Trace& trace)
{
    std::vector<SlowPeriod> periods;
    for (std::uint32_t rank = 0; rank < trace.shape.ranks; ++rank) {
        std::uint32_t from = 0;
        bool isSlow = false;
        for (std::uint32_t t = 0; t <= trace.intervals(); ++t) {
            bool isSlowNow = t < trace.intervals() && trace.speedsAt(t)[rank] < 1;
            if (isSlowNow && !isSlow)
                from = t;
            if (!isSlowNow && isSlow && t - from > 1)
                periods.push_back({ rank, from, t });
            isSlow = isSlowNow;
        }
    }
    return periods;
}

void scoreFlags(DetectionResult& result, std::vector<SlowPeriod>& periods, const std::vector<bool>& flags, std::uint32_t t, std::uint32_t step, std::uint32_t stepsPerInterval)
{
    for (std::uint32_t rank = 0; rank < flags.size(); ++rank) {
        auto period = std::find_if(periods.begin(), periods.end(), [&](auto& it) { return it.rank == rank && t >= it.from && t < it.to; });
        bool isSlow = period != periods.end();
        result.truePositives += isSlow && flags[rank];
        result.falsePositives += !isSlow && flags[rank];
        result.falseNegatives += isSlow && !flags[rank];
        if (isSlow && flags[rank] && !period->isDetected) {
            period->isDetected = true;
            ++result.slowPeriodsDetected;
            result.stepsToDetect += (t - period->from) * stepsPerInterval + step + 1;
        }
    }
}

} // namespace

std::vector<bool> paretoStragglers(std::span<const double> times, double k)
{
    std::vector<bool> flags(times.size(), false);
    double beta = *std::min_element(times.begin(), times.end());
    if (beta <= 0)
        return flags;
    double logs = 0;
    for (auto time : times)
        logs += std::log(time / beta);
    double alpha = logs > 0 ? static_cast<double>(times.size()) / logs : 0;
    if (alpha <= 1)
        return flags;
    double bound = k * alpha * beta / (alpha - 1);
    std::transform(times.begin(), times.end(), flags.begin(), [bound](double time) { return time > bound; });
    return flags;
}

double DetectionResult::precision() const
{
    auto flagged = truePositives + falsePositives;
    return flagged ? static_cast<double>(truePositives) / static_cast<double>(flagged) : 0;
}

double DetectionResult::recall() const
{
    auto slow = truePositives + falseNegatives;
    return slow ? static_cast<double>(truePositives) / static_cast<double>(slow) : 0;
}

double DetectionResult::f1() const
{
    double sum = precision() + recall();
    return sum > 0 ? 2 * precision() * recall() / sum : 0;
}

const char* toString(DetectorKind kind)
{
    constexpr std::array<const char*, 3> names { "START, per token", "START, step time", "threshold on median" };
    return names[static_cast<std::size_t>(kind)];
}

DetectionResult detect(const Trace& trace, const DetectorSetting& setting, std::uint32_t stepsPerInterval)
{
    boost::random::mt19937_64 random(trace.seed);
    boost::random::normal_distribution<double> normal;
    auto periods = findSlowPeriods(trace);
    DetectionResult result { setting };
    result.slowPeriods = periods.size();
    auto& shape = trace.shape;
    Detector detector(setting, shape.ranks);
    for (std::uint32_t t = 0; t < trace.intervals(); ++t) {
        auto speeds = trace.speedsAt(t);
        std::vector<double> mean(shape.ranks, 0.0);
        for (std::size_t n = 0; n < trace.loads[t].size(); ++n)
            mean[(n % shape.experts) * shape.ranks / shape.experts] += trace.loads[t][n];
        for (std::uint32_t step = 0; step < stepsPerInterval; ++step) {
            std::vector<double> tokens(shape.ranks);
            std::vector<double> times(shape.ranks);
            for (std::uint32_t r = 0; r < shape.ranks; ++r) {
                tokens[r] = std::max(1.0, mean[r] + std::sqrt(mean[r]) * normal(random));
                times[r] = tokens[r] / speeds[r] * std::exp(timeSpread * normal(random));
            }
            scoreFlags(result, periods, detector.update(times, tokens), t, step, stepsPerInterval);
        }
    }
    if (result.slowPeriodsDetected > 0)
        result.stepsToDetect /= static_cast<double>(result.slowPeriodsDetected);
    return result;
}

DetectorSetting tune(DetectorKind kind, const Trace& training, std::uint32_t stepsPerInterval)
{
    DetectionResult best;
    best.setting = { kind, factorGrid[0], persistenceGrid[0] };
    for (auto factor : factorGrid) {
        for (auto persistence : persistenceGrid) {
            auto result = detect(training, { kind, factor, persistence }, stepsPerInterval);
            if (result.f1() > best.f1())
                best = result;
        }
    }
    return best.setting;
}

} // namespace swiftloft::expertmap::replay
