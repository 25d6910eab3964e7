#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <array>
#include <optional>

namespace swiftloft::agent {

/// How long the passes of a group last, from the step that its engine shows at each look. Pure: the time comes with each
/// call.
class PassTimeEstimator {
public:
    /// Passes are counted over so long at least: between two looks an engine shows one step more, or none.
    static constexpr milliseconds minMeasurementTime { 400 };
    /// Measurements that are remembered; together two seconds or more.
    static constexpr std::size_t maxMeasurements { 5 };

    void observe(TimePoint now, StepNumber step);
    /// The shortest of the remembered measurements; unset before the first. A group that waits for work in between seems to
    /// have longer passes than it has.
    std::optional<Clock::duration> shortest() const;

private:
    std::optional<StepNumber> m_startStep;
    TimePoint m_startedAt;
    std::array<std::optional<Clock::duration>, maxMeasurements> m_measurements;
    std::size_t m_nextIndex { 0 };
};

/// The part of a pass that depends on what the ranks have to do, 0 to 1; 1 while the length of a pass is not known. `fixed` is
/// what a pass lasts that carries next to nothing.
double loadDependentShare(const std::optional<Clock::duration>& passTime, Clock::duration basePassTime);

} // namespace swiftloft::agent
