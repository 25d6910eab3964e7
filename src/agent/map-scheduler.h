#pragma once

#include "src/agent/load-collector.h"
#include "src/agent/pass-time-estimator.h"

#include <swiftloft/expertmap/coordinator.h>
#include <swiftloft/policy/random.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace swiftloft::agent {

/// Decides at rank 0 when the group changes its expert map, and to which map. Plans while no change is in progress, and
/// withdraws a change that does not complete in time. Pure: the caller supplies time and randomness, and decisions go
/// out through hooks.
class MapScheduler {
public:
    /// A requested map that the group does not run after this time is withdrawn. Either a rank can't load it or the
    /// group does not advance.
    static constexpr milliseconds changeTimeout { 4000 };
    /// Delay between a change and the next plan. After this time the counts reflect the effect of the change.
    static constexpr milliseconds postChangeDelay { 60 };
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
        std::function<void(const expertmap::VersionedMap& map, const expertmap::Plan& plan)> onMapChangeRequested;
        /// Withdraws the last requested change.
        std::function<void()> onMapChangeWithdrawn;
        /// Reports a plan and the time that it took, whether or not it leads to a change.
        std::function<void(const expertmap::Plan& plan, Clock::duration took)> onPlanned;
        /// Reports why no map is planned. `detail` contains the figures.
        std::function<void(std::string_view reason, const std::string& detail)> onNotPlanned;
    };

    /// `basePassTime` is the duration of a pass (what the engines run between two checks of their request queues) with
    /// next to no load. `lastVersion` is the highest version that this agent has assigned to a map.
    MapScheduler(LoadCollector loadCollector, Clock::duration basePassTime, std::uint64_t lastVersion, Hooks hooks);

    void onLoads(const expertmap::RankLoads& loads) { m_loadCollector.onLoads(loads); }
    /// Call when all ranks run the requested map.
    void onMapChanged(TimePoint now);
    /// Call at short intervals. `step` is the last step that the engine of rank 0 has begun; `prepared` is the map that
    /// the engine has loaded but does not run.
    void tick(TimePoint now, expertmap::CoordinatorPhase phase, StepNumber step, std::optional<MapVersion> prepared, policy::Generator& generator);

    std::uint64_t lastVersion() const { return m_lastVersion; }

private:
    bool mayPlan(TimePoint now, expertmap::CoordinatorPhase phase) const;
    double loadShare() const;
    void plan(TimePoint now, const expertmap::VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator);
    void reportUnknownRanks(TimePoint now);
    void reportRejectedPlan(TimePoint now, const expertmap::Plan& plan);
    /// Returns true at most once per `unplannedLogInterval`.
    bool takeLogAllowance(TimePoint now);
    MapVersion nextVersion(const expertmap::VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator);

    LoadCollector m_loadCollector;
    PassTimeEstimator m_passTimeEstimator;
    Clock::duration m_basePassTime;
    std::uint64_t m_lastVersion;
    Hooks m_hooks;
    /// Time by which the requested map must be in force; set while a change is requested.
    std::optional<TimePoint> m_changeDeadline;
    TimePoint m_nextPlanAt;
    TimePoint m_unplannedLoggedAt;
};

} // namespace swiftloft::agent
