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

/// Decides at rank 0 when its group gets another map, and which: it plans while no change is in progress, and gives up one
/// that does not come about. Pure: time and randomness come with each call, what is decided goes out by hooks.
class MapScheduler {
public:
    /// A map that is not in force after this long is given up: a rank can't load it, or the group stands.
    static constexpr milliseconds changeTimeout { 4000 };
    /// Pause between two changes, in which the counts come to show what the last one did.
    static constexpr milliseconds postChangeDelay { 60 };
    /// A plan that was not worth a change is not sought again for this long, unless demand shifts: the counts that come
    /// meanwhile change it little, and a search on a small share of a processor delays the reading of the engine.
    static constexpr milliseconds rejectedPlanDelay { 250 };
    /// Nothing is planned for so long after a shift of demand: the reports of one more look tell whether it is over.
    static constexpr milliseconds settleTime { 45 };
    /// Why nothing is planned is said this often at most.
    static constexpr milliseconds unplannedLogInterval { 5000 };

    struct Hooks {
        /// The group shall run this map, which `plan` led to.
        std::function<void(const expertmap::VersionedMap& map, const expertmap::Plan& plan)> onMapChangeRequested;
        /// The map wanted last is not wanted any more.
        std::function<void()> onMapChangeWithdrawn;
        /// A plan was made in `took`, wanted or not.
        std::function<void(const expertmap::Plan& plan, Clock::duration took)> onPlanned;
        /// Nothing is planned, and why. `detail` has the figures.
        std::function<void(std::string_view reason, const std::string& detail)> onNotPlanned;
    };

    /// `basePassTime` is what a pass lasts that carries next to nothing; `lastVersion` is the highest that this agent has given
    /// to a map.
    MapScheduler(LoadCollector loadCollector, Clock::duration basePassTime, std::uint64_t lastVersion, Hooks hooks);

    void onLoads(const expertmap::RankLoads& loads) { m_loadCollector.onLoads(loads); }
    /// All ranks run the map that was wanted.
    void onMapChanged(TimePoint now);
    /// Call it often. `step` is the last that the engine of rank 0 has begun, `prepared` the map that it has loaded and does
    /// not run.
    void tick(TimePoint now, expertmap::CoordinatorPhase phase, StepNumber step, std::optional<MapVersion> prepared, policy::Generator& generator);

    std::uint64_t lastVersion() const { return m_lastVersion; }

private:
    bool mayPlan(TimePoint now, expertmap::CoordinatorPhase phase) const;
    double loadShare() const;
    void plan(TimePoint now, const expertmap::VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator);
    void reportUnknownRanks(TimePoint now);
    void reportRejectedPlan(TimePoint now, const expertmap::Plan& plan);
    /// True at most once in `unplannedSaidEvery`.
    bool takeLogAllowance(TimePoint now);
    MapVersion nextVersion(const expertmap::VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator);

    LoadCollector m_loadCollector;
    PassTimeEstimator m_passTimeEstimator;
    Clock::duration m_basePassTime;
    std::uint64_t m_lastVersion;
    Hooks m_hooks;
    /// Until when a wanted map must be in force, else it is given up.
    std::optional<TimePoint> m_changeDeadline;
    TimePoint m_nextPlanAt;
    TimePoint m_unplannedLoggedAt;
};

} // namespace swiftloft::agent
