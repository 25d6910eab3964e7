#pragma once

#include "src/gateway/control-message.h"

#include <map>

namespace swiftloft::gateway {

/// Work at a server.
struct Load {
    std::uint32_t running { 0 };
    std::int64_t promptTokens { 0 };
};

/// What other entries have at the servers, by their word, summed by server as it is told: the sum over all entries was
/// needed for every server at every request. Pure: the time comes with each call.
class PeerLoads {
public:
    /// Loads told by another entry count for this long. They are told every `toldEvery` at least; an entry that died
    /// has no requests any more.
    static constexpr milliseconds reportLifetime { 600 };
    static constexpr milliseconds reportInterval { 150 };

    void onUpdate(TimePoint now, const LoadUpdate& update);
    /// Of all entries heard of within `countFor`.
    Load at(TimePoint now, ServerHash server);

private:
    struct Peer {
        std::uint64_t sequence { 0 };
        TimePoint receivedAt;
        std::map<ServerHash, Load> loads;
    };

    void expireSilentPeers(TimePoint now);
    void subtractLoads(const Peer& peer);

    std::map<Incarnation, Peer> m_peers;
    std::map<ServerHash, Load> m_sums;
    /// Nobody falls silent before this.
    TimePoint m_nextExpiryAt { TimePoint::max() };
};

} // namespace swiftloft::gateway
