#include "src/expertmap/replay/trace.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace swiftloft::expertmap::replay {

namespace {

using Random = boost::random::mt19937_64;

constexpr double tokensPerRank = 1024;
/// Spread (of the logarithm) of the popularity of experts for one kind of work.
constexpr double popularitySpread = 0.8;
/// Spread of the random walk of popularity from one interval to the next.
constexpr double driftSpread = 0.02;
/// Spread of the loads of an interval around their mean.
constexpr double intervalSpread = 0.05;
constexpr double pureNoiseSpread = 0.2;
constexpr std::uint32_t oscillationIntervals = 4;
constexpr std::size_t workloadKinds = 3;

/// Period of the day with more work of one kind.
struct DemandPeak {
    std::size_t kind { 0 };
    double fromMinute { 0 };
    double toMinute { 0 };
    double weight { 0 };
    /// Minutes over which the peak rises and falls.
    double ramp { 30 };
};

double weightAt(const DemandPeak& peak, double minute)
{
    double rise = std::clamp((minute - peak.fromMinute) / peak.ramp, 0.0, 1.0);
    double fall = std::clamp((peak.toMinute - minute) / peak.ramp, 0.0, 1.0);
    return peak.weight * std::min(rise, fall);
}

/// Kinds of work: 0 application letters, 1 ward notices, 2 floor plans. Letters peak before the filing windows close
/// at 11:00 and 16:30; notices come in bursts.
std::vector<DemandPeak> hanoiPeaks(Random& random)
{
    std::vector<DemandPeak> peaks { { 0, 450, 660, 4 }, { 0, 810, 990, 4 }, { 2, 1080, 1290, 2 } };
    boost::random::uniform_real_distribution<double> start(420, 1020);
    for (int n = 0; n < 4; ++n) {
        double from = start(random);
        peaks.push_back({ 1, from, from + 45, 3, 10 });
    }
    return peaks;
}

/// Kinds of work: 0 route redrafts, 1 explanations of reroutes for drivers, 2 questions of caterers. Explanations
/// peak in the morning rush, and redrafts when many kitchens run late at the same time, at noon and in the evening.
std::vector<DemandPeak> gujaratPeaks(Random& random)
{
    std::vector<DemandPeak> peaks { { 1, 420, 570, 4 }, { 2, 900, 1080, 2 } };
    boost::random::uniform_real_distribution<double> noon(660, 780);
    boost::random::uniform_real_distribution<double> evening(1080, 1200);
    for (auto* when : { &noon, &evening }) {
        for (int n = 0; n < 2; ++n) {
            double from = (*when)(random);
            peaks.push_back({ 0, from, from + 60, 4, 15 });
        }
    }
    return peaks;
}

class TraceGenerator {
public:
    TraceGenerator(TraceKind kind, const MapShape& shape, std::uint32_t intervals, std::uint64_t seed)
        : m_kind(kind)
        , m_random(seed)
        , m_loadsPerInterval(static_cast<std::size_t>(shape.layers) * shape.experts)
    {
        m_trace.name = fmt::format("{}-{}x{}", toString(kind), shape.ranks, shape.experts);
        m_trace.shape = shape;
        m_trace.tokensPerStep = tokensPerRank * shape.ranks;
        m_trace.seed = seed;
        m_trace.loads.resize(intervals);
    }

    Trace run()
    {
        for (auto& workload : m_popularity)
            workload = drawPopularity();
        m_peaks = m_kind == TraceKind::GujaratDay ? gujaratPeaks(m_random) : hanoiPeaks(m_random);
        for (std::uint32_t t = 0; t < m_trace.intervals(); ++t) {
            drift();
            m_trace.loads[t] = loadsAt(t);
        }
        if (m_kind == TraceKind::SlowRanks)
            addSlowRanks();
        return std::move(m_trace);
    }

private:
    double normal(double spread) { return boost::random::normal_distribution<double>(0, spread)(m_random); }

    std::vector<double> drawPopularity()
    {
        std::vector<double> logs(m_loadsPerInterval);
        std::generate(logs.begin(), logs.end(), [this] { return normal(popularitySpread); });
        return logs;
    }

    void drift()
    {
        for (auto& workload : m_popularity) {
            for (auto& it : workload)
                it += normal(driftSpread) - driftSpread * driftSpread / (2 * popularitySpread * popularitySpread) * it;
        }
    }

    std::vector<double> mixAt(std::uint32_t interval) const
    {
        std::vector<double> mix(workloadKinds, 1.0);
        if (m_kind == TraceKind::Flip)
            return interval < m_trace.intervals() / 2 ? std::vector<double> { 1, 0, 0 } : std::vector<double> { 0, 1, 0 };
        if (m_kind == TraceKind::Oscillation)
            return interval / oscillationIntervals % 2 == 0 ? std::vector<double> { 1, 0, 0 } : std::vector<double> { 0, 1, 0 };
        for (auto& peak : m_peaks)
            mix[peak.kind] += weightAt(peak, m_trace.minuteOfDay(interval));
        return mix;
    }

    std::vector<double> loadsAt(std::uint32_t interval)
    {
        auto mix = mixAt(interval);
        bool isNoise = m_kind == TraceKind::Noise;
        std::vector<double> loads(m_loadsPerInterval, 0.0);
        for (std::size_t n = 0; n < m_loadsPerInterval; ++n) {
            for (std::size_t k = 0; k < workloadKinds; ++k)
                loads[n] += isNoise ? 1.0 : mix[k] * std::exp(m_popularity[k][n]);
            loads[n] *= std::exp(normal(isNoise ? pureNoiseSpread : intervalSpread));
        }
        auto experts = m_trace.shape.experts;
        for (auto begin = loads.begin(); begin != loads.end(); begin += experts) {
            double total = std::accumulate(begin, begin + experts, 0.0);
            std::transform(begin, begin + experts, begin, [&](double it) { return std::round(it * m_trace.tokensPerStep / total); });
        }
        return loads;
    }

    /// Makes one rank in sixteen, but at least one, slow for a sixth of the trace. Other ranks stall for a single
    /// interval.
    void addSlowRanks()
    {
        auto ranks = m_trace.shape.ranks;
        auto length = m_trace.intervals() / 6;
        boost::random::uniform_int_distribution<std::uint32_t> rank(0, ranks - 1);
        boost::random::uniform_int_distribution<std::uint32_t> start(8, m_trace.intervals() - length - 1);
        boost::random::uniform_real_distribution<double> speed(0.6, 0.85);
        std::vector<bool> isTaken(ranks, false);
        for (std::uint32_t n = 0; n < std::max(1u, ranks / 16); ++n) {
            auto slow = rank(m_random);
            isTaken[slow] = true;
            auto from = start(m_random);
            m_trace.speedChanges.push_back({ from, slow, speed(m_random) });
            m_trace.speedChanges.push_back({ from + length, slow, 1 });
        }
        for (std::uint32_t n = 0; n < ranks; ++n) {
            auto stalled = rank(m_random);
            if (isTaken[stalled])
                continue;
            auto at = start(m_random);
            m_trace.speedChanges.push_back({ at, stalled, speed(m_random) });
            m_trace.speedChanges.push_back({ at + 1, stalled, 1 });
        }
        std::stable_sort(m_trace.speedChanges.begin(), m_trace.speedChanges.end(), [](auto& a, auto& b) { return a.interval < b.interval; });
    }

    TraceKind m_kind;
    Random m_random;
    std::size_t m_loadsPerInterval;
    Trace m_trace;
    std::vector<double> m_popularity[workloadKinds];
    std::vector<DemandPeak> m_peaks;
};

} // namespace

Trace generateTrace(TraceKind kind, const MapShape& shape, std::uint32_t intervals, std::uint64_t seed)
{
    return TraceGenerator(kind, shape, intervals, seed).run();
}

} // namespace swiftloft::expertmap::replay
