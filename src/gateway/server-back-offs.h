#pragma once

#include "src/gateway/control-message.h"

#include <map>
#include <optional>

namespace swiftloft::gateway {

/// The rests that backend servers ask this entry for as they turn its requests away.
///
/// A rest is between one server and one entry: others are not told. Each answer counts for as long as it says, so of several the
/// one that ends last holds, whichever comes first. Rests are kept by a server's life and outlast its absence from the list.
///
/// Pure: the time comes with each call.
class ServerBackOffs {
public:
    /// Where the server's words can't be read.
    static constexpr milliseconds defaultBackOff { 1000 };
    /// Entries take a rest to last up to this part longer, and no more than the second figure, each by another share: a server
    /// that has rested looks idle to all of them in the same moment.
    static constexpr double jitterShare { 0.1 };
    static constexpr milliseconds maxJitter { 500 };

    /// The entry that keeps these rests; decides its share of the spread.
    void setEntry(const Endpoint& control);

    /// True when no rest of the server was known.
    bool onRequested(TimePoint now, ServerHash server, const RequestedBackOff& backOff);
    /// Unset when the server has asked for none, or that is over.
    std::optional<TimePoint> endOf(ServerHash server, TimePoint now) const;
    bool isEmpty() const { return m_endsAt.empty(); }
    void removeExpired(TimePoint now);

private:
    Clock::duration jitterOf(ServerHash server, Clock::duration backOff) const;

    membership::NodeKey m_entryKey;
    std::map<ServerHash, TimePoint> m_endsAt;
};

} // namespace swiftloft::gateway
