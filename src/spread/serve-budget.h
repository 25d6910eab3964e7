#pragma once

#include <swiftloft/units.h>

#include <algorithm>

namespace swiftloft::spread {

/// Bounds what a node serves to peers: a token bucket in bytes. Without it, the first holder of a new revision would be
/// asked by everybody at once and spend its whole link on control.
class ServeBudget {
public:
    ServeBudget(Bytes burst, Bytes ratePerSecond)
        : m_burst(static_cast<double>(burst.value()))
        , m_rate(static_cast<double>(ratePerSecond.value()))
        , m_left(m_burst)
    {
    }

    /// Spends `size` if there is any left. May go below zero by one answer, so that no answer is too large for ever.
    bool spend(Bytes size, TimePoint now)
    {
        refill(now);
        if (m_left <= 0)
            return false;
        m_left -= static_cast<double>(size.value());
        return true;
    }

private:
    void refill(TimePoint now)
    {
        if (m_refilledAt != TimePoint()) {
            auto elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
            m_left = std::min(m_burst, m_left + elapsed * m_rate);
        }
        m_refilledAt = now;
    }

    double m_burst;
    double m_rate;
    double m_left;
    TimePoint m_refilledAt;
};

} // namespace swiftloft::spread
