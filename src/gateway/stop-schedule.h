#pragma once

#include <swiftloft/units.h>

#include <algorithm>

namespace swiftloft::gateway {

/// When an entry that is asked to stop accepts what. Its clients keep their lists of entries for a while, and it serves
/// them meanwhile.
struct StopSchedule {
    /// Until then, the entry refuses only requests that are expected to end after `deadline`. Afterwards it accepts only
    /// requests whose own deadlines come before, and ends as soon as it has none.
    TimePoint acceptsUntil;
    /// Requests that still run are ended.
    TimePoint deadline;
    /// Connections that have not delivered their last responses by then are reset, and the process ends.
    TimePoint cutOffAt;

    static constexpr milliseconds maxAcceptPeriod { 3000 };

    /// `stopAt` is when the process must have ended.
    static StopSchedule create(TimePoint now, TimePoint stopAt)
    {
        /// Part of the time that is reserved for the last responses and the end of the process itself.
        constexpr milliseconds maxEndMargin { 400 };
        constexpr int endMarginDivisor = 10;
        auto endMargin = std::min<Clock::duration>(maxEndMargin, (stopAt - now) / endMarginDivisor);
        auto deadline = stopAt - endMargin;
        // A request that is accepted last has at least as long to end.
        auto acceptPeriod = std::min<Clock::duration>(maxAcceptPeriod, (deadline - now) / 2);
        return { now + acceptPeriod, deadline, deadline + endMargin / 2 };
    }
};

} // namespace swiftloft::gateway
