#pragma once

#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <deque>

namespace swiftloft::policy {

/// What an entry does with its share (the fraction of the limit that it may use) when it has not read the instance list
/// for a long time.
enum class StaleListPolicy {
    /// Keeps the current share. An outage of the platform then stops no traffic, but an entry that was removed from the
    /// list, and can neither read the list nor be stopped, also keeps its share.
    KeepShare,
    /// Releases the share. The sum of all shares then stays within the limit even when an entry that was removed from
    /// the list cannot read it and still runs, but all limited traffic is refused while the list cannot be read.
    ReleaseShare,
};

struct FleetShareOptions {
    /// Time by which an increase of the share is delayed: a larger share is used only when every list read within this
    /// time allows it. Must be at least the maximum lag of the list, the time by which a list may be out of date when
    /// it is read.
    milliseconds window { 30000 };
    StaleListPolicy staleListPolicy { StaleListPolicy::KeepShare };
    /// With `ReleaseShare`: the share is released when the last read is older than this. Must be at most the window
    /// minus the maximum lag of the list, since the other entries increase their shares one window after this entry was
    /// removed.
    milliseconds staleAfter { 15000 };
};

/// The fraction of each organisation's limit that this entry may use. The fractions of all entries never add up to more
/// than one, even though the entries' views of the fleet differ.
///
/// Rule: the share is one over the largest fleet size read within the window. It is zero while any list in the window
/// lacks this entry, or while the entry has not yet read lists for a whole window. So a share shrinks immediately and
/// grows with a delay.
///
/// Proof sketch: let the list lag by at most L, let the window be at least L, and let each list version be current for
/// at least L (or be read without gaps). Take the version K that was current at time t - L. Each entry that uses a
/// share at t has read K within its window, so it is named in K and uses at most 1/|K|. So the sum is at most |K| x
/// 1/|K|. This does not hold when the lag of the list is unbounded; `StaleListPolicy` selects the behaviour in that
/// case.
class FleetShare {
public:
    /// `now` is the start time of the process.
    static Result<FleetShare> create(FleetShareOptions options, TimePoint now);

    /// Called for every read of the instance list, also when the list has not changed. `size` is the number of entry
    /// instances in the list; `containsSelf` says whether this entry is one of them.
    void onInstanceList(std::size_t size, bool containsSelf, TimePoint now);
    /// Share of the limit at `now`, from 0 to 1.
    double at(TimePoint now);
    /// Time integral of the share in seconds since creation: the amount that a limit of one unit per second has granted
    /// this entry.
    double integralUntil(TimePoint now);

private:
    /// A time interval in which the lists read had at most this size.
    struct Interval {
        std::size_t size;
        /// Time at which a list of a smaller size was read; `TimePoint::max()` for the interval that has not ended.
        TimePoint end;
    };

    FleetShare(FleetShareOptions options, TimePoint now);
    TimePoint leavesWindowAt(const Interval& interval) const;
    TimePoint shareExpiresAt() const;
    double shareOf(const Interval& interval) const;
    void integrateUntil(TimePoint end);
    void advance(TimePoint now);

    FleetShareOptions m_options;
    /// Sizes decrease and end times increase from front to back, so the front has the largest size in the window.
    std::deque<Interval> m_intervals;
    TimePoint m_lastReadAt;
    TimePoint m_integratedUntil;
    double m_integral { 0 };
};

} // namespace swiftloft::policy
