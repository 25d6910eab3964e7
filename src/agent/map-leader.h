#pragma once

#include "src/agent/load-planning.h"
#include "src/agent/pass-time.h"

#include <swiftloft/expertmap/coordinator.h>
#include <swiftloft/policy/random.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace swiftloft::agent {

/// Decides at rank 0 when its group gets another map, and which: it plans while no change is in progress, and gives up one
/// that does not come about. Pure: time and randomness come with each call, what is decided goes out by hooks.
class MapLeader {
public:
    /// A map that is not in force after this long is given up: a rank can't load it, or the group stands.
    static constexpr milliseconds wishFor { 4000 };
    /// Pause between two changes, in which the counts come to show what the last one did.
    static constexpr milliseconds planPause { 60 };
    /// A plan that was not worth a change is not sought again for this long, unless demand shifts: the counts that come
    /// meanwhile change it little, and a search on a small share of a processor delays the reading of the engine.
    static constexpr milliseconds refusedPlanPause { 250 };
    /// Nothing is planned for so long after a shift of demand: the reports of one more look tell whether it is over.
    static constexpr milliseconds settleFor { 45 };
    /// Why nothing is planned is said this often at most.
    static constexpr milliseconds unplannedSaidEvery { 5000 };

    struct Hooks {
        /// The group shall run this map, which `plan` led to.
        std::function<void(const expertmap::VersionedMap& map, const expertmap::Plan& plan)> onWanted;
        /// The map wanted last is not wanted any more.
        std::function<void()> onGivenUp;
        /// A plan was made in `took`, wanted or not.
        std::function<void(const expertmap::Plan& plan, Clock::duration took)> onPlanned;
        /// Nothing is planned, and why. `detail` has the figures.
        std::function<void(std::string_view reason, const std::string& detail)> onUnplanned;
    };

    /// `fixedPass` is what a pass lasts that carries next to nothing; `lastVersion` is the highest that this agent has given
    /// to a map.
    MapLeader(LoadPlanning planning, Clock::duration fixedPass, std::uint64_t lastVersion, Hooks hooks);

    void onLoads(const expertmap::RankLoads& loads) { m_planning.onLoads(loads); }
    /// All ranks run the map that was wanted.
    void onChanged(TimePoint now);
    /// Call it often. `step` is the last that the engine of rank 0 has begun, `prepared` the map that it has loaded and does
    /// not run.
    void tick(TimePoint now, expertmap::CoordinatorPhase phase, StepNumber step, std::optional<MapVersion> prepared, policy::Generator& generator);

    std::uint64_t lastVersion() const { return m_lastVersion; }

private:
    bool mayPlan(TimePoint now, expertmap::CoordinatorPhase phase) const;
    double loadShare() const;
    void plan(TimePoint now, const expertmap::VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator);
    void sayUnknown(TimePoint now);
    void sayRefused(TimePoint now, const expertmap::Plan& plan);
    /// True at most once in `unplannedSaidEvery`.
    bool takeTurnToSay(TimePoint now);
    MapVersion nextVersion(const expertmap::VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator);

    LoadPlanning m_planning;
    PassTime m_passTime;
    Clock::duration m_fixedPass;
    std::uint64_t m_lastVersion;
    Hooks m_hooks;
    /// Until when a wanted map must be in force, else it is given up.
    std::optional<TimePoint> m_wishUntil;
    TimePoint m_planAgainAt;
    TimePoint m_unplannedSaidAt;
};

} // namespace swiftloft::agent
