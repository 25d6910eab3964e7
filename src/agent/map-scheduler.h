#pragma once

#include "src/agent/load-collector.h"
#include "src/agent/map-forecast.h"
#include "src/agent/pass-time-estimator.h"

#include <swiftloft/expertmap/coordinator.h>
#include <swiftloft/policy/random.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace swiftloft::agent {

/// Decides at rank 0 when the group changes its expert map, and to which map. Plans while no change is in progress, and
/// withdraws a change that does not complete in time or that a shift of demand has overtaken while ranks copy. How much
/// a change copies follows from `MapForecast`. Pure: the caller supplies time and randomness, and decisions go out
/// through hooks.
class MapScheduler {
public:
    /// A requested map that the group does not run after this time is withdrawn. Either a rank can't load it or the
    /// group does not advance.
    static constexpr milliseconds changeTimeout { 4000 };
    /// Time for which the map of a finished change counts as the current one although ranks have not reported it.
    static constexpr milliseconds reportDelay { 1000 };
    /// Delay after a plan that was not worth a change, unless demand shifts. The counts that arrive meanwhile change
    /// the plan little. With a small share of a processor, searching for a plan delays the reads of the engine.
    static constexpr milliseconds rejectedPlanDelay { 250 };
    /// Delay after a shift of demand before the next plan. The reports of one more poll show whether demand is still
    /// shifting.
    static constexpr milliseconds settleTime { 45 };
    /// Minimum interval between two reports of why no map is planned.
    static constexpr milliseconds unplannedLogInterval { 5000 };

    struct Hooks {
        /// Requests a change of the group to `map`, which results from `plan`.
        /// `saved` is the time of the group that the change is expected to save in total.
        std::function<void(const expertmap::VersionedMap& map, const expertmap::Plan& plan, expertmap::ForecastTime saved)> onMapChangeRequested;
        /// Reports what came of a change: the imbalance that its plan promised, and the imbalance seen by the next plan.
        /// Not called if demand has shifted in between.
        std::function<void(double planned, double seen)> onMapChangeJudged;
        /// Withdraws the last requested change. `reason` is "timeout" or "overtaken".
        std::function<void(std::string_view reason)> onMapChangeWithdrawn;
        /// Reports a plan and the time that it took, whether or not it leads to a change.
        std::function<void(const expertmap::Plan& plan, Clock::duration took)> onPlanned;
        /// Reports why no map is planned. `detail` contains the figures.
        std::function<void(std::string_view reason, const std::string& detail)> onNotPlanned;
    };

    struct Options {
        /// Duration of a pass (what the engines run between two checks of their request queues) with next to no load.
        Clock::duration basePassTime { 0 };
        MapForecast::Options forecast;
        /// Number of experts by which the maps that are compared differ in the copies of one rank.
        std::uint32_t copiesPerStage { 1 };
    };

    /// `lastVersion` is the highest version that this agent has assigned to a map.
    MapScheduler(LoadCollector loadCollector, const Options& options, std::uint64_t lastVersion, Hooks hooks);

    void onLoads(const expertmap::RankLoads& loads) { m_loadCollector.onLoads(loads); }
    /// Call when all ranks run the map of a change.
    void onMapChanged(TimePoint now, MapVersion version);
    /// Call at short intervals. `step` is the last step that the engine of rank 0 has begun; `prepared` is the map that
    /// the engine has loaded but does not run.
    void tick(TimePoint now, expertmap::CoordinatorPhase phase, StepNumber step, std::optional<MapVersion> prepared, policy::Generator& generator);

    std::uint64_t lastVersion() const { return m_lastVersion; }
    /// Returns the load of the most loaded rank relative to the mean under the current map; 0 while unknown.
    double imbalance(TimePoint now) const;

private:
    struct Change {
        expertmap::VersionedMap map;
        expertmap::Plan plan;
        TimePoint requestedAt;
        /// The change is withdrawn if the map is not in force by this time.
        TimePoint deadline;
    };
    /// The last finished change, until the next plan has judged it.
    struct FinishedChange {
        expertmap::VersionedMap map;
        double plannedImbalance { 0 };
        TimePoint finishedAt;
        bool isJudged { false };
    };

    bool mayPlan(TimePoint now, expertmap::CoordinatorPhase phase) const;
    bool isOvertaken(expertmap::CoordinatorPhase phase) const;
    void withdraw(std::string_view reason);
    std::optional<expertmap::VersionedMap> currentMap(TimePoint now) const;
    Clock::duration basePassTime() const;
    double loadShare() const;
    void plan(TimePoint now, const expertmap::VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator);
    /// Returns the plan to carry out and the time that it saves. The plan has no map if no change pays.
    std::pair<expertmap::Plan, expertmap::ForecastTime> choosePlan(TimePoint now, const expertmap::ExpertMap& current);
    void observePass(TimePoint now, double imbalance);
    void updateMeanImbalance(TimePoint now);
    void judgeLastChange(double imbalance);
    void reportUnknownRanks(TimePoint now);
    void reportRejectedPlan(TimePoint now, const expertmap::Plan& plan);
    /// Returns true at most once per `unplannedLogInterval`.
    bool takeLogAllowance(TimePoint now);
    MapVersion nextVersion(const expertmap::VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator);

    LoadCollector m_loadCollector;
    PassTimeEstimator m_passTimeEstimator;
    MapForecast m_forecast;
    Options m_options;
    std::uint64_t m_lastVersion;
    Hooks m_hooks;
    /// Set while a change is requested.
    std::optional<Change> m_change;
    std::optional<FinishedChange> m_finishedChange;
    /// Imbalance of the current map when it was last known, and its mean over the time of a measured pass.
    double m_imbalance { 0 };
    double m_meanImbalance { 0 };
    TimePoint m_lastTickAt;
    TimePoint m_nextPlanAt;
    TimePoint m_unplannedLoggedAt;
};

} // namespace swiftloft::agent
