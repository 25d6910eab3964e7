#include "src/membership/detector.h"

#include <algorithm>
#include <utility>

// The probing half of the detector: pings, pings for others, suspicion and death.
namespace swiftloft::membership {

namespace {

constexpr std::size_t maxRelays = 256;
constexpr int maxNeighbourAttempts = 8;

} // namespace

void Detector::startProbe(TimePoint now)
{
    auto key = m_schedule.next(m_table, suspectDataCentre(), m_random);
    if (!key) {
        // No list yet: seeds are the only way to learn of anybody.
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

// What takes one member of a data centre often takes its neighbours: a rack, a switch, the site. One more of them is
// probed at once for each that is newly suspect; were they left to their turns, the last of a hundred would be found
// after some ten seconds. With one member dead this is one ping.
void Detector::probeNeighbour(const MemberRecord& suspect, TimePoint now)
{
    for (int i = 0; i < maxNeighbourAttempts; ++i) {
        auto* neighbour = m_table.pickRandom(suspect.locality, m_random);
        if (!neighbour || neighbour->health != Health::Alive || neighbour->listed->dataCentre != suspect.listed->dataCentre)
            continue;
        return probe(*neighbour, now);
    }
}

/// A data centre of another region that has begun to miss probes and is not yet held unreachable.
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

// A one-way cut between two nodes makes the ping or its answer vanish although the target serves everybody else. Other
// members ping it from where they stand; one of them in another data centre, since a cut often follows a site's edge.
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

// A node that hears nobody (its inbound path is cut, or it is alone) can't tell who is dead. It still sends, and what it
// sent would make healthy members suspect everywhere. So a judgement made while nothing was heard stays local.
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
    // The address may have passed to another instance: an answer would keep the old one alive.
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
    // Says that this node hears the asker: without it, an asker whose target is dead could not tell that from being
    // cut off itself.
    send(event.from, makeMessage(MessageKind::Gossip));
    auto nonce = m_random.next();
    m_relays[nonce] = Relay { event.from, event.message.nonce, event.now + m_options.indirectTimeout };
    sendToMember(*record, MessageKind::Ping, nonce);
}

/// Sends to the member itself; it is told if it is held suspect or dead, so that it can refute.
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
