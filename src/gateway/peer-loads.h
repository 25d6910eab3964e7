#pragma once

#include "src/gateway/control-message.h"

#include <map>

namespace swiftloft::gateway {

/// Load on a server.
struct Load {
    std::uint32_t running { 0 };
    std::int64_t promptTokens { 0 };
};

/// Loads that other entries report for the servers. The sums per server are updated with each report, because they are
/// needed for every server at every request. Pure: the time is passed in with each call.
class PeerLoads {
public:
    /// Loads reported by another entry are valid for this long. An entry with running requests reports its loads at
    /// least every `reportInterval`. The loads of an entry that died must expire, because it no longer runs requests.
    static constexpr milliseconds reportLifetime { 600 };
    static constexpr milliseconds reportInterval { 150 };

    void onUpdate(TimePoint now, const LoadUpdate& update);
    /// Sum over all entries whose last report is not older than `reportLifetime`.
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
    /// No report expires before this time.
    TimePoint m_nextExpiryAt { TimePoint::max() };
};

} // namespace swiftloft::gateway
