#include "src/gateway/peer-loads.h"

#include <algorithm>

namespace swiftloft::gateway {

void PeerLoads::onNews(TimePoint now, const LoadUpdate& news)
{
    forgetSilent(now);
    auto& peer = m_peers[news.incarnation];
    // Failure: datagrams overtake each other; an older account would bring back work that has ended.
    if (news.sequence <= peer.sequence)
        return;
    takeOff(peer);
    peer.sequence = news.sequence;
    peer.heardAt = now;
    peer.loads.clear();
    for (auto& it : news.servers)
        peer.loads[it.server] = { it.running, it.promptTokens.value() };
    for (auto& [server, load] : peer.loads) {
        auto& sum = m_sums[server];
        sum.running += load.running;
        sum.promptTokens += load.promptTokens;
    }
    m_silentNotBefore = std::min(m_silentNotBefore, now + countFor);
}

Load PeerLoads::at(TimePoint now, ServerHash server)
{
    forgetSilent(now);
    auto it = m_sums.find(server);
    return it == m_sums.end() ? Load {} : it->second;
}

void PeerLoads::forgetSilent(TimePoint now)
{
    if (now < m_silentNotBefore)
        return;
    m_silentNotBefore = TimePoint::max();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        auto silentAt = it->second.heardAt + countFor;
        if (silentAt > now) {
            m_silentNotBefore = std::min(m_silentNotBefore, silentAt);
            ++it;
            continue;
        }
        takeOff(it->second);
        it = m_peers.erase(it);
    }
}

void PeerLoads::takeOff(const Peer& peer)
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
