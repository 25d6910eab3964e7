#pragma once

#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <deque>

namespace swiftloft::policy {

/// What an entry does when it has not read the instance list for long.
enum class StaleListPolicy {
    /// Goes on with the share it has. The platform being down stops nobody; an entry that the list has dropped, and
    /// that can neither read the list nor be stopped, goes on too.
    KeepShare,
    /// Gives its share up. The sum is kept even then; an outage of the list refuses all limited traffic.
    ReleaseShare,
};

struct FleetShareOptions {
    /// A larger share is used only when every list read in this time allows it. At least the longest lag of the list.
    milliseconds window { 30000 };
    StaleListPolicy staleListPolicy { StaleListPolicy::KeepShare };
    /// With `Surrender`: the age of the last read at which the share is given up. At most the window less the longest
    /// lag, since the others grow a window after this entry was dropped.
    milliseconds staleAfter { 15000 };
};

/// The part of every organisation's limit that this entry may use, so that the parts of all entries never add up to
/// more than one although their views of the fleet differ.
///
/// Rule: one over the largest fleet size read within the window; nothing while any of these lists lacked this entry or
/// the entry has not read lists for a whole window. So a share shrinks at once and grows late.
///
/// Why it holds: let the list lag by at most L, the window be L or more, and each list version stand for L or more (or
/// be read without gaps). Take the version K that stood at time t - L. Each entry that uses a share at t has read K
/// within its window: it is named in K and uses at most 1/|K|. So the sum is at most |K| x 1/|K|. Not provable when the
/// list lags without bound; `StaleList` says which way that falls.
class FleetShare {
public:
    /// `now` is the start of the process.
    static Result<FleetShare> create(FleetShareOptions options, TimePoint now);

    /// The list was read, changed or not: it has `size` entry instances and names this one or not.
    void onInstanceList(std::size_t size, bool containsSelf, TimePoint now);
    /// Share of the limit in use at `now`, from 0 to 1.
    double at(TimePoint now);
    /// Time integral of the share in seconds since creation; what a limit of one unit a second has yielded here.
    double integralUntil(TimePoint now);

private:
    /// A stretch in which the lists read had at most this size.
    struct Interval {
        std::size_t size;
        /// When a smaller list replaced it; the end of time for the current one.
        TimePoint end;
    };

    FleetShare(FleetShareOptions options, TimePoint now);
    TimePoint leavesWindowAt(const Interval& interval) const;
    TimePoint shareExpiresAt() const;
    double shareOf(const Interval& interval) const;
    void integrateUntil(TimePoint end);
    void advance(TimePoint now);

    FleetShareOptions m_options;
    /// Sizes fall from front to back, ends rise: the front is the largest in the window.
    std::deque<Interval> m_intervals;
    TimePoint m_lastReadAt;
    TimePoint m_integratedUntil;
    double m_integral { 0 };
};

} // namespace swiftloft::policy
