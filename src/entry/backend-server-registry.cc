#include "src/entry/backend-server-registry.h"

#include "src/process/process-config.h"

#include <algorithm>

namespace swiftloft::entry {

namespace {

bool isListedAgent(const membership::ViewMember& member)
{
    return member.listed && member.listed->role == membership::Role::Agent;
}

bool isUsableEntry(const membership::ViewMember& member)
{
    return member.listed && member.listed->role == membership::Role::Entry && member.isUsable();
}

bool isUp(const BackendServer& server)
{
    return server.linkedWorkers != 0 && server.isEngineUp && !server.isLeaving;
}

BackendServerId idOf(const membership::ViewMember& member)
{
    return BackendServerId(member.listed->id.value());
}

bool isMarkedLeaving(const membership::ViewMember& member)
{
    return member.isLeaving || member.listed->state == membership::ListedState::Leaving;
}

} // namespace

BackendServerRegistry::BackendServerRegistry(DataCentreName dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

void BackendServerRegistry::onView(const membership::View& view, TimePoint now, Effects& effects)
{
    m_entries = std::max<std::size_t>(1, std::count_if(view.members.begin(), view.members.end(), isUsableEntry));
    for (auto& member : view.members) {
        if (!isListedAgent(member))
            continue;
        auto it = m_servers.find(idOf(member));
        if (it == m_servers.end()) {
            add(member, effects);
            continue;
        }
        if (isMarkedLeaving(member))
            it->second.isLeaving = true;
        updateRouter(it->second);
    }
    boost::unordered::erase_if(m_servers, [&](auto& entry) {
        auto& [id, server] = entry;
        if (view.find(membership::NodeId(id.value())))
            return false;
        effects.push_back(CloseLink { id });
        server.isLeaving = true;
        updateRouter(server);
        return true;
    });
    updateHomeSelectors(view.listRevision, now);
}

void BackendServerRegistry::add(const membership::ViewMember& member, Effects& effects)
{
    auto endpoint = process::parseEndpoint(member.listed->address.value());
    if (!endpoint)
        return;
    BackendServer server;
    server.id = idOf(member);
    server.service = member.listed->service;
    server.dataCentre = member.listed->dataCentre;
    server.endpoint = *endpoint;
    server.isLeaving = isMarkedLeaving(member);
    effects.push_back(OpenLink { server.id, server.endpoint });
    m_servers.emplace(server.id, std::move(server));
}

void BackendServerRegistry::onReport(const LinkReported& event)
{
    auto it = m_servers.find(event.server);
    if (it == m_servers.end())
        return;
    auto& server = it->second;
    // A new incarnation means that the server's agent process was replaced; the leaving state of the old process does not
    // apply to the new one.
    if (server.incarnation != event.report.incarnation)
        server.isLeaving = event.report.isLeaving;
    server.incarnation = event.report.incarnation;
    server.isLeaving = server.isLeaving || event.report.isLeaving;
    server.isEngineUp = event.report.isEngineUp;
    server.isReserved = event.report.isReserved;
    server.epoch = event.report.epoch;
    server.tokensPerSecond = event.report.tokensPerSecond;
    server.linkedWorkers |= 1ULL << event.worker.value();
    updateRouter(server);
    if (server.handle)
        m_routers.at(server.service).onReport(*server.handle, { event.now, event.report.pending, event.report.tokensPerSecond });
}

void BackendServerRegistry::onRefusal(const BackendServerId& id, AttemptReason reason)
{
    auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    if (reason == AttemptReason::Leaving)
        it->second.isLeaving = true;
    else if (reason == AttemptReason::Overloaded)
        it->second.isReserved = true;
    else
        it->second.isEngineUp = false;
    updateRouter(it->second);
}

void BackendServerRegistry::onLinkDown(const LinkDown& event)
{
    auto it = m_servers.find(event.server);
    if (it == m_servers.end())
        return;
    it->second.linkedWorkers &= ~(1ULL << event.worker.value());
    updateRouter(it->second);
}

void BackendServerRegistry::updateRouter(BackendServer& server)
{
    auto mayGetWork = isUp(server) && !server.isReserved;
    if (mayGetWork == server.handle.has_value())
        return;
    if (!mayGetWork) {
        m_routers.at(server.service).remove(*server.handle);
        server.handle.reset();
        return;
    }
    auto it = m_routers.find(server.service);
    if (it == m_routers.end()) {
        policy::RouterOptions options;
        options.dataCentre = m_dataCentre;
        options.region = m_topology.regionOf(m_dataCentre);
        it = m_routers.emplace(server.service, policy::Router::create(options).value()).first;
    }
    server.handle = it->second.add({ server.id, server.dataCentre, m_topology.regionOf(server.dataCentre) });
}

policy::Router* BackendServerRegistry::router(const ServiceName& service)
{
    auto it = m_routers.find(service);
    return it == m_routers.end() ? nullptr : &it->second;
}

const policy::Router* BackendServerRegistry::router(const ServiceName& service) const
{
    auto it = m_routers.find(service);
    return it == m_routers.end() ? nullptr : &it->second;
}

const BackendServer* BackendServerRegistry::find(const BackendServerId& id) const
{
    auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

const BackendServer* BackendServerRegistry::find(const ServiceName& service, policy::ServerHandle handle)
{
    auto it = m_routers.find(service);
    auto id = it == m_routers.end() ? nullptr : it->second.idOf(handle);
    return id ? find(*id) : nullptr;
}

std::vector<BackendServerId> BackendServerRegistry::upServers(const ServiceName& service) const
{
    std::vector<BackendServerId> ids;
    for (auto& [id, server] : m_servers) {
        if (server.service == service && isUp(server))
            ids.push_back(id);
    }
    return ids;
}

bool BackendServerRegistry::hasReservedServer(const ServiceName& service) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](auto& entry) {
        return entry.second.service == service && isUp(entry.second) && entry.second.isReserved;
    });
}

ServiceCapacity BackendServerRegistry::capacityOf(const ServiceName& service) const
{
    ServiceCapacity capacity;
    capacity.entries = m_entries;
    for (auto& [id, server] : m_servers) {
        if (server.service != service || !server.handle)
            continue;
        ++capacity.servers;
        capacity.tokensPerSecond += server.tokensPerSecond;
    }
    return capacity;
}

policy::HomeSelector* BackendServerRegistry::homeSelector(const ServiceName& service)
{
    auto it = m_homeSelectors.find(service);
    return it == m_homeSelectors.end() ? nullptr : &it->second;
}

void BackendServerRegistry::updateHomeSelectors(Revision revision, TimePoint now)
{
    if (m_listRevision && revision <= *m_listRevision)
        return;
    m_listRevision = revision;
    boost::unordered_flat_map<ServiceName, std::vector<BackendServerId>, std::hash<ServiceName>> agents;
    for (auto& [id, server] : m_servers)
        agents[server.service].push_back(id);
    for (auto& [service, home] : m_homeSelectors)
        agents.try_emplace(service);
    for (auto& [service, ids] : agents) {
        auto it = m_homeSelectors.find(service);
        if (it == m_homeSelectors.end())
            it = m_homeSelectors.emplace(service, policy::HomeSelector::create({}).value()).first;
        it->second.onAgentList(policy::ListRevision(revision.value()), std::move(ids), now);
    }
}

} // namespace swiftloft::entry
