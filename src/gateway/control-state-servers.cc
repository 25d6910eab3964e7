#include "src/gateway/control-state.h"

#include "src/log/logger.h"

#include <algorithm>

/// What an entry believes of the server list: the part of `ControlState` that takes its changes and says which servers are in use.
namespace swiftloft::gateway {

namespace {

/// Entries of the list that were refused and logged; further ones are refused without a line.
constexpr std::size_t maxLoggedRejections = 256;
constexpr std::size_t maxPrintedLength = 80;

/// What others wrote, cut short and without anything that could pass for another field or line of the log.
std::string printable(std::string_view text)
{
    std::string out(text.substr(0, maxPrintedLength));
    std::replace_if(
        out.begin(), out.end(), [](unsigned char it) { return it < 0x20 || it > 0x7e || it == '"'; }, '?');
    return out;
}

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
        // One that may have lapsed only stays in use for a while, and its document with it.
        if (auto life = m_servers.remove(now, item.position(), id)) {
            markLeavingChanged(m_departures.onRemoved(now, hashOf(*life), item.position()));
            m_serverItems.erase(item.name);
            markServersChanged();
        }
        log::write(log::Event::ServerListed, "server={} state=gone revision={}", item.name, item.revision);
        return;
    }
    auto server = decodeServer(item);
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

/// News is told at once, as a newer list is.
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

/// Failure: this entry does not follow the store, and the peers from which it would pull the new list are about to stop.
/// The word itself is short enough to come with every hello.
void ControlState::applyLeaving(TimePoint now, const Hello& hello)
{
    for (auto& it : hello.leaving) {
        if (it.remaining > helloInterval)
            markLeavingChanged(m_departures.onPeerReport(now, it));
    }
}

/// Says so where the change is later than what is held of the server: the list was known beyond it when it came.
void ControlState::logIgnoredChange(const PublishedItem& item) const
{
    auto it = m_serverItems.find(item.name);
    if (it == m_serverItems.end() || item.position() <= it->second.position())
        return;
    auto known = m_servers.position();
    log::write(log::Event::ListChangeLeftOut, "server=\"{}\" era={} revision={} known-era={} known={}", printable(item.name), item.era.value(), item.revision, known.era.value(), known.revision);
}

/// Nothing for an entry that can't be read. Why it names no server to use is logged.
std::optional<BackendServer> ControlState::decodeServer(const PublishedItem& item)
{
    if (!item.problem.empty()) {
        logRejectedEntry(item, item.problem);
        return std::nullopt;
    }
    auto server = m_decoders.decodeServer(item.name, item.document);
    if (!server) {
        logRejectedEntry(item, server.error().message);
        return std::nullopt;
    }
    if (!isServiceKnown(*server))
        logRejectedEntry(item, "it names a service that the configuration has not");
    return *server;
}

std::vector<BackendServer> ControlState::decodeServers(const PublishedItems& items)
{
    std::vector<BackendServer> servers;
    for (auto& item : items.items) {
        if (auto server = decodeServer(item))
            servers.push_back(std::move(*server));
    }
    return servers;
}

/// Keeps the document if it says what is believed of its server, which one about a life that has ended doesn't.
void ControlState::cacheDocument(const PublishedItem& item, const BackendServer& decoded)
{
    auto* known = m_servers.find(decoded.id);
    if (known && *known == decoded)
        m_serverItems[item.name] = item;
}

/// The same for a whole list, of which `decoded` are the entries that could be read, in their order; documents of servers
/// that are not in use any more go.
void ControlState::cacheDocuments(const PublishedItems& items, const std::vector<BackendServer>& decoded)
{
    std::erase_if(m_serverItems, [this](auto& it) { return !m_servers.find(BackendServerId(it.first)); });
    auto item = items.items.begin();
    for (auto& server : decoded) {
        item = std::find_if(item, items.items.end(), [&](auto& it) { return it.name == server.id.value(); });
        cacheDocument(*item++, server);
    }
}

/// Failure: another writer fills the list with what can't be used, and each reading of the list logs all of it. One line for
/// a name and revision, with as much of the name as is safe to print.
void ControlState::logRejectedEntry(const PublishedItem& item, std::string_view problem)
{
    auto it = m_loggedRejections.find(item.name);
    bool isLogged = it != m_loggedRejections.end() && it->second == item.revision;
    if (isLogged || (it == m_loggedRejections.end() && m_loggedRejections.size() >= maxLoggedRejections))
        return;
    m_loggedRejections[item.name] = item.revision;
    log::write(log::Event::DocumentRefused, "kind=server name=\"{}\" revision={} problem=\"{}\"", printable(item.name), item.revision, printable(problem));
}

/// True also while no configuration is known: then nothing is sent anywhere.
bool ControlState::isServiceKnown(const BackendServer& server) const
{
    return !m_configuration || m_configuration->findService(server.service);
}

/// Failure: many servers lose power at once and are back within a second, under new ids at their old addresses, while their
/// old entries stay listed until their heartbeats are missed. Requests sent to the old ids are turned away one after the
/// other until their tries are spent. An address belongs to the server that was listed there last.
std::vector<BackendServer> ControlState::usableServers() const
{
    auto servers = m_servers.servers();
    // Failure: an entry of another writer names a service that does not exist and the address of a server that does. By its
    // later revision it would take the address from that server.
    std::erase_if(servers, [this](auto& server) { return !isServiceKnown(server); });
    std::map<Endpoint, StorePosition> newest;
    for (auto& server : servers)
        newest[server.address] = std::max(newest[server.address], listedPosition(server));
    std::erase_if(servers, [&](auto& server) { return server.address.port() != 0 && listedPosition(server) < newest[server.address]; });
    return servers;
}

} // namespace swiftloft::gateway
