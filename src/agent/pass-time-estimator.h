#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <array>
#include <optional>

namespace swiftloft::agent {

/// Estimates the duration of a group's passes from the step that its engine reports at each poll. Pure: the caller
/// supplies the time.
class PassTimeEstimator {
public:
    /// Minimum time over which passes are counted. Between two polls an engine reports one more step or none, which is
    /// too coarse.
    static constexpr milliseconds minMeasurementTime { 400 };
    /// Number of measurements that are kept. Together they cover two seconds or more.
    static constexpr std::size_t maxMeasurements { 5 };

    void observe(TimePoint now, StepNumber step);
    /// Shortest of the kept measurements; unset before the first. A group that waits for work between passes appears to
    /// have longer passes than it has.
    std::optional<Clock::duration> shortest() const;

private:
    std::optional<StepNumber> m_startStep;
    TimePoint m_startedAt;
    std::array<std::optional<Clock::duration>, maxMeasurements> m_measurements;
    std::size_t m_nextIndex { 0 };
};

/// Share of a pass that depends on the load of the ranks, from 0 to 1; 1 while the duration of a pass is unknown.
/// `basePassTime` is the duration of a pass with next to no load.
double loadDependentShare(const std::optional<Clock::duration>& passTime, Clock::duration basePassTime);

} // namespace swiftloft::agent
