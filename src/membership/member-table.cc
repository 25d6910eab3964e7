#include "src/membership/member-table.h"

#include <algorithm>

namespace swiftloft::membership {

namespace {

constexpr int maxPickAttempts = 6;

/// Returns the health to adopt from a peer's report. A reported death is only adopted as a suspicion, because this node
/// declares a death only after the member has had time to refute: otherwise, a peer that was isolated or paused could
/// make all nodes drop healthy members at the same time. The health of members of other regions is not tracked
/// individually: regions that lose contact would each consider thousands of members suspect and fill their datagrams
/// with updates.
Health acceptedHealth(const MemberRecord& record, Health reported)
{
    if (record.locality == Locality::Remote)
        return Health::Alive;
    return std::min(reported, Health::Suspect);
}

} // namespace

MemberUpdate MemberRecord::toUpdate() const
{
    MemberUpdate update;
    update.member = key;
    update.incarnation = incarnation.value_or(OrderedIncarnation {});
    update.sequence = sequence;
    update.health = isHealthLocal ? Health::Alive : health;
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

void MemberTable::applyList(const InstanceList& list)
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
    for (auto& it : list.leftOut) {
        auto* known = it.id ? find(keyOf(*it.id)) : nullptr;
        // A moved record belongs to an instance that the list names too.
        if (known && known->listed)
            records.push_back(std::move(*known));
    }
    std::sort(records.begin(), records.end(), [](auto& a, auto& b) { return a.listed->id < b.listed->id; });
    auto isSameId = [](auto& a, auto& b) { return a.listed->id == b.listed->id; };
    records.erase(std::unique(records.begin(), records.end(), isSameId), records.end());
    m_records = std::move(records);
    rebuildIndex();
}

void MemberTable::rebuildIndex()
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
    // An update without an incarnation comes from a node that does not know the member's incarnation yet. It applies to
    // the current incarnation.
    if (update.incarnation == OrderedIncarnation {} || record->incarnation == update.incarnation)
        return mergeSameIncarnation(*record, update);
    if (record->incarnation && update.incarnation < *record->incarnation)
        return MergeResult::Outdated;
    // A new incarnation does not inherit the suspicion or the leaving mark of the previous one. A mark that was set
    // before any incarnation was known is kept. `isLeaving` also takes the state in the instance list into account.
    auto keepsLeavingMark = !record->incarnation && record->isMarkedLeaving;
    record->incarnation = update.incarnation;
    record->sequence = update.sequence;
    record->isMarkedLeaving = update.isLeaving || keepsLeavingMark;
    record->health = acceptedHealth(*record, update.health);
    record->isHealthLocal = false;
    return MergeResult::Changed;
}

MergeResult MemberTable::mergeSameIncarnation(MemberRecord& record, const MemberUpdate& update)
{
    auto result = MergeResult::Unchanged;
    if (update.isLeaving && !record.isMarkedLeaving) {
        record.isMarkedLeaving = true;
        result = MergeResult::Changed;
    }
    auto isSenderOutdated = record.isMarkedLeaving && !update.isLeaving;
    auto health = acceptedHealth(record, update.health);
    if (update.sequence > record.sequence) {
        if (health != record.health)
            result = MergeResult::Changed;
        record.sequence = update.sequence;
        record.health = health;
        record.isHealthLocal = false;
    } else if (update.sequence < record.sequence) {
        isSenderOutdated = isSenderOutdated || health != Health::Alive;
    } else if (health > record.health) {
        record.health = health;
        record.isHealthLocal = false;
        result = MergeResult::Changed;
    }
    if (result == MergeResult::Unchanged && isSenderOutdated)
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

const MemberRecord* MemberTable::pickRandom(Locality locality, Random& random) const
{
    auto& keys = others(locality);
    if (keys.empty())
        return nullptr;
    for (int i = 0; i < maxPickAttempts; ++i) {
        auto* record = find(keys[random.below(keys.size())]);
        if (record->health != Health::Dead)
            return record;
    }
    return nullptr;
}

std::size_t MemberTable::memoryBytes() const
{
    constexpr std::size_t indexNodeBytes = 40;
    constexpr std::size_t listedRowBytes = sizeof(ListedInstance) + 16;
    auto bytes = m_records.capacity() * sizeof(MemberRecord) + m_index.size() * indexNodeBytes + m_index.bucket_count() * sizeof(void*);
    for (auto& keys : m_byLocality)
        bytes += keys.capacity() * sizeof(NodeKey);
    return bytes + m_records.size() * listedRowBytes;
}

} // namespace swiftloft::membership
