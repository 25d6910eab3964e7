#pragma once

#include <swiftloft/units.h>

#include <algorithm>

namespace swiftloft::gateway {

/// When an entry that is asked to stop accepts what. Its clients keep their lists of entries for a while, and it serves
/// them meanwhile.
struct StopSchedule {
    /// The entry accepts all requests until then, and ends afterwards as soon as it has none.
    TimePoint acceptsUntil;
    /// Requests that are likely not to end by then are refused, and those that still run then are ended.
    TimePoint deadline;

    /// Time after the request to stop for which all requests are accepted.
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
