#pragma once

#include "src/gateway/control-message.h"

#include <map>
#include <optional>

namespace swiftloft::gateway {

/// The back-offs that backend servers request from this entry when they reject its requests.
///
/// A back-off applies to one server and one entry and is not shared with other entries. Each response sets a back-off
/// of its own length; of several, the one that ends last applies, in whatever order they arrive. Back-offs are keyed by
/// server incarnation and stay in force while the server is missing from the list.
///
/// Pure: the time is passed in with each call.
class ServerBackOffs {
public:
    /// Back-off used if the requested one can't be parsed.
    static constexpr milliseconds defaultBackOff { 1000 };
    /// Each entry extends a back-off by an amount of its own: at most this fraction of the length of the back-off, and
    /// at most `maxJitter`. A server that has backed off looks idle to all entries at the same moment, and without
    /// jitter all of them would send requests to it then.
    static constexpr double jitterShare { 0.1 };
    static constexpr milliseconds maxJitter { 500 };

    /// Sets the entry that owns these back-offs; its address determines its jitter.
    void setEntry(const Endpoint& control);

    /// Returns true if no back-off of the server was in force.
    bool onRequested(TimePoint now, ServerHash server, const RequestedBackOff& backOff);
    /// Unset if the server has requested no back-off, or it is over.
    std::optional<TimePoint> endOf(ServerHash server, TimePoint now) const;
    bool isEmpty() const { return m_endsAt.empty(); }
    void removeExpired(TimePoint now);

private:
    Clock::duration jitterOf(ServerHash server, Clock::duration backOff) const;

    membership::NodeKey m_entryKey;
    std::map<ServerHash, TimePoint> m_endsAt;
};

} // namespace swiftloft::gateway
