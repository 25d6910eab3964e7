#include "src/gateway/control-state.h"

#include "src/log/logger.h"

#include <algorithm>

namespace swiftloft::gateway {

using namespace control;

ControlState::ControlState(EntryMember self, std::vector<Endpoint> seeds, std::size_t minEntries, Decoders decoders, policy::Generator generator, TimePoint now)
    : m_entries(std::move(self), std::move(seeds))
    , m_minEntries(minEntries)
    , m_decoders(std::move(decoders))
    , m_generator(generator)
    , m_startedAt(now)
    , m_startupStoreDeadline(now + startupStoreTimeout)
    , m_nextHelloAt(now)
    , m_nextBriefAt(now)
    , m_briefNotBefore(now + startupBriefDelay)
{
}

Effects ControlState::apply(TimePoint now, const Event& event)
{
    Effects effects;
    if (auto* listed = std::get_if<StoreListed>(&event))
        onListed(now, *listed);
    else if (auto* changed = std::get_if<StoreChanged>(&event))
        onChanged(now, *changed);
    else if (auto* failed = std::get_if<StoreFailed>(&event))
        onStoreFailed(now, failed->topic);
    else if (auto* hello = std::get_if<HelloReceived>(&event))
        onHello(now, hello->hello, effects);
    else if (auto* rank = std::get_if<RankStatusReceived>(&event))
        onRankStatus(now, rank->status);
    else if (auto* answered = std::get_if<PullAnswered>(&event))
        onPullAnswered(now, *answered);
    else if (auto* pullFailed = std::get_if<PullFailed>(&event))
        m_pulls.onFailed(pullFailed->topic);
    else if (auto* measured = std::get_if<LoadsMeasured>(&event)) {
        m_ownLoads = measured->loads;
        m_ownDemands = measured->demands;
        m_suspicions = measured->suspicions;
    } else if (auto* leaving = std::get_if<LeavingReported>(&event))
        markLeavingChanged(m_departures.onAnnounced(now, hashOf(leaving->server)));
    else if (auto* stop = std::get_if<StopRequested>(&event)) {
        m_isLeaving = true;
        m_servesWhileLeaving = m_isReady;
        m_acceptsUntil = m_isReady ? stop->acceptsUntil : now;
        m_nextHelloAt = now;
    }
    if (std::exchange(m_isServerListChanged, false))
        updateDepartures(now);
    updateReadiness(now);
    updateWatching(now, effects);
    tick(now, effects);
    announceChanges(now, effects);
    if (m_isSnapshotChanged)
        effects.push_back(PublishSnapshot {});
    m_isSnapshotChanged = false;
    return effects;
}

/// Announces a newer configuration or a change of the server list to peers immediately. Most peers don't watch the
/// store, and the store may currently reject some of those that do.
void ControlState::announceChanges(TimePoint now, Effects& effects)
{
    auto version = m_configuration ? m_configuration->version() : ConfigurationVersion(0);
    bool hasLeavingNews = std::exchange(m_isLeavingChanged, false);
    bool isEvacuationChanged = std::exchange(m_isEvacuationChanged, false);
    if (version == m_announcedVersion && m_lastServerChange == m_announcedServers && !hasLeavingNews && !isEvacuationChanged)
        return;
    m_announcedVersion = version;
    m_announcedServers = m_lastServerChange;
    auto targets = m_entries.nextTargets(now, m_generator);
    // The hello itself carries the evacuations and the reports of leaving servers, so it goes to all targets.
    if (m_departures.reports(now).empty() && !isEvacuationChanged)
        targets.local.resize(std::min(targets.local.size(), maxUrgentLocalHellos));
    targets.local.insert(targets.local.end(), targets.remote.begin(), targets.remote.end());
    effects.emplace_back(SendHello { std::move(targets.local), this->makeHello(now, 0) });
}

void ControlState::onHello(TimePoint now, const Hello& hello, Effects& effects)
{
    bool isNewcomer = m_entries.isNewcomer(hello);
    m_entries.onHello(hello, now);
    applyLeaving(now, hello);
    markEvacuationsChanged(m_evacuations.onPeerReport(now, hello.evacuations));
    m_isSnapshotChanged |= m_ranks.onPeerDegradedRanks(now, hello.sender.control, hello.degraded);
    if (!hello.loads.empty() && !m_entries.isLocal(hello.sender.dataCentre))
        m_remoteLoads[hello.sender.dataCentre] = { hello.loads, hello.demands, now };
    if (hello.sender.isWatching && !m_watcherDocuments)
        m_watcherDocuments = { ConfigurationVersion(hello.configuration), hello.servers };
    if (!hello.suspicions.empty())
        effects.emplace_back(ForwardSuspicions { hello.suspicions });
    pullIfBehind(now, hello, effects);
    // When a whole fleet starts together, each entry knows only the seeds. Without the immediate reply, every entry
    // would consider itself the first of its data centre until hellos have spread: it would watch the store and receive
    // the status of every rank.
    if (isNewcomer) {
        auto welcome = withLocalState(now, m_entries.makeWelcome(hello.sender, m_generator));
        welcome.leaving = m_departures.reportsForNewEntry(now);
        effects.emplace_back(SendHello { { hello.sender.control }, std::move(welcome) });
    } else if (hello.sender.state == EntryState::Starting && m_entries.self().isWatching)
        effects.emplace_back(SendHello { { hello.sender.control }, makeHello(now, 0) });
}

void ControlState::updateWatching(TimePoint now, Effects& effects)
{
    bool isStoreAnswering = m_isWatching && m_hasStoreAnswered && !m_isStoreUnreachable[Topic::Configuration] && !m_isStoreUnreachable[Topic::Servers];
    // Sent early: other entries that have just started stop watching when they learn that enough entries do.
    if (isStoreAnswering != m_entries.self().isWatching)
        m_nextHelloAt = std::min(m_nextHelloAt, now + watchChangeHelloDelay);
    m_entries.setWatching(isStoreAnswering);
    bool isNeeded = isWatchNeeded(now) || (m_isWatching && now < m_minWatchUntil);
    auto maxBackOff = m_entries.backupPosition(now) == 0 ? firstWatcherMaxBackOff : backupMaxBackOff;
    bool isBackOffChanged = std::exchange(m_maxBackOff, maxBackOff) != maxBackOff;
    if (isNeeded == m_isWatching) {
        if (isNeeded && isBackOffChanged)
            effects.emplace_back(SetWatching { true, maxBackOff });
        return;
    }
    m_isWatching = isNeeded;
    m_minWatchUntil = now + minWatchTime;
    log::write(log::Event::StoreWatchChanged, "watching={}", isNeeded ? "yes" : "no");
    if (!isNeeded) {
        // An entry that does not watch the store can't tell whether the store is reachable. From now on it relies on
        // the peers that watch the store.
        m_isStoreUnreachable.clear();
        m_servers.onStoreReachable(now);
    }
    effects.emplace_back(SetWatching { isNeeded, maxBackOff });
}

bool ControlState::isWatchNeeded(TimePoint now)
{
    auto neighbourDelay = m_entries.awaitsPeers() ? startupSeedDelay : startupNeighbourDelay;
    if (now < m_startedAt + neighbourDelay)
        return false;
    auto position = static_cast<int>(m_entries.backupPosition(now));
    // An entry that the store responds to may still be listing thousands of servers, or the platform may not have
    // published anything yet. If the others listed them too, they would use up the read limit of the store, and no list
    // would ever be complete.
    if (!m_isReady && !m_watcherDocuments && now >= m_startedAt + startupPeerTimeout + position * backupWatchInterval)
        return true;
    if (!m_entries.shouldWatch(now)) {
        m_watchNeededSince.reset();
        return false;
    }
    if (!m_watchNeededSince)
        m_watchNeededSince = now;
    auto delay = position == 0 ? milliseconds(0) : backupWatchDelay + position * backupWatchInterval;
    return now >= *m_watchNeededSince + delay;
}

bool ControlState::isConfirmedByPeer() const
{
    return m_watcherDocuments && m_configuration && m_hasServers && m_configuration->version() >= m_watcherDocuments->configuration && knownServerPosition() >= m_watcherDocuments->servers;
}

bool ControlState::mayUseDocuments(TimePoint now) const
{
    // A peer that is itself disconnected from the store could send an old configuration, and this entry would accept
    // keys that have been revoked since.
    return m_hasStoreAnswered || isConfirmedByPeer() || now >= m_startupStoreDeadline;
}

void ControlState::onStoreAnswered(TimePoint now, Topic topic)
{
    m_hasStoreAnswered = true;
    if (!std::exchange(m_isStoreUnreachable[topic], false))
        return;
    log::write(log::Event::PlatformReachable, "topic={}", nameOf(topic));
    if (topic == Topic::Servers)
        m_servers.onStoreReachable(now);
}

void ControlState::onStoreFailed(TimePoint now, Topic topic)
{
    if (topic == Topic::Servers) {
        m_servers.onStoreUnreachable(now);
        m_departures.onStoreUnreachable(now);
    }
    m_isStoreUnreachable[topic] = true;
}

void ControlState::onListed(TimePoint now, const StoreListed& event)
{
    onStoreAnswered(now, event.topic);
    if (event.topic == Topic::Configuration) {
        for (auto& item : event.items.items)
            applyConfiguration(item, "store");
        logRejectedEvacuations(event.items);
        markEvacuationsChanged(m_evacuations.onListed(now, event.items));
        return;
    }
    auto servers = decodeServers(event.items, now);
    checkForStoreRestore(now, event.items.era);
    if (!m_servers.replaceAll(now, event.items.position(), servers))
        return;
    cacheDocuments(event.items, servers);
    recordDraining(now, servers);
    for (auto& item : event.items.items)
        m_lastServerChange = std::max(m_lastServerChange, item.position());
    m_hasServers = true;
    markServersChanged();
}

void ControlState::checkForStoreRestore(TimePoint now, StoreEra era)
{
    if (!m_hasServers || era <= knownServerPosition().era)
        return;
    m_servers.onStoreRestored(now);
    m_departures.onStoreRestored(now);
}

void ControlState::onChanged(TimePoint now, const StoreChanged& event)
{
    onStoreAnswered(now, event.topic);
    if (event.topic == Topic::Configuration) {
        for (auto& item : event.items.items)
            applyConfiguration(item, "store");
        logRejectedEvacuations(event.items);
        markEvacuationsChanged(m_evacuations.onChanged(now, event.items));
        return;
    }
    // Sorted, because a change applied after a later one would be ignored as older than the known position.
    auto items = event.items.items;
    std::stable_sort(items.begin(), items.end(), [](auto& one, auto& other) { return one.position() < other.position(); });
    for (auto& item : items)
        applyServerChange(item, now);
    m_servers.advanceTo(event.items.position());
}

void ControlState::applyConfiguration(const PublishedItem& item, std::string_view source)
{
    if (item.isRemoved || item.document.empty())
        return;
    auto configuration = m_decoders.decodeConfiguration(item.document);
    if (!configuration) {
        log::write(log::Event::DocumentRefused, "kind=configuration revision={} source={} problem=\"{}\"", item.revision, source, configuration.error().message);
        return;
    }
    if (m_configuration && (*configuration)->version() <= m_configuration->version())
        return;
    m_configuration = *configuration;
    m_configurationItem = item;
    m_isSnapshotChanged = true;
    log::write(log::Event::SettingsInForce, "version={} revision={} source={} routes={} services={}", m_configuration->version().value(), item.revision, source,
        m_configuration->routes().size(), m_configuration->services().size());
}

void ControlState::pullIfBehind(TimePoint now, const Hello& hello, Effects& effects)
{
    // Local peers that watch the store usually have the same document a moment later.
    bool mayWait = m_isReady && !m_entries.isLocal(hello.sender.dataCentre) && m_entries.isLoadSharedLocally(now);
    auto pull = [&](Topic topic) {
        if (m_pulls.tryBegin(now, topic, mayWait))
            effects.push_back(Pull { hello.sender.control, topic });
    };
    auto version = m_configuration ? m_configuration->version().value() : 0;
    if (hello.configuration > version)
        pull(Topic::Configuration);
    if (hello.servers > knownServerPosition())
        pull(Topic::Servers);
}

void ControlState::onPullAnswered(TimePoint now, const PullAnswered& event)
{
    m_pulls.onAnswered(event.topic);
    if (event.topic == Topic::Configuration) {
        for (auto& item : event.items.items)
            applyConfiguration(item, "peer");
        return;
    }
    auto servers = decodeServers(event.items, now);
    checkForStoreRestore(now, event.items.era);
    if (!m_servers.replaceAllFromPeer(event.items.position(), servers))
        return;
    cacheDocuments(event.items, servers);
    recordDraining(now, servers);
    m_lastServerChange = std::max(m_lastServerChange, event.items.position());
    m_hasServers = true;
    markServersChanged();
    m_servers.tick(now);
}

void ControlState::onRankStatus(TimePoint now, const RankStatus& status)
{
    auto change = m_ranks.onStatus(now, status);
    m_isSnapshotChanged |= change.isChange;
    m_isDegradedChanged |= change.isChange;
    if (change.isNewEpoch && status.isOpen)
        m_nextBriefAt = std::min(m_nextBriefAt, now + newEpochBriefDelay);
}

void ControlState::sendBriefs(TimePoint now, Effects& effects)
{
    for (auto& server : usableServers()) {
        auto* service = m_configuration->findService(server.service);
        bool hasMap = service && service->engine && service->engine->layers > 0;
        if (hasMap)
            effects.push_back(SendBrief { server.address, m_ranks.nextBrief(now, server.address, *service->engine, m_entries.isLocal(server.dataCentre)) });
    }
}

/// Announces closed and slow ranks to local entries that agents don't report to.
void ControlState::announceDegradedRanks(TimePoint now, Effects& effects)
{
    if (!m_isDegradedChanged || now < m_degradedAnnouncedAt + degradedHelloInterval || !m_entries.isRelay(now))
        return;
    m_isDegradedChanged = false;
    m_degradedAnnouncedAt = now;
    effects.push_back(SendHello { m_entries.nextTargets(now, m_generator).local, makeHello(now, 0) });
}

void ControlState::updateReadiness(TimePoint now)
{
    bool isReady = m_configuration && m_hasServers && !m_isLeaving && (m_isReady || mayUseDocuments(now));
    if (isReady != m_isReady) {
        m_isReady = isReady;
        m_isSnapshotChanged = true;
        m_nextHelloAt = now;
        log::write(isReady ? log::Event::NodeReady : log::Event::NodeLeaving, "configuration={} servers={} store={}", m_configuration ? m_configuration->version().value() : 0,
            m_servers.position().revision, m_hasStoreAnswered ? "answered" : "silent");
    }
    m_entries.setState(m_isLeaving ? EntryState::Leaving : m_isReady ? EntryState::Serving
                                                                     : EntryState::Starting);
    if (m_isLeaving)
        m_entries.setAcceptsFor(std::max(std::chrono::duration_cast<milliseconds>(m_acceptsUntil - now), milliseconds(0)));
}

void ControlState::tick(TimePoint now, Effects& effects)
{
    if (m_servers.tick(now))
        markServersChanged();
    m_departures.tick(now);
    // The first brief is sent as soon as the configuration and the server list are known; both are missing right after
    // a start. It must not be late, because agents report their groups to an entry only after the entry has sent them a
    // brief.
    bool knowsServers = m_configuration && m_hasServers;
    bool isBriefDue = knowsServers && now >= std::max(m_nextBriefAt, m_briefNotBefore);
    if (isBriefDue && m_entries.isRelay(now)) {
        m_nextBriefAt = now + briefInterval;
        sendBriefs(now, effects);
    }
    announceDegradedRanks(now, effects);
    if (now >= m_nextHelloAt)
        sendHello(now, effects);
}

Hello ControlState::makeHello(TimePoint now, std::size_t maxMembers)
{
    return withLocalState(now, m_entries.makeHello(maxMembers, m_generator));
}

Hello ControlState::withLocalState(TimePoint now, Hello out) const
{
    out.configuration = m_configuration ? m_configuration->version().value() : 0;
    out.servers = m_lastServerChange;
    out.leaving = m_departures.reports(now);
    out.evacuations = m_evacuations.report();
    out.suspicions = m_suspicions;
    if (m_entries.isRelay(now))
        out.degraded = m_ranks.degradedRanks(now);
    return out;
}

void ControlState::sendHello(TimePoint now, Effects& effects)
{
    m_nextHelloAt = now + (m_entries.awaitsPeers() ? startupHelloInterval : helloInterval);
    // Peers appear and disappear silently, so the snapshot of the traffic thread is renewed with each round of hellos.
    m_isSnapshotChanged = true;
    m_entries.beginRound();
    auto targets = m_entries.nextTargets(now, m_generator);
    effects.push_back(SendHello { std::move(targets.local), makeHello(now, 0) });
    auto remoteHello = makeHello(now, EntryRegistry::membersPerHello);
    // The other data centres have entries of their own that receive the status of ranks from the agents.
    if (m_entries.isLoadSharedLocally(now)) {
        remoteHello.degraded.clear();
        remoteHello.loads = m_ownLoads;
        remoteHello.demands = m_ownDemands;
    }
    effects.push_back(SendHello { std::move(targets.remote), std::move(remoteHello) });
}

Snapshot ControlState::snapshot(TimePoint now) const
{
    Snapshot snapshot;
    snapshot.configuration = m_configuration;
    snapshot.servers = usableServers();
    for (auto& server : snapshot.servers)
        addLocalKnowledge(now, server);
    snapshot.self = m_entries.self();
    snapshot.entries = m_entries.alive(now);
    snapshot.leavers = m_entries.acceptingLeavers(now);
    if (m_isLeaving && m_acceptsUntil > now)
        snapshot.leavers.push_back({ m_entries.self().clients, m_entries.self().dataCentre, m_acceptsUntil });
    snapshot.localRoster = m_entries.localRoster(now);
    snapshot.maxEntries = std::max(m_minEntries, m_entries.peakEntryCount());
    snapshot.isReady = m_isReady;
    snapshot.servesWhileLeaving = m_servesWhileLeaving;
    snapshot.ranks = m_ranks.ranks();
    snapshot.peerDegradedRanks = m_ranks.peerDegradedRanks(now);
    for (auto& [dataCentre, reported] : m_remoteLoads) {
        for (auto& load : reported.loads) {
            if (reported.receivedAt + remoteLoadLifetime > now)
                snapshot.remoteLoads.push_back({ dataCentre, load });
        }
        for (auto& demand : reported.demands) {
            if (reported.receivedAt + remoteDemandLifetime > now)
                snapshot.remoteDemands.push_back({ dataCentre, demand, reported.receivedAt });
        }
    }
    snapshot.dataCentre = m_entries.self().dataCentre;
    snapshot.isLoadSharedLocally = m_entries.isLoadSharedLocally(now);
    return snapshot;
}

void ControlState::addLocalKnowledge(TimePoint now, BackendServer& server) const
{
    bool isLeaving = !m_departures.isEmpty() && m_departures.isLeaving(now, hashOf(server.incarnation()));
    if (isLeaving || m_evacuations.isEvacuated(server.dataCentre))
        server.state = ServerState::Draining;
    // The list may not show yet that the server has become cold during the evacuation.
    auto* service = m_configuration ? m_configuration->findService(server.service) : nullptr;
    if (auto endedAt = m_evacuations.endedAt(server.dataCentre); endedAt && service)
        server.coldUntil = std::max(server.coldUntil, *endedAt + service->coldTime);
}

std::optional<PublishedItems> ControlState::published(Topic topic) const
{
    if (topic == Topic::Configuration) {
        if (!m_configuration)
            return std::nullopt;
        return PublishedItems { { m_configurationItem }, m_configurationItem.revision };
    }
    if (!m_hasServers)
        return std::nullopt;
    PublishedItems items;
    items.asOf = knownServerPosition().revision;
    items.era = knownServerPosition().era;
    // Servers that expired during an outage of the store are published as long as this entry uses them.
    for (auto& server : m_servers.servers()) {
        auto it = m_serverItems.find(server.id.value());
        if (it != m_serverItems.end())
            items.items.push_back(it->second);
    }
    return items;
}

} // namespace swiftloft::gateway
