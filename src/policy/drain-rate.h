#pragma once

#include <swiftloft/units.h>

namespace swiftloft::policy::internal {

/// Work completed per second while requests were queued, as an exponentially decaying average.
class DrainRate {
public:
    explicit DrainRate(double initial)
        : m_rate(initial)
    {
    }

    /// `isBusy` says that requests have been queued since the last finish; otherwise the time since then does not
    /// reflect the throughput.
    void onFinish(Tokens cost, bool isBusy, TimePoint now)
    {
        constexpr double decay = 1 - 1.0 / 64;
        constexpr double minElapsedSeconds = 0.05;
        if (isBusy && m_lastFinish != TimePoint {}) {
            m_cost = m_cost * decay + static_cast<double>(cost.value());
            m_elapsed = m_elapsed * decay + std::chrono::duration<double>(now - m_lastFinish).count();
            if (m_elapsed > minElapsedSeconds)
                m_rate = m_cost / m_elapsed;
        }
        m_lastFinish = now;
    }

    double tokensPerSecond() const { return m_rate; }

private:
    double m_rate;
    double m_cost { 0 };
    double m_elapsed { 0 };
    TimePoint m_lastFinish {};
};

} // namespace swiftloft::policy::internal
