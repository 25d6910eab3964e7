#include "src/membership/detector.h"

#include <algorithm>

namespace swiftloft::membership {

namespace {

constexpr std::size_t maxSeeds = 8;
constexpr std::size_t syncPeers = 3;
constexpr milliseconds syncInterval { 1000 };
constexpr double probeJitter = 0.1;
/// Cumulative shares of the peers returned by `pickPeers`: those in this data centre, and those in this region
/// including this data centre. The rest are in other regions.
constexpr double localShare = 0.5;
constexpr double localAndRegionShare = 0.85;

} // namespace

Detector::Detector(ListedInstance self, OrderedIncarnation incarnation, Topology topology, DetectorOptions options, std::uint64_t seed)
    : m_self(std::move(self))
    , m_key(keyOf(m_self.id))
    , m_incarnation(incarnation)
    , m_options(options)
    , m_random(seed)
    , m_table(m_key, m_self.dataCentre, std::move(topology))
{
    queueSelfUpdate();
}

void Detector::step(const DetectorEvent& event, DetectorEffects& effects)
{
    m_effects = &effects;
    std::visit([this](const auto& it) {
        detectPause(it.now);
        on(it);
    },
        event);
    if (m_hasUrgentUpdate)
        sendGossip(m_options.relayFanout);
    m_hasUrgentUpdate = false;
    if (m_isViewDirty && m_view) {
        m_view.reset();
        effects.emplace_back(ViewChanged {});
    }
    m_effects = nullptr;
}

// A process that was paused (stopped, swapped out or starved of CPU time) resumes with probes that seem unanswered and
// suspicions that seem unrefuted. It would declare live members dead and gossip these deaths. Ticks come several times
// a second, so a long gap between two events reveals the pause. All pending judgements are then dropped, and no new
// ones are made until peers have reported what happened in the meantime.
void Detector::detectPause(TimePoint now)
{
    auto gap = now - m_lastEventAt;
    auto isFirst = m_lastEventAt == TimePoint();
    m_lastEventAt = now;
    if (isFirst) {
        m_lastReceivedAt = now;
        return;
    }
    if (gap <= m_options.pauseThreshold)
        return;
    ++m_counters.pausesDetected;
    m_effects->emplace_back(PauseDetected { std::chrono::duration_cast<milliseconds>(gap) });
    m_isRefreshing = true;
    m_resumedAt = now;
    m_lastReceivedAt = now;
    m_syncReplies = 0;
    m_probes.clear();
    m_relays.clear();
    m_queue.dropHealthUpdates();
    requestSync(now);
}

void Detector::requestSync(TimePoint now)
{
    m_syncNonce = m_random.next();
    m_nextSync = now + syncInterval;
    for (auto& peer : pickPeers(syncPeers)) {
        auto message = makeMessage(MessageKind::SyncRequest);
        message.nonce = m_syncNonce;
        send(peer, std::move(message));
    }
}

void Detector::endRefresh(TimePoint now)
{
    m_isRefreshing = false;
    for (auto key : m_suspects) {
        if (auto* record = m_table.find(key))
            record->suspicionDeadline = now + m_options.suspicionTimeout;
    }
}

void Detector::on(const Tick& event)
{
    auto now = event.now;
    if (m_isRefreshing) {
        auto requiredReplies = std::min<std::size_t>(2, m_table.otherCount());
        if (m_syncReplies >= requiredReplies || now >= m_resumedAt + m_options.refreshTimeout)
            endRefresh(now);
        else if (now >= m_nextSync)
            requestSync(now);
    }
    expireProbes(now);
    expireSuspicions(now);
    gossipIfDue(now);
    if (now >= m_nextProbe) {
        startProbe(now);
        auto jitter = 1.0 + probeJitter * (2.0 * m_random.unit() - 1.0);
        m_nextProbe = now + std::chrono::duration_cast<Clock::duration>(m_options.probeInterval * jitter);
    }
}

void Detector::resetLocalHealth()
{
    for (auto& record : m_table.records()) {
        if (!record.isHealthLocal)
            continue;
        record.isHealthLocal = false;
        record.health = Health::Alive;
        m_isViewDirty = true;
    }
}

// Probes alone spread updates too slowly if a whole data centre is lost and there are many updates. So updates that
// have not been sent often are sent to one more peer several times a second, which stays within the budget for control
// traffic.
void Detector::gossipIfDue(TimePoint now)
{
    if (now < m_nextGossip || !m_queue.hasFreshUpdates())
        return;
    m_nextGossip = now + m_options.gossipInterval;
    sendGossip(1);
}

void Detector::on(const InstanceListReceived& event)
{
    std::vector<NodeKey> leavingBefore;
    for (auto& record : m_table.records()) {
        if (record.isLeaving())
            leavingBefore.push_back(record.key);
    }
    std::sort(leavingBefore.begin(), leavingBefore.end());
    m_table.applyList(*event.list);
    m_listRevision = event.list->revision;
    m_schedule.reset();
    m_queue.setFleetSize(m_table.otherCount() + 1);
    m_isViewDirty = true;
    for (auto& record : m_table.records()) {
        if (record.listed->state != ListedState::Leaving)
            continue;
        // The mark is kept for this incarnation even if a later list, read from another replica, reports the member as
        // live.
        record.isMarkedLeaving = true;
        if (record.key == m_key) {
            startLeaving();
        } else if (!std::binary_search(leavingBefore.begin(), leavingBefore.end(), record.key)) {
            recordChange(record, record.health, false, event.now);
            queueUpdate(record);
        }
    }
}

void Detector::on(const LeaveRequested&)
{
    startLeaving();
}

void Detector::startLeaving()
{
    if (m_isLeaving)
        return;
    m_isLeaving = true;
    ++m_sequence;
    m_isViewDirty = true;
    queueSelfUpdate();
    sendGossip(m_options.leavingFanout);
    m_effects->emplace_back(SelfLeaving {});
}

void Detector::on(const MessageReceived& event)
{
    auto& message = event.message;
    if (message.from == m_key)
        return;
    auto wasIsolated = event.now - m_lastReceivedAt > isolationTimeout;
    m_lastReceivedAt = event.now;
    if (wasIsolated)
        resetLocalHealth();
    mergeSender(event);
    notifyRevivedMember(event);
    if (message.kind == MessageKind::Gossip && m_isRefreshing && message.nonce == m_syncNonce)
        ++m_syncReplies;
    mergeUpdates(event);
    switch (message.kind) {
    case MessageKind::Ping:
        return replyToPing(event);
    case MessageKind::Ack:
        return onAck(event);
    case MessageKind::PingRequest:
        return relayPing(event);
    case MessageKind::SyncRequest:
        return replyToSync(event);
    case MessageKind::Gossip:
    case MessageKind::Note:
        return;
    }
}

void Detector::recordChange(const MemberRecord& record, Health healthBefore, bool wasLeaving, TimePoint now)
{
    m_isViewDirty = true;
    if (record.health == Health::Suspect && healthBefore != Health::Suspect) {
        m_table.find(record.key)->suspicionDeadline = now + m_options.suspicionTimeout;
        m_suspects.push_back(record.key);
    }
    auto hasBegunLeaving = record.isLeaving() && !wasLeaving;
    // Callers send to a leaving member until they learn that it is leaving, so the update is sent immediately.
    m_hasUrgentUpdate = m_hasUrgentUpdate || hasBegunLeaving;
    if (hasBegunLeaving || record.health != healthBefore)
        m_effects->emplace_back(MemberChanged { record.listed->id, record.health, record.isLeaving() });
}

void Detector::queueUpdate(const MemberRecord& record)
{
    // A leaving mark without an incarnation could be applied to the next process with this id, and the instance list
    // distributes such a mark anyway. A suspicion may be sent without an incarnation, because the member can refute it.
    auto update = record.toUpdate();
    update.isLeaving = update.isLeaving && record.incarnation;
    if (record.incarnation || update.health != Health::Alive)
        m_queue.push(update);
}

void Detector::queueSelfUpdate()
{
    MemberUpdate update;
    update.member = m_key;
    update.incarnation = m_incarnation;
    update.sequence = m_sequence;
    update.isLeaving = m_isLeaving;
    m_queue.push(update);
}

void Detector::sendGossip(std::size_t fanout)
{
    for (auto& peer : pickPeers(fanout))
        send(peer, makeMessage(MessageKind::Gossip));
}

void Detector::send(const PeerAddress& to, Message message)
{
    m_effects->emplace_back(SendMessage { to, std::move(message) });
}

Message Detector::makeMessage(MessageKind kind)
{
    Message message;
    message.kind = kind;
    message.from = m_key;
    message.incarnation = m_incarnation;
    message.sequence = m_sequence;
    message.isLeaving = m_isLeaving;
    message.updates = m_queue.take(maxUpdatesPerMessage);
    return message;
}

std::vector<PeerAddress> Detector::pickPeers(std::size_t maxCount)
{
    std::vector<PeerAddress> peers;
    auto add = [&](const PeerAddress& peer) {
        if (peer != m_self.peer && std::find(peers.begin(), peers.end(), peer) == peers.end())
            peers.push_back(peer);
    };
    if (m_table.otherCount() == 0) {
        for (auto& seed : m_seeds)
            add(seed);
        peers.resize(std::min(peers.size(), maxCount));
        return peers;
    }
    constexpr std::size_t attemptsPerPeer = 4;
    for (std::size_t i = 0; i < maxCount * attemptsPerPeer && peers.size() < maxCount; ++i) {
        auto share = m_random.unit();
        auto locality = share < localShare ? Locality::SameDataCentre : share < localAndRegionShare ? Locality::SameRegion
                                                                                                    : Locality::Remote;
        if (auto* record = m_table.pickRandom(locality, m_random))
            add(record->listed->peer);
    }
    return peers;
}

void Detector::addSeed(const PeerAddress& peer)
{
    if (m_seeds.size() < maxSeeds && std::find(m_seeds.begin(), m_seeds.end(), peer) == m_seeds.end())
        m_seeds.push_back(peer);
}

bool Detector::isDataCentreReachable(const DataCentreName& dataCentre) const
{
    auto it = m_remoteMisses.find(dataCentre);
    return it == m_remoteMisses.end() || it->second < missesUntilUnreachable;
}

std::shared_ptr<const View> Detector::view()
{
    if (m_view && !m_isViewDirty)
        return m_view;
    auto view = std::make_shared<View>();
    view->listRevision = m_listRevision;
    view->topology = m_table.topology();
    view->members.reserve(m_table.records().size());
    for (auto& record : m_table.records()) {
        ViewMember member;
        member.listed = record.listed;
        member.health = record.health;
        member.isLeaving = record.isLeaving();
        member.isDirectlyReachable = record.isDirectlyReachable;
        if (record.incarnation)
            member.incarnation = record.incarnation->id;
        if (record.key == m_key) {
            member.health = Health::Alive;
            member.incarnation = m_incarnation.id;
            member.isLeaving = member.isLeaving || m_isLeaving;
        } else if (record.locality == Locality::Remote && !isDataCentreReachable(record.listed->dataCentre)) {
            member.health = Health::Dead;
        }
        view->members.push_back(std::move(member));
    }
    m_view = view;
    m_isViewDirty = false;
    return m_view;
}

std::size_t Detector::memoryBytes() const
{
    constexpr std::size_t viewsHeld = 2;
    return m_table.memoryBytes() + viewsHeld * m_table.records().size() * sizeof(ViewMember);
}

} // namespace swiftloft::membership
