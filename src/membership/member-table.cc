#include "src/membership/member-table.h"

#include <algorithm>

namespace swiftloft::membership {

namespace {

constexpr int pickAttempts = 6;

/// The health to take from a peer's word. A death is only ever declared here, after the member has had its time to
/// refute: a peer that was cut off or stood still would otherwise get healthy members dropped everywhere at once. And
/// the health of members of other regions is not followed one by one: regions that lose each other would each hold
/// thousands suspect and fill their datagrams with it.
Health hearsay(const MemberRecord& record, Health said)
{
    if (record.locality == Locality::Remote)
        return Health::Alive;
    return std::min(said, Health::Suspect);
}

} // namespace

MemberUpdate MemberRecord::update() const
{
    MemberUpdate update;
    update.member = key;
    update.life = life.value_or(Life {});
    update.sequence = sequence;
    update.health = isLocalMark ? Health::Alive : health;
    update.isLeaving = isLeaving();
    return update;
}

MemberTable::MemberTable(NodeKey self, DataCentreName dataCentre, Topology topology)
    : m_self(self)
    , m_dataCentre(std::move(dataCentre))
    , m_topology(std::move(topology))
{
}

Locality MemberTable::localityOf(const DataCentreName& dataCentre) const
{
    if (dataCentre == m_dataCentre)
        return Locality::SameDataCentre;
    return m_topology.isSameRegion(dataCentre, m_dataCentre) ? Locality::SameRegion : Locality::Remote;
}

void MemberTable::take(const InstanceList& list)
{
    std::vector<MemberRecord> records;
    records.reserve(list.instances.size());
    for (auto& it : list.instances) {
        auto key = keyOf(it.id);
        auto* known = find(key);
        MemberRecord record = known ? std::move(*known) : MemberRecord {};
        record.key = key;
        if (!record.listed || *record.listed != it)
            record.listed = std::make_shared<const ListedInstance>(it);
        record.locality = localityOf(it.dataCentre);
        records.push_back(std::move(record));
    }
    std::sort(records.begin(), records.end(), [](auto& a, auto& b) { return a.listed->id < b.listed->id; });
    auto isSameId = [](auto& a, auto& b) { return a.listed->id == b.listed->id; };
    records.erase(std::unique(records.begin(), records.end(), isSameId), records.end());
    m_records = std::move(records);
    index();
}

void MemberTable::index()
{
    m_index.clear();
    for (auto& keys : m_byLocality)
        keys.clear();
    for (std::size_t i = 0; i < m_records.size(); ++i) {
        m_index[m_records[i].key] = i;
        if (m_records[i].key != m_self)
            m_byLocality[static_cast<std::size_t>(m_records[i].locality)].push_back(m_records[i].key);
    }
}

MergeResult MemberTable::merge(const MemberUpdate& update)
{
    auto* record = find(update.member);
    if (!record)
        return MergeResult::Unchanged;
    // A suspicion by a node that had not learned of the life yet is about whichever is the present one.
    if (update.life == Life {} || record->life == update.life)
        return mergeSameLife(*record, update);
    if (record->life && update.life < *record->life)
        return MergeResult::Outdated;
    // A later life owes nothing to the one before: neither its suspicions nor its leaving mark. What the list says of
    // the instance still holds, see `isLeaving`.
    auto keepsMark = !record->life && record->hasSaidLeaving;
    record->life = update.life;
    record->sequence = update.sequence;
    record->hasSaidLeaving = update.isLeaving || keepsMark;
    record->health = hearsay(*record, update.health);
    record->isLocalMark = false;
    return MergeResult::Changed;
}

MergeResult MemberTable::mergeSameLife(MemberRecord& record, const MemberUpdate& update)
{
    auto result = MergeResult::Unchanged;
    if (update.isLeaving && !record.hasSaidLeaving) {
        record.hasSaidLeaving = true;
        result = MergeResult::Changed;
    }
    auto knowsBetter = record.hasSaidLeaving && !update.isLeaving;
    auto health = hearsay(record, update.health);
    if (update.sequence > record.sequence) {
        if (health != record.health)
            result = MergeResult::Changed;
        record.sequence = update.sequence;
        record.health = health;
        record.isLocalMark = false;
    } else if (update.sequence < record.sequence) {
        knowsBetter = knowsBetter || health != Health::Alive;
    } else if (health > record.health) {
        record.health = health;
        record.isLocalMark = false;
        result = MergeResult::Changed;
    }
    if (result == MergeResult::Unchanged && knowsBetter)
        return MergeResult::Outdated;
    return result;
}

MemberRecord* MemberTable::find(NodeKey key)
{
    auto it = m_index.find(key);
    return it == m_index.end() ? nullptr : &m_records[it->second];
}

const MemberRecord* MemberTable::find(NodeKey key) const
{
    auto it = m_index.find(key);
    return it == m_index.end() ? nullptr : &m_records[it->second];
}

std::size_t MemberTable::otherCount() const
{
    std::size_t n = 0;
    for (auto& keys : m_byLocality)
        n += keys.size();
    return n;
}

const MemberRecord* MemberTable::pick(Locality locality, Random& random) const
{
    auto& keys = others(locality);
    if (keys.empty())
        return nullptr;
    for (int i = 0; i < pickAttempts; ++i) {
        auto* record = find(keys[random.below(keys.size())]);
        if (record->health != Health::Dead)
            return record;
    }
    return nullptr;
}

std::size_t MemberTable::memoryBytes() const
{
    constexpr std::size_t indexNode = 40;
    constexpr std::size_t listedRow = sizeof(ListedInstance) + 16;
    auto bytes = m_records.capacity() * sizeof(MemberRecord) + m_index.size() * indexNode + m_index.bucket_count() * sizeof(void*);
    for (auto& keys : m_byLocality)
        bytes += keys.capacity() * sizeof(NodeKey);
    return bytes + m_records.size() * listedRow;
}

} // namespace swiftloft::membership
