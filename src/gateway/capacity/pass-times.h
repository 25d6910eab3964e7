#pragma once

#include <swiftloft/units.h>

#include <boost/container/static_vector.hpp>

#include <array>
#include <cstddef>
#include <optional>

/// Decides what a service can finish: estimates from the events of streams, the outcomes of requests and the reports of
/// agents.
namespace swiftloft::gateway::capacity {

/// Duration of a group's passes, from the intervals between events of its streams: every stream gets one event per pass.
/// Answers the load "one rank turns slow": the median follows within a few events in both directions, and the stall of a
/// single connection does not move it. Pure, and in constant memory: it is called for every event of every stream.
class PassTimes {
public:
    /// An interval is valid for this long after it has ended, or for one and a half times its own length if that is
    /// longer: the next one has ended by then if the group goes on.
    static constexpr milliseconds lifetime { 500 };

    void add(TimePoint at, Clock::duration interval)
    {
        m_intervals[m_next] = { at, interval };
        m_next = (m_next + 1) % m_intervals.size();
    }
    /// Median of the valid intervals; unset if there is none.
    std::optional<Clock::duration> median(TimePoint now) const;
    /// Mean of the valid intervals; unset if there is none. Unlike the median, it holds also if events arrive in bursts.
    std::optional<Clock::duration> mean(TimePoint now) const;
    /// When the last interval ended; the epoch if there was none.
    TimePoint newestAt() const { return m_intervals[(m_next + m_intervals.size() - 1) % m_intervals.size()].at; }

private:
    struct Interval {
        TimePoint at {};
        Clock::duration length {};
    };

    static constexpr std::size_t maxIntervals { 9 };
    using Lengths = boost::container::static_vector<Clock::duration, maxIntervals>;
    Lengths validLengths(TimePoint now) const;

    std::array<Interval, maxIntervals> m_intervals {};
    std::size_t m_next { 0 };
};

} // namespace swiftloft::gateway::capacity
