#pragma once

#include <swiftloft/membership/message.h>
#include <swiftloft/membership/view.h>

#include "src/membership/random.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace swiftloft::membership {

/// How far a member is from this node.
enum class Locality : std::uint8_t {
    SameDataCentre,
    SameRegion,
    Remote,
};

/// What this node holds of one listed member.
struct MemberRecord {
    NodeKey key;
    std::shared_ptr<const ListedInstance> listed;
    Locality locality { Locality::Remote };
    std::optional<OrderedIncarnation> incarnation;
    std::uint32_t sequence { 0 };
    Health health { Health::Alive };
    bool isMarkedLeaving { false }; ///< Said of its present life by itself, a peer or the list.
    bool isDirectlyReachable { true };
    bool isHealthLocal { false }; ///< Its health was judged while nobody could be heard; never passed on.
    TimePoint suspicionDeadline; ///< While suspect: when it is declared dead.

    bool isLeaving() const { return isMarkedLeaving || listed->state == ListedState::Leaving; }
    MemberUpdate toUpdate() const;
};

enum class MergeResult {
    Unchanged,
    Changed,
    Outdated, ///< The table knows better; the sender should hear so.
};

/// The members that the published list names, with what probes and peers say of them.
class MemberTable {
public:
    MemberTable(NodeKey self, DataCentreName dataCentre, Topology topology);

    /// Takes a list. What is known of a member stays as long as the list names it.
    void applyList(const InstanceList& list);
    /// Joins what a peer says to the table. Ranks by life, then sequence, then the worse health; a leaving mark stays
    /// for the rest of a life.
    MergeResult merge(const MemberUpdate& update);

    MemberRecord* find(NodeKey key);
    const MemberRecord* find(NodeKey key) const;
    std::vector<MemberRecord>& records() { return m_records; }
    const std::vector<MemberRecord>& records() const { return m_records; }

    /// Keys of the other members at a distance.
    const std::vector<NodeKey>& others(Locality locality) const { return m_byLocality[static_cast<std::size_t>(locality)]; }
    std::size_t otherCount() const;

    /// A random other member at that distance that is not dead, or none.
    const MemberRecord* pickRandom(Locality locality, Random& random) const;

    const Topology& topology() const { return m_topology; }
    std::size_t memoryBytes() const;

private:
    static constexpr std::size_t localityCount = 3;

    Locality localityOf(const DataCentreName& dataCentre) const;
    void rebuildIndex();
    MergeResult mergeSameIncarnation(MemberRecord& record, const MemberUpdate& update);

    NodeKey m_self;
    DataCentreName m_dataCentre;
    Topology m_topology;
    std::vector<MemberRecord> m_records; ///< Ordered by id.
    std::unordered_map<NodeKey, std::size_t> m_index;
    std::vector<NodeKey> m_byLocality[localityCount];
};

} // namespace swiftloft::membership
