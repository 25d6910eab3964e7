#include "src/membership/detector.h"

#include <algorithm>
#include <utility>

// Part of the detector that sends direct and indirect pings and declares members suspect or dead.
namespace swiftloft::membership {

namespace {

constexpr std::size_t maxRelays = 256;
constexpr int maxNeighbourAttempts = 8;

} // namespace

void Detector::startProbe(TimePoint now)
{
    auto key = m_schedule.next(m_table, suspectDataCentre(), m_random);
    if (!key) {
        // Without an instance list, seeds are the only known peers.
        for (auto& seed : m_seeds)
            send(seed, makeMessage(MessageKind::Ping));
        return;
    }
    probe(*m_table.find(*key), now);
}

void Detector::probe(const MemberRecord& record, TimePoint now)
{
    auto nonce = m_random.next();
    m_probes[nonce] = PendingProbe { record.key, now, now + m_options.directTimeout };
    sendToMember(record, MessageKind::Ping, nonce);
}

// Members of a data centre often fail together, because a rack, a switch or the site fails. For each newly suspect
// member, one more member of its data centre is probed immediately. If they waited for their turns, the last of a
// hundred failed members would be detected only after about ten seconds. If only one member is dead, this costs one
// ping.
void Detector::probeNeighbour(const MemberRecord& suspect, TimePoint now)
{
    for (int i = 0; i < maxNeighbourAttempts; ++i) {
        auto* neighbour = m_table.pickRandom(suspect.locality, m_random);
        if (!neighbour || neighbour->health != Health::Alive || neighbour->listed->dataCentre != suspect.listed->dataCentre)
            continue;
        return probe(*neighbour, now);
    }
}

/// Returns a data centre of another region that has begun to miss probes but is not yet considered unreachable.
std::optional<DataCentreName> Detector::suspectDataCentre() const
{
    for (auto& [dataCentre, misses] : m_remoteMisses) {
        if (misses > 0 && misses < missesUntilUnreachable)
            return dataCentre;
    }
    return std::nullopt;
}

void Detector::expireProbes(TimePoint now)
{
    std::vector<PendingProbe> failedProbes;
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto& probe = it->second;
        if (now < probe.deadline) {
            ++it;
        } else if (!probe.isIndirect) {
            sendIndirectProbes(it->first, probe, now);
            ++it;
        } else {
            failedProbes.push_back(probe);
            it = m_probes.erase(it);
        }
    }
    std::erase_if(m_relays, [now](auto& it) { return now >= it.second.deadline; });
    for (auto& probe : failedProbes)
        onProbeFailed(probe, now);
}

// A one-way network fault between two nodes drops the ping or its reply although all others can reach the target. So
// other members ping the target on behalf of this node. One of them is in another data centre, because such faults
// often occur at the edge of a site.
void Detector::sendIndirectProbes(std::uint64_t nonce, PendingProbe& probe, TimePoint now)
{
    probe.isIndirect = true;
    probe.deadline = now + m_options.indirectTimeout;
    for (std::size_t i = 0; i < m_options.indirectProbes; ++i) {
        auto* relay = m_table.pickRandom(i == 0 ? Locality::SameRegion : Locality::SameDataCentre, m_random);
        if (!relay)
            relay = m_table.pickRandom(Locality::SameRegion, m_random);
        if (!relay)
            relay = m_table.pickRandom(Locality::Remote, m_random);
        if (!relay || relay->key == probe.target)
            continue;
        auto message = makeMessage(MessageKind::PingRequest);
        message.nonce = nonce;
        message.target = probe.target;
        send(relay->listed->peer, std::move(message));
    }
}

// A node that receives no messages (its inbound path is broken, or it is isolated) cannot tell which members are dead.
// It can still send, and its suspicions would make healthy members suspect everywhere. So a judgement made while
// nothing was received is not shared with peers.
void Detector::onProbeFailed(const PendingProbe& probe, TimePoint now)
{
    auto* record = m_table.find(probe.target);
    if (!record || m_isRefreshing)
        return;
    if (record->locality == Locality::Remote) {
        auto& misses = m_remoteMisses[record->listed->dataCentre];
        if (++misses == missesUntilUnreachable)
            m_isViewDirty = true;
        return;
    }
    auto hasReceivedAny = m_lastReceivedAt > probe.sentAt;
    if (record->health != Health::Alive)
        return;
    markSuspect(*record, !hasReceivedAny, now);
    probeNeighbour(*record, now);
}

void Detector::markSuspect(MemberRecord& record, bool isHealthLocal, TimePoint now)
{
    record.health = Health::Suspect;
    record.isHealthLocal = isHealthLocal;
    ++m_counters.suspicionsRaised;
    recordChange(record, Health::Alive, record.isLeaving(), now);
    if (!isHealthLocal)
        queueUpdate(record);
}

void Detector::expireSuspicions(TimePoint now)
{
    if (m_isRefreshing)
        return;
    auto keys = std::exchange(m_suspects, {});
    for (auto key : keys) {
        auto* record = m_table.find(key);
        if (!record || record->health != Health::Suspect)
            continue;
        if (now < record->suspicionDeadline) {
            m_suspects.push_back(key);
            continue;
        }
        record->health = Health::Dead;
        record->isHealthLocal = record->isHealthLocal || now - m_lastReceivedAt > isolationTimeout;
        ++m_counters.deathsDeclared;
        recordChange(*record, Health::Suspect, record->isLeaving(), now);
        if (!record->isHealthLocal)
            queueUpdate(*record);
    }
}

void Detector::replyToPing(const MessageReceived& event)
{
    // The ping may be meant for the previous instance at this address. After a reply, its sender would still consider
    // that instance alive.
    if (event.message.target != NodeKey() && event.message.target != m_key)
        return;
    auto* sender = m_table.find(event.message.from);
    auto ack = makeMessage(MessageKind::Ack);
    ack.nonce = event.message.nonce;
    if (sender && sender->health != Health::Alive && !sender->isHealthLocal)
        ack.updates.insert(ack.updates.begin(), sender->toUpdate());
    if (ack.updates.size() > maxUpdatesPerMessage)
        ack.updates.resize(maxUpdatesPerMessage);
    send(event.from, std::move(ack));
}

void Detector::onAck(const MessageReceived& event)
{
    auto& message = event.message;
    auto relay = m_relays.extract(message.nonce);
    if (!relay.empty()) {
        auto ack = makeMessage(MessageKind::Ack);
        ack.nonce = relay.mapped().originNonce;
        ack.target = message.from;
        if (auto* record = m_table.find(message.from)) {
            ack.updates.resize(std::min(ack.updates.size(), maxUpdatesPerMessage - 1));
            ack.updates.insert(ack.updates.begin(), record->toUpdate());
        }
        return send(relay.mapped().origin, std::move(ack));
    }
    auto it = m_probes.find(message.nonce);
    if (it == m_probes.end())
        return;
    auto target = it->second.target;
    auto isDirect = message.from == target;
    if (!isDirect && message.target != target)
        return;
    m_probes.erase(it);
    auto* record = m_table.find(target);
    if (!record)
        return;
    m_isViewDirty = m_isViewDirty || record->isDirectlyReachable != isDirect;
    record->isDirectlyReachable = isDirect;
    if (record->isHealthLocal) {
        record->isHealthLocal = false;
        record->health = Health::Alive;
        m_isViewDirty = true;
    }
}

void Detector::relayPing(const MessageReceived& event)
{
    auto* record = m_table.find(event.message.target);
    if (!record || m_relays.size() >= maxRelays)
        return;
    // Shows the requester that its messages arrive. Without this reply, the requester could not tell whether the target
    // is dead or the requester itself is isolated.
    send(event.from, makeMessage(MessageKind::Gossip));
    auto nonce = m_random.next();
    m_relays[nonce] = Relay { event.from, event.message.nonce, event.now + m_options.indirectTimeout };
    sendToMember(*record, MessageKind::Ping, nonce);
}

/// Sends a message to the member itself. If the member is suspect or dead, the message carries that state, so that the
/// member can refute it.
void Detector::sendToMember(const MemberRecord& record, MessageKind kind, std::uint64_t nonce)
{
    auto message = makeMessage(kind);
    message.nonce = nonce;
    message.target = record.key;
    if (record.health != Health::Alive && !record.isHealthLocal && record.incarnation) {
        message.updates.resize(std::min(message.updates.size(), maxUpdatesPerMessage - 1));
        message.updates.insert(message.updates.begin(), record.toUpdate());
    }
    send(record.listed->peer, std::move(message));
}

} // namespace swiftloft::membership
