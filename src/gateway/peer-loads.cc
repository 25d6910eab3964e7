#include "src/gateway/peer-loads.h"

#include <algorithm>

namespace swiftloft::gateway {

void PeerLoads::onUpdate(TimePoint now, const LoadUpdate& update)
{
    expireSilentPeers(now);
    auto& peer = m_peers[update.incarnation];
    // Datagrams can arrive out of order. An older report is ignored, because it would add the load of requests that
    // have ended since.
    if (update.sequence <= peer.sequence)
        return;
    subtractLoads(peer);
    peer.sequence = update.sequence;
    peer.receivedAt = now;
    peer.loads.clear();
    for (auto& it : update.servers)
        peer.loads[it.server] = { it.running, it.promptTokens.value() };
    for (auto& [server, load] : peer.loads) {
        auto& sum = m_sums[server];
        sum.running += load.running;
        sum.promptTokens += load.promptTokens;
    }
    m_nextExpiryAt = std::min(m_nextExpiryAt, now + reportLifetime);
}

Load PeerLoads::at(TimePoint now, ServerHash server)
{
    expireSilentPeers(now);
    auto it = m_sums.find(server);
    return it == m_sums.end() ? Load {} : it->second;
}

void PeerLoads::expireSilentPeers(TimePoint now)
{
    if (now < m_nextExpiryAt)
        return;
    m_nextExpiryAt = TimePoint::max();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        auto expiresAt = it->second.receivedAt + reportLifetime;
        if (expiresAt > now) {
            m_nextExpiryAt = std::min(m_nextExpiryAt, expiresAt);
            ++it;
            continue;
        }
        subtractLoads(it->second);
        it = m_peers.erase(it);
    }
}

void PeerLoads::subtractLoads(const Peer& peer)
{
    for (auto& [server, load] : peer.loads) {
        auto it = m_sums.find(server);
        it->second.running -= load.running;
        it->second.promptTokens -= load.promptTokens;
        if (it->second.running == 0 && it->second.promptTokens == 0)
            m_sums.erase(it);
    }
}

} // namespace swiftloft::gateway
