#include "src/policy/server-table.h"

namespace swiftloft::policy::internal {

void RecentChanges::add(TimePoint at, Tokens change)
{
    m_changes[m_next] = { at, change };
    m_next = (m_next + 1) % m_changes.size();
}

Tokens RecentChanges::sumAfter(TimePoint since) const
{
    Tokens sum;
    for (auto& change : m_changes) {
        if (change.at > since)
            sum += change.tokens;
    }
    return sum;
}

ServerHandle ServerTable::add(const ServerDescription& description, Tier tier)
{
    if (auto known = find(description.id))
        return *known;
    std::uint32_t n;
    if (m_freeSlots.empty()) {
        n = static_cast<std::uint32_t>(m_servers.size());
        m_servers.emplace_back();
    } else {
        n = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    auto generation = m_servers[n].generation + 1;
    m_servers[n] = {};
    m_servers[n].generation = generation;
    m_servers[n].id = description.id;
    m_servers[n].tier = tier;
    m_servers[n].isUsed = true;
    m_servers[n].state = ServerState::Ejected;
    m_ids.emplace(description.id, n);
    activate(handleOf(n));
    return handleOf(n);
}

void ServerTable::remove(ServerHandle handle)
{
    if (!at(handle))
        return;
    markLeaving(handle);
    m_ids.erase(m_servers[handle.slot].id);
    m_servers[handle.slot].isUsed = false;
    m_freeSlots.push_back(handle.slot);
}

std::optional<ServerHandle> ServerTable::find(const BackendServerId& id) const
{
    auto it = m_ids.find(id);
    if (it == m_ids.end())
        return std::nullopt;
    return handleOf(it->second);
}

Server* ServerTable::at(ServerHandle handle)
{
    return const_cast<Server*>(std::as_const(*this).at(handle));
}

const Server* ServerTable::at(ServerHandle handle) const
{
    if (handle.slot >= m_servers.size())
        return nullptr;
    auto& server = m_servers[handle.slot];
    return server.isUsed && server.generation == handle.generation ? &server : nullptr;
}

std::size_t ServerTable::activeCount() const
{
    std::size_t n = 0;
    for (auto& servers : m_active)
        n += servers.size();
    return n;
}

void ServerTable::activate(ServerHandle handle)
{
    auto* server = at(handle);
    if (!server || server->state != ServerState::Ejected)
        return;
    auto& servers = m_active[static_cast<std::size_t>(server->tier)];
    m_ejected.remove(handle.slot);
    server->state = ServerState::Active;
    server->isBeingProbed = false;
    server->activeIndex = static_cast<std::uint32_t>(servers.size());
    servers.push_back(handle.slot);
}

void ServerTable::eject(ServerHandle handle)
{
    auto* server = at(handle);
    if (!server || server->state == ServerState::Leaving)
        return;
    removeFromActive(handle.slot);
    server->state = ServerState::Ejected;
    server->isBeingProbed = false;
    m_ejected.set(handle.slot, server->health.ejectedUntil());
}

void ServerTable::markLeaving(ServerHandle handle)
{
    auto* server = at(handle);
    if (!server)
        return;
    removeFromActive(handle.slot);
    m_ejected.remove(handle.slot);
    server->state = ServerState::Leaving;
}

std::optional<std::uint32_t> ServerTable::dueForProbe(TimePoint now) const
{
    if (m_ejected.empty() || m_ejected.topKey() > now)
        return std::nullopt;
    return m_ejected.topId();
}

void ServerTable::suspendProbe(std::uint32_t n)
{
    m_servers[n].isBeingProbed = true;
    m_ejected.remove(n);
}

void ServerTable::removeFromActive(std::uint32_t n)
{
    auto& server = m_servers[n];
    if (server.state != ServerState::Active)
        return;
    auto& servers = m_active[static_cast<std::size_t>(server.tier)];
    servers[server.activeIndex] = servers.back();
    m_servers[servers.back()].activeIndex = server.activeIndex;
    servers.pop_back();
}

} // namespace swiftloft::policy::internal
