// Replays a wave of load with shifts of demand, side by side with a fixed time for copies and with the forecast of what
// copies save. Prints, for each shape of a deployment, the time by which passes exceed the pause that streams allow.

#include "src/agent/map-scheduler.h"

#include <boost/random/uniform_real_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

using namespace swiftloft;
using namespace swiftloft::agent;
using namespace swiftloft::expertmap;

namespace {

struct Deployment {
    const char* name;
    MapShape shape;
    ForecastTime copyTime;
    double skew { 0 };
    std::uint32_t spareSlots { 2 };
};

const std::vector<Deployment> deployments {
    { "24 ranks, 76 ms an expert", { 24, 16, 96, 5 }, milliseconds(76), 0.92 },
    { "63 ranks, 19 ms an expert", { 63, 8, 252, 5 }, milliseconds(19), 0.66 },
    { "72 ranks, 6 ms an expert", { 72, 12, 144, 3 }, milliseconds(6), 0.52 },
};

constexpr milliseconds tickInterval { 10 };
constexpr milliseconds pollInterval { 50 };
constexpr milliseconds reportInterval { 130 };
constexpr milliseconds switchTime { 150 };
constexpr milliseconds dayLength { 30'000 };
constexpr milliseconds basePass { 34 };
constexpr milliseconds allowedPause { 150 };
constexpr double wavePeriod = 11;
constexpr double meanLoadMs = 45;
constexpr double waveSwing = 0.5;
constexpr double tokensPerReport = 20'000;
constexpr std::uint32_t countingRanks = 12;

struct Rule {
    const char* name;
    /// Number of stages of copies that are compared; 1 copies as much as fits into a fixed time.
    std::uint32_t stages;
    milliseconds stageTime;
    /// The forecast of what copies save decides. Otherwise each change copies as much as it may.
    bool hasForecast;
    /// Time from the switch to a map until the next change may be planned.
    milliseconds idleTime;
};

/// Time until the ranks have reported a new map.
constexpr milliseconds idleTimeOfReports { 110 };

const std::vector<Rule> rules {
    { "fixed 80 ms", 1, milliseconds(80), false, idleTimeOfReports },
    { "fixed 160 ms", 1, milliseconds(160), false, idleTimeOfReports },
    { "fixed 320 ms", 1, milliseconds(320), false, idleTimeOfReports },
    { "fixed 80 ms, no idle time", 1, milliseconds(80), false, milliseconds(0) },
    { "forecast", 4, milliseconds(40), true, milliseconds(0) },
};

struct Outcome {
    double excessSeconds { 0 };
    double imbalance { 0 };
    std::size_t expertsMoved { 0 };
    double planMs { 0 };
    int plans { 0 };
};

class Replay {
public:
    Replay(const Deployment& deployment, const Rule& rule, unsigned seed)
        : m_deployment(deployment)
        , m_rule(rule)
        , m_generator(seed)
        , m_map { MapVersion(0), ExpertMap::roundRobin(deployment.shape).value() }
        , m_counts(countingRanks, std::vector<std::uint32_t>(deployment.shape.layers * deployment.shape.experts))
    {
        startScheduler();
        shiftDemand();
    }

    Outcome run()
    {
        for (m_now = m_start; m_now < m_start + dayLength; m_now += tickInterval)
            tick();
        m_outcome.imbalance /= static_cast<double>(dayLength / tickInterval);
        return m_outcome;
    }

private:
    std::uint32_t expertsWithin(milliseconds time) const { return std::max(1U, static_cast<std::uint32_t>(time / m_deployment.copyTime)); }
    double seconds() const { return std::chrono::duration<double>(m_now - m_start).count(); }
    double uniform(double from, double to) { return boost::random::uniform_real_distribution<double>(from, to)(m_generator); }

    void startScheduler()
    {
        ReplicaPlanner::Options options;
        options.minGain = 0.07;
        options.gainShare = m_rule.hasForecast ? 0.9 : 1;
        options.maxCopiesPerRank = m_rule.stages * expertsWithin(m_rule.stageTime);
        options.maxCopiesPerRankAndLayer = m_deployment.spareSlots;
        MapScheduler::Hooks hooks;
        hooks.onMapChangeRequested = [this](auto& map, auto& plan, auto) {
            m_next = map;
            m_copiedAt = m_now + std::chrono::duration_cast<Clock::duration>(plan.copiesPerRank * m_deployment.copyTime);
            m_outcome.expertsMoved += plan.moves.size();
        };
        hooks.onMapChangeWithdrawn = [this](auto) { m_next.reset(); };
        hooks.onMapChangeJudged = [](auto, auto) {};
        hooks.onPlanned = [this](auto&, Clock::duration took) {
            m_outcome.planMs += std::chrono::duration<double, std::milli>(took).count();
            ++m_outcome.plans;
        };
        hooks.onNotPlanned = [](auto, auto&) {};
        auto copyTime = m_rule.hasForecast ? m_deployment.copyTime : ForecastTime(0);
        MapScheduler::Options scheduling { basePass, { copyTime, 0, ForecastTime(0) }, expertsWithin(m_rule.stageTime) };
        m_scheduler.emplace(LoadCollector(m_deployment.shape, ReplicaPlanner::create(m_deployment.shape, options).value()), scheduling, 0, std::move(hooks));
    }

    void shiftDemand()
    {
        auto& shape = m_deployment.shape;
        m_demand.assign(static_cast<std::size_t>(shape.layers) * shape.experts, 0);
        for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
            auto begin = m_demand.begin() + layer * shape.experts;
            for (std::uint32_t n = 0; n < shape.experts; ++n)
                begin[n] = std::pow(n + 1, -m_deployment.skew);
            for (auto n = shape.experts; n-- > 1;)
                std::swap(begin[n], begin[static_cast<std::uint32_t>(uniform(0, n + 1))]);
            auto total = std::accumulate(begin, begin + shape.experts, 0.0);
            std::transform(begin, begin + shape.experts, begin, [&](double it) { return it / total; });
        }
        m_nextShiftAt = m_now + milliseconds(static_cast<int>(uniform(2100, 2900)));
        // The planner of the engines' true demand gives the true imbalance of a map.
        m_truth.emplace(ReplicaPlanner::create(shape, {}).value());
        std::vector<double> tokens(m_demand);
        std::transform(tokens.begin(), tokens.end(), tokens.begin(), [](double it) { return it * 1e6; });
        m_truth->observe(m_now, tokens);
        m_trueImbalance = m_truth->imbalance(m_map.map);
    }

    void report()
    {
        auto& shape = m_deployment.shape;
        for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
            auto slots = m_map.map.slots();
            RankLoads loads { RankIndex(rank), Incarnation(1), StepNumber(m_reportStep), m_map.version, {}, {} };
            for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
                auto from = slots.begin() + layer * shape.slotsPerLayer() + rank * shape.slotsPerRank;
                loads.held.insert(loads.held.end(), from, from + shape.slotsPerRank);
            }
            if (rank < countingRanks) {
                for (std::size_t n = 0; n < m_demand.size(); ++n)
                    m_counts[rank][n] += static_cast<std::uint32_t>(m_demand[n] * tokensPerReport / countingRanks * uniform(0.7, 1.3));
                loads.tokens = m_counts[rank];
            }
            m_scheduler->onLoads(loads);
        }
        ++m_reportStep;
    }

    void tick()
    {
        if (m_now >= m_nextShiftAt)
            shiftDemand();
        if (m_next && m_now >= m_copiedAt + switchTime && m_map.version != m_next->version) {
            m_map = *m_next;
            m_trueImbalance = m_truth->imbalance(m_map.map);
        }
        if (m_next && m_now >= m_copiedAt + switchTime + m_rule.idleTime) {
            m_next.reset();
            m_scheduler->onMapChanged(m_now, m_map.version);
            poll();
        }
        if (m_now >= m_nextReportAt) {
            report();
            m_nextReportAt = m_now + reportInterval;
        }
        if (m_now >= m_nextPollAt) {
            poll();
            m_nextPollAt = m_now + pollInterval;
        }
        double load = meanLoadMs * (1 + waveSwing * std::sin(2 * std::numbers::pi * seconds() / wavePeriod)) / meanImbalance;
        double pass = static_cast<double>(basePass.count()) + load * m_trueImbalance;
        if (m_next && m_now < m_copiedAt)
            pass *= 1 + MapForecast::copySlowdown;
        m_steps += static_cast<double>(tickInterval.count()) / pass;
        // Each pass counts by its part that falls into this tick.
        m_outcome.excessSeconds += std::max(pass - static_cast<double>(allowedPause.count()), 0.0) / 1000 * static_cast<double>(tickInterval.count()) / pass;
        m_outcome.imbalance += m_trueImbalance;
    }

    void poll()
    {
        auto phase = !m_next ? CoordinatorPhase::Idle : m_now < m_copiedAt ? CoordinatorPhase::Staging
                                                                           : CoordinatorPhase::Arming;
        m_scheduler->tick(m_now, phase, StepNumber(static_cast<std::uint64_t>(m_steps)), std::nullopt, m_generator);
    }

    /// Imbalance with which a pass has the mean load.
    static constexpr double meanImbalance = 1.2;

    const Deployment& m_deployment;
    const Rule& m_rule;
    policy::Generator m_generator;
    const TimePoint m_start { std::chrono::seconds(100) };
    TimePoint m_now { m_start };
    VersionedMap m_map;
    std::optional<VersionedMap> m_next;
    TimePoint m_copiedAt;
    std::vector<double> m_demand;
    std::optional<ReplicaPlanner> m_truth;
    double m_trueImbalance { 0 };
    TimePoint m_nextShiftAt;
    TimePoint m_nextReportAt;
    TimePoint m_nextPollAt;
    std::vector<std::vector<std::uint32_t>> m_counts;
    std::uint64_t m_reportStep { 1 };
    double m_steps { 0 };
    std::optional<MapScheduler> m_scheduler;
    Outcome m_outcome;
};

} // namespace

int main()
{
    constexpr unsigned seeds = 1;
    fmt::print("deployment, rule: seconds over the pause in half a minute, imbalance, experts moved, ms a plan\n");
    for (auto& deployment : deployments) {
        for (auto& rule : rules) {
            Outcome sum;
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                auto outcome = Replay(deployment, rule, seed).run();
                sum.excessSeconds += outcome.excessSeconds / seeds;
                sum.imbalance += outcome.imbalance / seeds;
                sum.expertsMoved += outcome.expertsMoved / seeds;
                sum.planMs += outcome.planMs / outcome.plans / seeds;
            }
            fmt::print("{}, {}: {:.2f}, {:.2f}, {}, {:.1f}\n", deployment.name, rule.name, sum.excessSeconds, sum.imbalance, sum.expertsMoved, sum.planMs);
        }
    }
}
