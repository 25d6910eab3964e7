#include "src/membership/detector.h"

#include <algorithm>

// Part of the detector that merges the state of senders and their updates, and replies with corrections.
namespace swiftloft::membership {

namespace {

constexpr std::size_t maxSyncMessages = 4;
constexpr milliseconds revivalNoticeInterval { 200 };

} // namespace

void Detector::mergeSender(const MessageReceived& event)
{
    auto& message = event.message;
    auto* record = m_table.find(message.from);
    if (!record)
        return addSeed(event.from);
    if (record->locality == Locality::Remote) {
        auto& misses = m_remoteMisses[record->listed->dataCentre];
        m_isViewDirty = m_isViewDirty || misses >= missesUntilUnreachable;
        misses = 0;
    }
    MemberUpdate update;
    update.member = message.from;
    update.incarnation = message.incarnation;
    update.sequence = message.sequence;
    update.isLeaving = message.isLeaving;
    std::vector<MemberUpdate> corrections;
    mergeUpdate(update, event.now, corrections);
}

// After a partition, each side considers the other dead, but no longer gossips these deaths: a member would learn of
// its death, and refute it, only when it is probed. So a node that receives a message from a dead member immediately
// notifies that member of its own death and of the deaths of other members of its data centre. The member refutes its
// own death and gossips the other deaths on its side, so that those members can refute them too.
void Detector::notifyRevivedMember(const MessageReceived& event)
{
    auto* sender = m_table.find(event.message.from);
    if (!sender || sender->health != Health::Dead || sender->isHealthLocal || event.now < m_nextRevivalNotice)
        return;
    m_nextRevivalNotice = event.now + revivalNoticeInterval;
    auto message = makeMessage(MessageKind::Gossip);
    message.updates = { sender->toUpdate() };
    std::vector<MemberUpdate> deadUpdates;
    for (auto& record : m_table.records()) {
        if (record.health == Health::Dead && !record.isHealthLocal && record.incarnation && record.listed->dataCentre == sender->listed->dataCentre)
            deadUpdates.push_back(record.toUpdate());
    }
    m_random.shuffle(deadUpdates);
    auto n = std::min(deadUpdates.size(), maxUpdatesPerMessage - message.updates.size());
    message.updates.insert(message.updates.end(), deadUpdates.begin(), deadUpdates.begin() + static_cast<std::ptrdiff_t>(n));
    send(event.from, std::move(message));
}

void Detector::mergeUpdates(const MessageReceived& event)
{
    auto isSyncReply = event.message.kind == MessageKind::Gossip && event.message.nonce != 0 && event.message.nonce == m_syncNonce;
    std::vector<MemberUpdate> corrections;
    for (auto& update : event.message.updates) {
        // Datagrams that were queued in the socket during a pause may contain judgements that have since been refuted.
        if (m_isRefreshing && !isSyncReply && update.health != Health::Alive && !update.isLeaving && update.member != m_key)
            continue;
        if (update.member == m_key)
            onSelfUpdate(update);
        else
            mergeUpdate(update, event.now, corrections);
    }
    if (corrections.empty())
        return;
    Message message = makeMessage(MessageKind::Gossip);
    corrections.resize(std::min(corrections.size(), maxUpdatesPerMessage));
    message.updates = std::move(corrections);
    send(event.from, std::move(message));
}

void Detector::mergeUpdate(const MemberUpdate& update, TimePoint now, std::vector<MemberUpdate>& corrections)
{
    auto* record = m_table.find(update.member);
    if (!record)
        return;
    auto healthBefore = record->health;
    auto wasLeaving = record->isLeaving();
    auto wasUnknown = !record->incarnation;
    auto isNewIncarnation = record->incarnation != update.incarnation;
    switch (m_table.merge(update)) {
    case MergeResult::Outdated:
        corrections.push_back(record->toUpdate());
        return;
    case MergeResult::Unchanged:
        return;
    case MergeResult::Changed:
        break;
    }
    if (healthBefore != Health::Alive && record->health == Health::Alive && !isNewIncarnation)
        ++(healthBefore == Health::Dead ? m_counters.deathsRefuted : m_counters.suspicionsRefuted);
    recordChange(*record, healthBefore, wasLeaving, now);
    // An incarnation seen for the first time is not gossiped: otherwise, each start of a node would fill the datagrams
    // of the fleet with information that most nodes already have.
    if (!wasUnknown || record->health != Health::Alive || record->isLeaving())
        queueUpdate(*record);
}

// Peers may consider this process suspect or dead (after a network fault or a pause), may know an earlier process with
// this id as the current one, or may have learned before this process that it is leaving.
void Detector::onSelfUpdate(const MemberUpdate& update)
{
    if (update.incarnation > m_incarnation) {
        auto* listed = m_table.find(m_key);
        if (listed && listed->listed->peer != m_self.peer) {
            // Another process at another address has taken over this id. If this process raised its generation, the two
            // would keep replacing each other forever, and clients would be sent to the old process.
            m_isSuperseded = true;
            return startLeaving();
        }
        m_incarnation.generation = update.incarnation.generation + 1;
        return queueSelfUpdate();
    }
    if (update.incarnation != m_incarnation && update.incarnation != OrderedIncarnation {})
        return;
    if (update.isLeaving && !m_isLeaving)
        startLeaving();
    if (update.health != Health::Alive && update.sequence >= m_sequence) {
        m_sequence = update.sequence + 1;
        ++m_counters.selfRefutations;
        queueSelfUpdate();
    }
}

void Detector::replyToSync(const MessageReceived& event)
{
    if (m_isRefreshing)
        return;
    std::vector<MemberUpdate> updates;
    for (auto& record : m_table.records()) {
        if (record.incarnation && (record.toUpdate().health != Health::Alive || record.isMarkedLeaving))
            updates.push_back(record.toUpdate());
    }
    m_random.shuffle(updates);
    for (std::size_t i = 0; i < maxSyncMessages; ++i) {
        auto message = makeMessage(MessageKind::Gossip);
        message.nonce = event.message.nonce;
        auto n = std::min(updates.size(), maxUpdatesPerMessage);
        if (i == 0 || n > 0)
            message.updates.assign(updates.end() - static_cast<std::ptrdiff_t>(n), updates.end());
        updates.resize(updates.size() - n);
        send(event.from, std::move(message));
        if (updates.empty())
            return;
    }
}

} // namespace swiftloft::membership
