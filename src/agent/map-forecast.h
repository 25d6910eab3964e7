#pragma once

#include "src/agent/demand-lifetime.h"

#include <swiftloft/expertmap/copy-choice.h>
#include <swiftloft/expertmap/planner.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace swiftloft::agent {

/// Forecasts the passes of a group with its current map and with maps that could replace it, and chooses how many
/// experts to copy in the next change. Answers demand that shifts every few seconds while load rises and falls, on
/// engines whose experts take from a few milliseconds to a tenth of a second to copy. Pure: the caller supplies the
/// time.
class MapForecast {
public:
    /// How much longer passes last while ranks copy experts.
    static constexpr double copySlowdown { 0.15 };
    /// Time from the end of the copies until the new map is in force, before a change has shown it.
    static constexpr milliseconds initialSwitchDelay { 200 };
    /// Loads seen over this time count for the trend.
    static constexpr seconds trendTime { 4 };
    static constexpr std::size_t maxLoads { 16 };
    /// Bounds of the forecast load relative to the current one. A trend over a few seconds does not show more.
    static constexpr double minLoadChange { 0.7 };
    static constexpr double maxLoadChange { 1.4 };

    struct Options {
        /// Time in which a rank copies one expert.
        expertmap::ForecastTime copyTimePerExpert { 0 };
        double gigabytesPerExpert { 0 };
        /// Time of the group that the operator gives for one gigabyte less moved; 0 counts only the time.
        expertmap::ForecastTime pricePerGigabyte { 0 };
    };

    explicit MapForecast(const Options& options);

    void onShift(TimePoint shiftedAt) { m_lifetime.onShift(shiftedAt); }
    /// Records a measured pass. `basePassTime` is the duration of a pass without load at the group's pace; `imbalance`
    /// is the load of the most loaded rank relative to the mean, under the map of that pass.
    void onPass(TimePoint now, expertmap::ForecastTime passTime, expertmap::ForecastTime basePassTime, double imbalance);
    /// Records how long a change took from its request until all ranks ran the new map.
    void onChangeFinished(expertmap::ForecastTime took, std::uint32_t copiesPerRank);

    /// Returns the time that demand is expected to last.
    expertmap::ForecastTime remainingLife(TimePoint now) const { return m_lifetime.remaining(now); }
    /// Returns the duration of a pass with this imbalance, averaged over the time that demand is expected to last.
    expertmap::ForecastTime passTime(TimePoint now, double imbalance) const;
    /// Chooses from `plans`, which copy more and more experts from one current map; each has a plan's `imbalance`,
    /// `plannedImbalance`, `copiesPerRank` and `moves`. The stage of the choice is the index of the plan plus one.
    std::optional<expertmap::CopyChoice> choose(TimePoint now, const std::vector<expertmap::Plan>& plans) const;

private:
    struct Load {
        TimePoint seenAt;
        /// Part of a pass that depends on the load, as if ranks were even.
        double seconds { 0 };
    };

    double loadChange(TimePoint now) const;
    expertmap::CopyStage stageOf(TimePoint now, const expertmap::Plan& plan) const;
    expertmap::CopyCosts costs() const;

    Options m_options;
    DemandLifetime m_lifetime;
    expertmap::ForecastTime m_basePassTime { 0 };
    std::array<std::optional<Load>, maxLoads> m_loads;
    std::size_t m_nextIndex { 0 };
    std::optional<Load> m_lastLoad;
    expertmap::ForecastTime m_switchDelay { initialSwitchDelay };
};

} // namespace swiftloft::agent
