#pragma once

#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <deque>

namespace swiftloft::policy {

/// What an entry does with its share when it has not read the instance list for a long time.
enum class StaleListPolicy {
    /// Keeps the current share. An outage of the platform then stops no traffic, but an entry that was removed from the
    /// list, and can neither read the list nor be stopped, also keeps its share.
    KeepShare,
    /// Releases the share. The sum of all shares then stays within the limit even in that case, but an outage of the
    /// list refuses all limited traffic.
    ReleaseShare,
};

struct FleetShareOptions {
    /// A larger share is used only when every list read in this time allows it. Must be at least the maximum lag of the
    /// list.
    milliseconds window { 30000 };
    StaleListPolicy staleListPolicy { StaleListPolicy::KeepShare };
    /// With `ReleaseShare`: the age of the last read at which the share is released. Must be at most the window minus
    /// the maximum lag of the list, since the other entries increase their shares one window after this entry was
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

    /// The list was read, whether or not it has changed: it has `size` entry instances, and `containsSelf` says whether
    /// it names this one.
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
        /// When a smaller list replaced it; `TimePoint::max()` for the current one.
        TimePoint end;
    };

    FleetShare(FleetShareOptions options, TimePoint now);
    TimePoint leavesWindowAt(const Interval& interval) const;
    TimePoint shareExpiresAt() const;
    double shareOf(const Interval& interval) const;
    void integrateUntil(TimePoint end);
    void advance(TimePoint now);

    FleetShareOptions m_options;
    /// Sizes decrease and end times increase from front to back: the front is the largest in the window.
    std::deque<Interval> m_intervals;
    TimePoint m_lastReadAt;
    TimePoint m_integratedUntil;
    double m_integral { 0 };
};

} // namespace swiftloft::policy
