#include "src/expertmap/replay/replay.h"

#include "src/expertmap/layer-model.h"

#include <swiftloft/expertmap/straggler.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace swiftloft::expertmap::replay {

using internal::LayerModel;

namespace {

using Random = boost::random::mt19937_64;

constexpr double warmUpIntervals = 6;

struct StepTimes {
    double slowest { 0 };
    double mean { 0 };
    double lowerBound { 0 };
};

double quantile(std::vector<double> values, double q)
{
    auto index = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

/// Replays one rank group under one policy.
class ReplayRun {
public:
    ReplayRun(const Trace& trace, const ExpertMap& initial, const Policy& policy, const ReplayOptions& options)
        : m_trace(trace)
        , m_policy(policy)
        , m_options(options)
        , m_random(trace.seed)
        , m_estimate(LoadEstimate::create(trace.shape, {}).value())
        , m_detector(StragglerDetector::create(trace.shape.ranks, {}).value())
        , m_running(initial)
        , m_staged(initial)
    {
        m_result.policy = policy.name;
    }

    ReplayResult run()
    {
        for (std::uint32_t t = 0; t < m_trace.intervals(); ++t)
            runInterval(t);
        m_result.skewP50 = quantile(m_skews, 0.5);
        m_result.skewP99 = quantile(m_skews, 0.99);
        m_result.ratioToLowerBound = std::accumulate(m_boundRatios.begin(), m_boundRatios.end(), 0.0) / static_cast<double>(m_boundRatios.size());
        m_result.bytesMoved = Bytes(m_result.expertsMoved * m_options.bytesPerExpert.value());
        double seconds = static_cast<double>(m_result.bytesMoved.value()) / static_cast<double>(m_options.storeBytesPerSecond.value());
        m_result.stepsDisturbed = static_cast<std::uint64_t>(std::ceil(seconds / m_options.stepSeconds));
        return std::move(m_result);
    }

private:
    void runInterval(std::uint32_t t)
    {
        splitTokens();
        auto speeds = m_trace.speedsAt(t);
        std::vector<double> busy(m_trace.shape.ranks, 0.0);
        std::vector<double> tokens(m_trace.shape.ranks, 0.0);
        double skewSum = 0;
        for (std::uint32_t n = 0; n < m_options.stepsPerInterval; ++n) {
            auto times = runStep(t, speeds, busy, tokens);
            skewSum += times.slowest / times.mean;
            if (t >= warmUpIntervals) {
                m_skews.push_back(times.slowest / times.mean);
                m_boundRatios.push_back(times.slowest / times.lowerBound);
            }
        }
        m_detector.observe(busy, tokens);
        m_result.intervals.push_back({ skewSum / m_options.stepsPerInterval, decide(t) });
    }

    /// Splits each expert's tokens among its replicas by the newest estimate.
    void splitTokens()
    {
        auto& shape = m_trace.shape;
        auto speeds = m_detector.speeds();
        m_slotShares.clear();
        for (std::uint32_t n = 0; n < shape.layers; ++n) {
            auto loads = m_estimate.splitShares(LayerIndex(n));
            LayerModel model(shape, m_running.layer(LayerIndex(n)), loads, speeds);
            for (std::uint32_t slot = 0; slot < shape.slotsPerLayer(); ++slot) {
                auto expert = model.expertAt(slot);
                bool isLoaded = expert != noExpert.value() && loads[expert] > 0;
                m_slotShares.push_back(isLoaded ? model.shareOf(slot) / loads[expert] : 0);
            }
        }
    }

    StepTimes runStep(std::uint32_t t, const std::vector<double>& speeds, std::vector<double>& busy, std::vector<double>& tokens)
    {
        auto& shape = m_trace.shape;
        double totalSpeed = std::accumulate(speeds.begin(), speeds.end(), 0.0);
        auto maxReplicas = std::min(shape.ranks, shape.slotsPerLayer() - shape.experts + 1);
        StepTimes times;
        std::vector<double> actual(shape.experts);
        for (std::uint32_t n = 0; n < shape.layers; ++n) {
            for (std::uint32_t expert = 0; expert < shape.experts; ++expert)
                actual[expert] = drawTokens(m_trace.loads[t][static_cast<std::size_t>(n) * shape.experts + expert]);
            auto slots = m_running.layer(LayerIndex(n));
            double slowest = 0;
            double sum = 0;
            for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
                double load = 0;
                for (auto slot = rank * shape.slotsPerRank; slot < (rank + 1) * shape.slotsPerRank; ++slot) {
                    if (slots[slot] != noExpert)
                        load += m_slotShares[static_cast<std::size_t>(n) * shape.slotsPerLayer() + slot] * actual[slots[slot].value()];
                }
                double time = load / speeds[rank];
                busy[rank] += time;
                tokens[rank] += load;
                slowest = std::max(slowest, time);
                sum += time;
            }
            times.slowest += slowest;
            times.mean += sum / shape.ranks;
            times.lowerBound += internal::lowerBound(actual, totalSpeed, maxReplicas);
        }
        return times;
    }

    /// Draws the token count of one step from a Poisson distribution with the given mean, in its normal
    /// approximation.
    double drawTokens(double mean)
    {
        return std::max(0.0, mean + std::sqrt(mean) * m_normal(m_random));
    }

    std::uint64_t decide(std::uint32_t t)
    {
        auto now = TimePoint(std::chrono::minutes((t + 1) * m_trace.intervalMinutes));
        m_running = m_staged;
        m_estimate.observe(now, m_trace.loads[t]);
        auto speeds = m_detector.speeds();
        auto minute = m_trace.minuteOfDay(t + 1);
        auto next = m_policy.decide({ now, minute, m_trace.loads[t], speeds });
        auto moved = expertsMoved(m_staged, next);
        m_result.expertsMoved += moved;
        m_result.mapChanges += next != m_staged;
        if (QuietHours { 420, 570 }.contains(minute))
            m_result.movedInQuietHours += moved;
        m_staged = next;
        return moved;
    }

    const Trace& m_trace;
    const Policy& m_policy;
    const ReplayOptions& m_options;
    Random m_random;
    boost::random::normal_distribution<double> m_normal;
    LoadEstimate m_estimate;
    StragglerDetector m_detector;
    ExpertMap m_running;
    ExpertMap m_staged;
    /// Fraction of its expert's tokens that each slot receives, by layer and slot.
    std::vector<double> m_slotShares;
    std::vector<double> m_skews;
    std::vector<double> m_boundRatios;
    ReplayResult m_result;
};

} // namespace

ReplayResult replay(const Trace& trace, const ExpertMap& initial, const Policy& policy, const ReplayOptions& options)
{
    return ReplayRun(trace, initial, policy, options).run();
}

} // namespace swiftloft::expertmap::replay
