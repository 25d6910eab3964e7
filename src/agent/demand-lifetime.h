#pragma once

#include <swiftloft/expertmap/copy-choice.h>
#include <swiftloft/units.h>

#include <array>
#include <optional>

namespace swiftloft::agent {

/// Estimates how much longer the current demand for experts will last, from the intervals between its shifts. Answers
/// demand that shifts every few seconds: a copy that begins just before the next shift is wasted. Pure: the caller
/// supplies the time.
class DemandLifetime {
public:
    /// Expected lifetime of the first demand. Afterwards the intervals that were seen count.
    static constexpr seconds initialLife { 3 };
    /// Shifts that follow each other within this time count as one. A report with tokens of both the old and the new
    /// demand differs from each of them.
    static constexpr milliseconds mergeTime { 500 };
    static constexpr std::size_t maxIntervals { 8 };

    /// Call with the time of the last shift. Repeated calls with the same time have no effect.
    void onShift(TimePoint shiftedAt);
    /// Returns the expected time until the next shift. Demand that is older than every interval seen is expected to last
    /// as long again as the mean of the intervals.
    expertmap::ForecastTime remaining(TimePoint now) const;

private:
    /// The last shift, and the first of those that count as one with it, which began the current demand.
    std::optional<TimePoint> m_lastShiftAt;
    std::optional<TimePoint> m_demandBeganAt;
    std::array<std::optional<expertmap::ForecastTime>, maxIntervals> m_intervals;
    std::size_t m_nextIndex { 0 };
};

} // namespace swiftloft::agent
