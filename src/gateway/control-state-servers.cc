#include "src/gateway/control-state.h"

#include "src/log/logger.h"
#include "src/log/printable.h"

#include <algorithm>

/// Server list of an entry: the part of `ControlState` that applies changes of the list and selects the servers in use.
namespace swiftloft::gateway {

namespace {

/// Maximum number of rejected list entries that are logged and remembered. Further ones are rejected without a log
/// line.
constexpr std::size_t maxLoggedRejections = 256;

} // namespace

void ControlState::applyServerChange(const PublishedItem& item, TimePoint now)
{
    if (item.position() < m_servers.position()) {
        logIgnoredChange(item);
        return;
    }
    m_lastServerChange = std::max(m_lastServerChange, item.position());
    BackendServerId id(item.name);
    if (item.isRemoved) {
        m_loggedRejections.erase(item.name);
        // A server whose list entry may only have expired stays in use for a while, and its document is kept as long.
        if (auto incarnation = m_servers.remove(now, item.position(), id)) {
            markLeavingChanged(m_departures.onRemoved(now, hashOf(*incarnation), item.position()));
            m_serverItems.erase(item.name);
            markServersChanged();
        }
        log::write(log::Event::ServerListed, "server={} state=gone revision={}", item.name, item.revision);
        return;
    }
    auto server = decodeServer(item, now);
    if (!server) {
        if (m_servers.dropUnreadable(item.position(), id)) {
            m_serverItems.erase(item.name);
            markServersChanged();
        }
        return;
    }
    recordDraining(now, { &*server, 1 });
    bool isNew = m_servers.upsert(item.position(), *server);
    cacheDocument(item, *server);
    m_isServerListChanged = true;
    if (!isNew)
        return;
    m_isSnapshotChanged = true;
    log::write(log::Event::ServerListed, "server={} state={} revision={}", item.name, server->state == ServerState::Ready ? "ready" : "draining", item.revision);
}

void ControlState::markServersChanged()
{
    m_isSnapshotChanged = true;
    m_isServerListChanged = true;
}

void ControlState::recordDraining(TimePoint now, std::span<const BackendServer> servers)
{
    for (auto& server : servers) {
        if (server.state == ServerState::Draining)
            markLeavingChanged(m_departures.onAnnounced(now, hashOf(server.incarnation())));
    }
}

/// Changes of leaving servers are announced immediately, as a newer list is.
void ControlState::markLeavingChanged(bool isChanged)
{
    m_isSnapshotChanged |= isChanged;
    m_isLeavingChanged |= isChanged;
}

StorePosition ControlState::listedPosition(const BackendServer& server) const
{
    auto it = m_serverItems.find(server.id.value());
    return it == m_serverItems.end() ? StorePosition {} : it->second.position();
}

void ControlState::updateDepartures(TimePoint now)
{
    Departures::List list;
    for (auto& server : m_servers.servers())
        list[hashOf(server.incarnation())] = { listedPosition(server), server.state == ServerState::Ready };
    markLeavingChanged(m_departures.setList(now, knownServerPosition(), std::move(list)));
}

/// Applies the reports of leaving servers in a hello. They are short enough for every hello to carry them. Without
/// them, an entry that does not watch the store would have to pull the new list, and the peers that have it may be
/// about to stop.
void ControlState::applyLeaving(TimePoint now, const Hello& hello)
{
    for (auto& it : hello.leaving) {
        if (it.remaining > helloInterval)
            markLeavingChanged(m_departures.onPeerReport(now, it));
    }
}

/// Logs an ignored change if it is later than the cached document of its server. Such a change was ignored because a
/// later state of the list was already known when it arrived.
void ControlState::logIgnoredChange(const PublishedItem& item) const
{
    auto it = m_serverItems.find(item.name);
    if (it == m_serverItems.end() || item.position() <= it->second.position())
        return;
    auto known = m_servers.position();
    log::write(log::Event::ListChangeLeftOut, "server=\"{}\" era={} revision={} known-era={} known={}", log::printable(item.name), item.era.value(), item.revision, known.era.value(), known.revision);
}

/// Returns `nullopt` for a list entry that can't be decoded. Logs the reason for this, or that the list entry names an
/// unknown service.
///
/// A document that is known already keeps its result: it says for how long its server is still cold, counted from when
/// it was first read.
std::optional<BackendServer> ControlState::decodeServer(const PublishedItem& item, TimePoint now)
{
    auto cached = m_serverItems.find(item.name);
    auto* known = cached == m_serverItems.end() ? nullptr : m_servers.find(BackendServerId(item.name));
    if (known && cached->second.position() == item.position() && cached->second.document == item.document)
        return *known;
    if (!item.problem.empty()) {
        logRejectedEntry(item, item.problem);
        return std::nullopt;
    }
    auto server = m_decoders.decodeServer(item.name, item.document, now);
    if (!server) {
        logRejectedEntry(item, server.error().message);
        return std::nullopt;
    }
    if (!isServiceKnown(*server))
        logRejectedEntry(item, "the list entry names a service that the configuration does not define");
    return *server;
}

std::vector<BackendServer> ControlState::decodeServers(const PublishedItems& items, TimePoint now)
{
    std::vector<BackendServer> servers;
    for (auto& item : items.items) {
        if (auto server = decodeServer(item, now))
            servers.push_back(std::move(*server));
    }
    return servers;
}

/// Caches the document if it matches the known state of its server. A document about an earlier incarnation does not.
void ControlState::cacheDocument(const PublishedItem& item, const BackendServer& decoded)
{
    auto* known = m_servers.find(decoded.id);
    if (known && *known == decoded)
        m_serverItems[item.name] = item;
}

/// Caches the documents of a whole list. `decoded` holds its decodable entries in their order. Documents of servers
/// that are no longer in use are removed.
void ControlState::cacheDocuments(const PublishedItems& items, const std::vector<BackendServer>& decoded)
{
    std::erase_if(m_serverItems, [this](auto& it) { return !m_servers.find(BackendServerId(it.first)); });
    auto item = items.items.begin();
    for (auto& server : decoded) {
        item = std::find_if(item, items.items.end(), [&](auto& it) { return it.name == server.id.value(); });
        cacheDocument(*item++, server);
    }
}

/// Logs one line for each name and revision, with as much of the name as is safe to print. If another writer fills the
/// list with unusable entries, each read of the list would otherwise log all of them.
void ControlState::logRejectedEntry(const PublishedItem& item, std::string_view problem)
{
    auto it = m_loggedRejections.find(item.name);
    bool isLogged = it != m_loggedRejections.end() && it->second == item.revision;
    if (isLogged || (it == m_loggedRejections.end() && m_loggedRejections.size() >= maxLoggedRejections))
        return;
    m_loggedRejections[item.name] = item.revision;
    log::write(log::Event::DocumentRefused, "kind=server name=\"{}\" revision={} problem=\"{}\"", log::printable(item.name), item.revision, log::printable(problem));
}

void ControlState::logRejectedEvacuations(const PublishedItems& items)
{
    for (auto& item : items.evacuations) {
        auto it = m_loggedEvacuations.find(item.name);
        bool isLogged = it != m_loggedEvacuations.end() && it->second == item.revision;
        if (item.problem.empty() || isLogged || m_loggedEvacuations.size() >= maxLoggedRejections)
            continue;
        m_loggedEvacuations[item.name] = item.revision;
        log::write(log::Event::EvacuationRefused, "name=\"{}\" revision={} problem=\"{}\"", log::printable(item.name), item.revision, log::printable(item.problem));
    }
}

/// Changes of the evacuations are announced immediately.
void ControlState::markEvacuationsChanged(bool isChanged)
{
    m_isSnapshotChanged |= isChanged;
    m_isEvacuationChanged |= isChanged;
}

/// Also returns true while no configuration is known, because no requests are sent then.
bool ControlState::isServiceKnown(const BackendServer& server) const
{
    return !m_configuration || m_configuration->findService(server.service);
}

/// Returns one server for each address: the one that was listed there last. Many servers may lose power together and
/// return within a second, under new ids at their old addresses. Their old list entries stay until missing heartbeats
/// are noticed. A request sent to the old ids would be rejected by one server after the other until its attempts are
/// exhausted.
std::vector<BackendServer> ControlState::usableServers() const
{
    auto servers = m_servers.servers();
    // Another writer may list an entry with an unknown service and the address of an existing server. If it were not
    // removed here, its later revision would take the address from that server.
    std::erase_if(servers, [this](auto& server) { return !isServiceKnown(server); });
    std::map<Endpoint, StorePosition> newest;
    for (auto& server : servers)
        newest[server.address] = std::max(newest[server.address], listedPosition(server));
    std::erase_if(servers, [&](auto& server) { return server.address.port() != 0 && listedPosition(server) < newest[server.address]; });
    return servers;
}

} // namespace swiftloft::gateway
