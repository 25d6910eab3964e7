#include "src/membership/detector.h"

#include <algorithm>

// The news half of the detector: what senders and their updates say, and what is told them in return.
namespace swiftloft::membership {

namespace {

constexpr std::size_t syncMessages = 4;
constexpr milliseconds revivalInterval { 200 };

} // namespace

void Detector::mergeSender(const MessageArrived& event)
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
    update.life = message.life;
    update.sequence = message.sequence;
    update.isLeaving = message.isLeaving;
    std::vector<MemberUpdate> corrections;
    mergeOne(update, event.now, corrections);
}

// After a partition each side holds the other dead, and by then nobody passes that on any more: a member learns of it
// only when somebody probes it, and refutes. Who hears from a dead member tells it at once, with others of its data
// centre, and they pass the word on among themselves.
void Detector::tellRevived(const MessageArrived& event)
{
    auto* sender = m_table.find(event.message.from);
    if (!sender || sender->health != Health::Dead || sender->isLocalMark || event.now < m_nextRevival)
        return;
    m_nextRevival = event.now + revivalInterval;
    auto news = makeMessage(MessageKind::News);
    news.updates = { sender->update() };
    std::vector<MemberUpdate> dead;
    for (auto& record : m_table.records()) {
        if (record.health == Health::Dead && !record.isLocalMark && record.life && record.listed->dataCentre == sender->listed->dataCentre)
            dead.push_back(record.update());
    }
    m_random.shuffle(dead);
    auto n = std::min(dead.size(), maxUpdatesPerMessage - news.updates.size());
    news.updates.insert(news.updates.end(), dead.begin(), dead.begin() + static_cast<std::ptrdiff_t>(n));
    send(event.from, std::move(news));
}

void Detector::mergeUpdates(const MessageArrived& event)
{
    auto isSyncAnswer = event.message.kind == MessageKind::News && event.message.nonce != 0 && event.message.nonce == m_syncNonce;
    std::vector<MemberUpdate> corrections;
    for (auto& update : event.message.updates) {
        // Datagrams that lay in the socket during a pause hold judgements that may long be refuted.
        if (m_isRefreshing && !isSyncAnswer && update.health != Health::Alive && !update.isLeaving && update.member != m_key)
            continue;
        if (update.member == m_key)
            hearOfSelf(update);
        else
            mergeOne(update, event.now, corrections);
    }
    if (corrections.empty())
        return;
    Message message = makeMessage(MessageKind::News);
    corrections.resize(std::min(corrections.size(), maxUpdatesPerMessage));
    message.updates = std::move(corrections);
    send(event.from, std::move(message));
}

void Detector::mergeOne(const MemberUpdate& update, TimePoint now, std::vector<MemberUpdate>& corrections)
{
    auto* record = m_table.find(update.member);
    if (!record)
        return;
    auto healthBefore = record->health;
    auto wasLeaving = record->isLeaving();
    auto wasUnknown = !record->life;
    auto isNewLife = record->life != update.life;
    switch (m_table.merge(update)) {
    case MergeResult::Outdated:
        corrections.push_back(record->update());
        return;
    case MergeResult::Unchanged:
        return;
    case MergeResult::Changed:
        break;
    }
    if (healthBefore != Health::Alive && record->health == Health::Alive && !isNewLife)
        ++(healthBefore == Health::Dead ? m_counters.deathsRefuted : m_counters.suspicionsRefuted);
    noteChange(*record, healthBefore, wasLeaving, now);
    // Learning of a life for the first time is no news to others: passing it on would make each start of a node fill
    // the datagrams of the fleet with what most know.
    if (!wasUnknown || record->health != Health::Alive || record->isLeaving())
        queue(*record);
}

// Others may hold this process suspect or dead (it was cut off or paused), hold an earlier process at this id as the
// living one, or have learned sooner than itself that it is leaving.
void Detector::hearOfSelf(const MemberUpdate& update)
{
    if (update.life > m_life) {
        auto* listed = m_table.find(m_key);
        if (listed && listed->listed->peer != m_self.peer) {
            // Another process has taken this id elsewhere. Raising the generation would make the two push each other
            // out for ever, and callers would go to the old one.
            m_isSuperseded = true;
            return becomeLeaving();
        }
        m_life.generation = update.life.generation + 1;
        return queueSelf();
    }
    if (update.life != m_life && update.life != Life {})
        return;
    if (update.isLeaving && !m_isLeaving)
        becomeLeaving();
    if (update.health != Health::Alive && update.sequence >= m_sequence) {
        m_sequence = update.sequence + 1;
        ++m_counters.selfRefutations;
        queueSelf();
    }
}

void Detector::answerSync(const MessageArrived& event)
{
    if (m_isRefreshing)
        return;
    std::vector<MemberUpdate> updates;
    for (auto& record : m_table.records()) {
        if (record.life && (record.update().health != Health::Alive || record.hasSaidLeaving))
            updates.push_back(record.update());
    }
    m_random.shuffle(updates);
    for (std::size_t i = 0; i < syncMessages; ++i) {
        auto message = makeMessage(MessageKind::News);
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
