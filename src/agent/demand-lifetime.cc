#include "src/agent/demand-lifetime.h"

#include <algorithm>

namespace swiftloft::agent {

using expertmap::ForecastTime;

void DemandLifetime::onShift(TimePoint shiftedAt)
{
    if (m_lastShiftAt && shiftedAt <= *m_lastShiftAt)
        return;
    bool isSameShift = m_lastShiftAt && shiftedAt < *m_lastShiftAt + mergeTime;
    m_lastShiftAt = shiftedAt;
    if (isSameShift)
        return;
    if (m_demandBeganAt) {
        m_intervals[m_nextIndex] = shiftedAt - *m_demandBeganAt;
        m_nextIndex = (m_nextIndex + 1) % maxIntervals;
    }
    m_demandBeganAt = shiftedAt;
}

ForecastTime DemandLifetime::remaining(TimePoint now) const
{
    auto age = m_demandBeganAt ? ForecastTime(now - *m_demandBeganAt) : ForecastTime(0);
    ForecastTime sum(0);
    int count = 0;
    ForecastTime sumLeft(0);
    int countLonger = 0;
    for (auto& interval : m_intervals) {
        if (!interval)
            continue;
        sum += *interval;
        ++count;
        if (*interval <= age)
            continue;
        sumLeft += *interval - age;
        ++countLonger;
    }
    if (count == 0)
        return std::max<ForecastTime>(initialLife, age);
    // The mean counts as one more interval. A few equal intervals would otherwise make the next shift look certain.
    auto mean = sum / count;
    return (sumLeft + mean) / (countLonger + 1);
}

} // namespace swiftloft::agent
