#include "src/gateway/server-registry.h"

#include <algorithm>
#include <utility>

namespace swiftloft::gateway {

std::optional<TimePoint> ServerRegistry::graceUntil(TimePoint now) const
{
    // While the store is down, the heartbeats of running servers are not received, and their list entries expire. If all of
    // these servers were removed, a service would have no servers although each of them still responds.
    if (m_isStoreUnreachable)
        return TimePoint::max();
    if (m_graceUntil && now < *m_graceUntil)
        return m_graceUntil;
    return std::nullopt;
}

bool ServerRegistry::replaceAll(TimePoint now, StorePosition position, const std::vector<BackendServer>& servers)
{
    if (position < m_position)
        return false;
    m_position = position;
    auto grace = graceUntil(now);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        bool isListed = std::any_of(servers.begin(), servers.end(), [&](auto& server) { return server.id == it->first; });
        if (isListed || it->second.expiresAt) {
            ++it;
            continue;
        }
        if (!grace) {
            it = m_entries.erase(it);
            continue;
        }
        it->second.expiresAt = grace;
        ++it;
    }
    for (auto& server : servers)
        apply(server);
    return true;
}

/// A report of a server's ended incarnation can arrive after that of the next one, from a late write or from a peer
/// that does not know the new incarnation yet. If it were applied, requests would be counted against the state and the
/// properties of the dead process.
bool ServerRegistry::isOldIncarnation(const BackendServer& server) const
{
    auto it = m_latestStarts.find(server.id);
    return it != m_latestStarts.end() && server.startedAt < it->second.startedAt;
}

bool ServerRegistry::apply(const BackendServer& server)
{
    if (isOldIncarnation(server))
        return false;
    if (server.startedAt != ServerStartTime())
        m_latestStarts[server.id] = { server.startedAt, std::nullopt };
    auto& entry = m_entries[server.id];
    bool isNew = entry.server != server || entry.expiresAt;
    entry = { server, std::nullopt };
    return isNew;
}

bool ServerRegistry::replaceAllFromPeer(StorePosition position, const std::vector<BackendServer>& servers)
{
    if (position <= m_position)
        return false;
    m_position = position;
    auto before = std::exchange(m_entries, {});
    for (auto& server : servers) {
        auto it = before.find(server.id);
        // What is known of the latest incarnation is kept if the peer does not know that incarnation yet.
        if (isOldIncarnation(server) && it != before.end())
            m_entries.insert(*it);
        else
            apply(server);
    }
    return true;
}

bool ServerRegistry::upsert(StorePosition position, const BackendServer& server)
{
    if (position < m_position)
        return false;
    m_position = position;
    return apply(server);
}

bool ServerRegistry::dropUnreadable(StorePosition position, const BackendServerId& id)
{
    if (position < m_position)
        return false;
    m_position = position;
    return m_entries.erase(id) > 0;
}

std::optional<ServerIncarnation> ServerRegistry::remove(TimePoint now, StorePosition position, const BackendServerId& id)
{
    if (position < m_position)
        return std::nullopt;
    m_position = position;
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return std::nullopt;
    if (auto grace = graceUntil(now)) {
        it->second.expiresAt = grace;
        return std::nullopt;
    }
    auto incarnation = it->second.server.incarnation();
    m_entries.erase(it);
    return incarnation;
}

void ServerRegistry::advanceTo(StorePosition position)
{
    m_position = std::max(m_position, position);
}

void ServerRegistry::onStoreUnreachable(TimePoint)
{
    m_isStoreUnreachable = true;
}

void ServerRegistry::onStoreReachable(TimePoint now)
{
    if (m_isStoreUnreachable)
        onStoreRestored(now);
}

void ServerRegistry::onStoreRestored(TimePoint now)
{
    m_isStoreUnreachable = false;
    m_graceUntil = now + expiryGracePeriod;
    for (auto& [id, entry] : m_entries) {
        if (entry.expiresAt)
            entry.expiresAt = m_graceUntil;
    }
}

bool ServerRegistry::tick(TimePoint now)
{
    bool isChanged = std::erase_if(m_entries, [&](auto& it) { return it.second.expiresAt && *it.second.expiresAt <= now; }) > 0;
    expireStarts(now);
    return isChanged;
}

void ServerRegistry::expireStarts(TimePoint now)
{
    for (auto& [id, known] : m_latestStarts) {
        if (!known.expiresAt && !m_entries.contains(id))
            known.expiresAt = now + startRetention;
    }
    std::erase_if(m_latestStarts, [&](auto& it) { return it.second.expiresAt && *it.second.expiresAt <= now; });
}

const BackendServer* ServerRegistry::find(const BackendServerId& id) const
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.server;
}

std::vector<BackendServer> ServerRegistry::servers() const
{
    std::vector<BackendServer> out;
    out.reserve(m_entries.size());
    for (auto& [id, entry] : m_entries)
        out.push_back(entry.server);
    return out;
}

} // namespace swiftloft::gateway
