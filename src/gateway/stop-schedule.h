#pragma once

#include <swiftloft/units.h>

#include <algorithm>

namespace swiftloft::gateway {

/// When an entry that is asked to stop accepts what. Its clients keep their lists of entries for a while, and it serves
/// them meanwhile.
struct StopSchedule {
    /// Until then, the entry refuses only requests that are expected to end after `deadline`. Afterwards it ends as soon as it
    /// has none.
    TimePoint acceptsUntil;
    /// After `acceptsUntil`, requests that may end later are refused. Those that still run at the deadline are ended.
    TimePoint deadline;

    /// Time from the request to stop until `acceptsUntil`.
    static constexpr milliseconds acceptPeriod { 3000 };

    /// `stopAt` is when the process must have ended.
    static StopSchedule create(TimePoint now, TimePoint stopAt)
    {
        /// Part of the time that is reserved for the last responses and the end of the process itself.
        constexpr milliseconds processEndMargin { 700 };
        auto deadline = stopAt - processEndMargin;
        return { std::min(now + acceptPeriod, deadline), deadline };
    }
};

} // namespace swiftloft::gateway
