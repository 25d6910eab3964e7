#pragma once

#include <swiftloft/units.h>

#include <algorithm>
#include <cmath>

namespace swiftloft::gateway::admission {

/// Sum of recent events that decays exponentially; divided by its window it is a rate. Pure: the time is passed in with
/// each call.
class DecayingSum {
public:
    void add(TimePoint now, double amount, milliseconds window)
    {
        m_sum = at(now, window) + amount;
        m_updatedAt = now;
    }
    double at(TimePoint now, milliseconds window) const
    {
        if (m_sum == 0)
            return 0;
        auto elapsed = std::max(now - m_updatedAt, Clock::duration(0));
        return m_sum * std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(window));
    }

private:
    double m_sum { 0 };
    TimePoint m_updatedAt;
};

} // namespace swiftloft::gateway::admission
