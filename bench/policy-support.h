#pragma once

#include <swiftloft/units.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

/// What the policy benches share: an event queue in model time, and percentiles.
namespace swiftloft::bench {

/// Runs actions in the order of their model times; equal times in the order of scheduling.
class EventQueue {
public:
    void at(TimePoint time, std::function<void()> action) { m_events.push({ time, m_next++, std::move(action) }); }

    TimePoint now() const { return m_now; }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;

        friend bool operator<(const Event& a, const Event& b) { return std::pair(a.time, a.order) > std::pair(b.time, b.order); }
    };

    std::priority_queue<Event> m_events;
    TimePoint m_now {};
    std::uint64_t m_next { 0 };
};

inline double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    auto n = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

inline microseconds fromSeconds(double value)
{
    return microseconds(static_cast<std::int64_t>(value * 1e6));
}

} // namespace swiftloft::bench
