#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <array>
#include <optional>

namespace swiftloft::agent {

/// Estimates the duration of a group's passes. A pass is the work that the engines do between two checks of their
/// request queues. The duration is computed from the step number that an engine reports at each poll; each step counts
/// as one pass. Pure: the caller supplies the time.
class PassTimeEstimator {
public:
    /// Minimum time over which passes are counted. Between two polls the step number increases by one or not at all,
    /// which is too coarse for a measurement.
    static constexpr milliseconds minMeasurementTime { 400 };
    /// Number of measurements that are kept. Together they cover two seconds or more.
    static constexpr std::size_t maxMeasurements { 5 };

    void observe(TimePoint now, StepNumber step);
    /// Returns the shortest of the kept measurements, or `nullopt` before the first one. The shortest is used because a
    /// measurement that includes time without work is longer than the passes were.
    std::optional<Clock::duration> shortest() const;
    /// Returns the shorter of the last two measurements, or `nullopt` before the first one. Follows a rising load
    /// sooner than `shortest`.
    std::optional<Clock::duration> recent() const;

private:
    std::optional<StepNumber> m_startStep;
    TimePoint m_startedAt;
    std::array<std::optional<Clock::duration>, maxMeasurements> m_measurements;
    std::size_t m_nextIndex { 0 };
};

/// Returns the fraction of a pass's duration that depends on the load of the ranks, from 0 to 1. Returns 1 while the
/// duration of a pass is unknown. `basePassTime` is the duration of a pass with next to no load.
double loadDependentShare(const std::optional<Clock::duration>& passTime, Clock::duration basePassTime);

} // namespace swiftloft::agent
