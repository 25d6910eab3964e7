#include "src/gateway/server-book.h"

#include <algorithm>

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

bool ServerBook::setAll(TimePoint now, ListRevision revision, const std::vector<BackendServer>& servers)
{
    if (revision < m_revision)
        return false;
    m_revision = revision;
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
        m_entries[server.id] = { server, std::nullopt };
    return true;
}

bool ServerBook::setAllFromPeer(ListRevision revision, const std::vector<BackendServer>& servers)
{
    if (revision <= m_revision)
        return false;
    m_revision = revision;
    m_entries.clear();
    for (auto& server : servers)
        m_entries[server.id] = { server, std::nullopt };
    return true;
}

bool ServerBook::put(ListRevision revision, const BackendServer& server)
{
    if (revision < m_revision)
        return false;
    m_revision = revision;
    auto& entry = m_entries[server.id];
    bool isNew = entry.server != server || entry.goneAt;
    entry = { server, std::nullopt };
    return isNew;
}

bool ServerBook::remove(TimePoint now, ListRevision revision, const BackendServerId& id)
{
    if (revision < m_revision)
        return false;
    m_revision = revision;
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    if (auto grace = graceUntil(now)) {
        it->second.goneAt = grace;
        return false;
    }
    m_entries.erase(it);
    return true;
}

void ServerBook::advance(ListRevision revision)
{
    m_revision = std::max(m_revision, revision);
}

void ServerBook::onStoreLost(TimePoint)
{
    m_isStoreAway = true;
}

void ServerBook::onStoreRegained(TimePoint now)
{
    if (!m_isStoreAway)
        return;
    m_isStoreAway = false;
    m_graceUntil = now + lapseGrace;
    for (auto& [id, entry] : m_entries) {
        if (entry.goneAt)
            entry.goneAt = m_graceUntil;
    }
}

bool ServerBook::tick(TimePoint now)
{
    return std::erase_if(m_entries, [&](auto& it) { return it.second.goneAt && *it.second.goneAt <= now; }) > 0;
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
