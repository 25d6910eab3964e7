#include "src/gateway/server-book.h"

#include <algorithm>
#include <utility>

namespace swiftloft::gateway {

std::optional<TimePoint> ServerBook::graceUntil(TimePoint now) const
{
    // Failure: the store was down, the heartbeats of living servers found nobody, and their entries lapsed. Dropping
    // them all would leave a service without servers while each of them answers.
    if (m_isStoreAway)
        return TimePoint::max();
    if (m_graceUntil && now < *m_graceUntil)
        return m_graceUntil;
    return std::nullopt;
}

bool ServerBook::setAll(TimePoint now, StorePosition position, const std::vector<BackendServer>& servers)
{
    if (position < m_position)
        return false;
    m_position = position;
    auto grace = graceUntil(now);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        bool isListed = std::any_of(servers.begin(), servers.end(), [&](auto& server) { return server.id == it->first; });
        if (isListed || it->second.goneAt) {
            ++it;
            continue;
        }
        if (!grace) {
            it = m_entries.erase(it);
            continue;
        }
        it->second.goneAt = grace;
        ++it;
    }
    for (auto& server : servers)
        take(server);
    return true;
}

/// Failure: word of the life of a server that has ended comes after that of the next one, from a late write or from a peer
/// that has not heard. Taken, requests would be held against what the dead process had and was.
bool ServerBook::isOfEndedLife(const BackendServer& server) const
{
    auto it = m_starts.find(server.id);
    return it != m_starts.end() && server.startedAt < it->second.startedAt;
}

bool ServerBook::take(const BackendServer& server)
{
    if (isOfEndedLife(server))
        return false;
    if (server.startedAt != ServerStartTime())
        m_starts[server.id] = { server.startedAt, std::nullopt };
    auto& entry = m_entries[server.id];
    bool isNew = entry.server != server || entry.goneAt;
    entry = { server, std::nullopt };
    return isNew;
}

bool ServerBook::setAllFromPeer(StorePosition position, const std::vector<BackendServer>& servers)
{
    if (position <= m_position)
        return false;
    m_position = position;
    auto before = std::exchange(m_entries, {});
    for (auto& server : servers) {
        auto it = before.find(server.id);
        // Where the peer has not heard of the latest life, what is known of that one holds.
        if (isOfEndedLife(server) && it != before.end())
            m_entries.insert(*it);
        else
            take(server);
    }
    return true;
}

bool ServerBook::put(StorePosition position, const BackendServer& server)
{
    if (position < m_position)
        return false;
    m_position = position;
    return take(server);
}

bool ServerBook::dropUnreadable(StorePosition position, const BackendServerId& id)
{
    if (position < m_position)
        return false;
    m_position = position;
    return m_entries.erase(id) > 0;
}

std::optional<ServerIncarnation> ServerBook::remove(TimePoint now, StorePosition position, const BackendServerId& id)
{
    if (position < m_position)
        return std::nullopt;
    m_position = position;
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return std::nullopt;
    if (auto grace = graceUntil(now)) {
        it->second.goneAt = grace;
        return std::nullopt;
    }
    auto life = it->second.server.incarnation();
    m_entries.erase(it);
    return life;
}

void ServerBook::advance(StorePosition position)
{
    m_position = std::max(m_position, position);
}

void ServerBook::onStoreLost(TimePoint)
{
    m_isStoreAway = true;
}

void ServerBook::onStoreRegained(TimePoint now)
{
    if (m_isStoreAway)
        onStoreReturned(now);
}

void ServerBook::onStoreReturned(TimePoint now)
{
    m_isStoreAway = false;
    m_graceUntil = now + lapseGrace;
    for (auto& [id, entry] : m_entries) {
        if (entry.goneAt)
            entry.goneAt = m_graceUntil;
    }
}

bool ServerBook::tick(TimePoint now)
{
    bool isChanged = std::erase_if(m_entries, [&](auto& it) { return it.second.goneAt && *it.second.goneAt <= now; }) > 0;
    forgetStarts(now);
    return isChanged;
}

void ServerBook::forgetStarts(TimePoint now)
{
    for (auto& [id, known] : m_starts) {
        if (!known.forgottenAt && !m_entries.contains(id))
            known.forgottenAt = now + startKeptFor;
    }
    std::erase_if(m_starts, [&](auto& it) { return it.second.forgottenAt && *it.second.forgottenAt <= now; });
}

const BackendServer* ServerBook::find(const BackendServerId& id) const
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.server;
}

std::vector<BackendServer> ServerBook::servers() const
{
    std::vector<BackendServer> out;
    out.reserve(m_entries.size());
    for (auto& [id, entry] : m_entries)
        out.push_back(entry.server);
    return out;
}

} // namespace swiftloft::gateway
