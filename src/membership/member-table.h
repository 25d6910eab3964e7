#pragma once

#include <swiftloft/membership/message.h>
#include <swiftloft/membership/view.h>

#include "src/membership/random.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace swiftloft::membership {

/// Distance between a member and this node.
enum class Locality : std::uint8_t {
    SameDataCentre,
    SameRegion,
    Remote,
};

/// State that this node keeps for one listed member.
struct MemberRecord {
    NodeKey key;
    std::shared_ptr<const ListedInstance> listed;
    Locality locality { Locality::Remote };
    std::optional<OrderedIncarnation> incarnation;
    std::uint32_t sequence { 0 };
    Health health { Health::Alive };
    bool isMarkedLeaving { false }; ///< The member, a peer or the list marked the current incarnation as leaving.
    bool isDirectlyReachable { true };
    bool isHealthLocal { false }; ///< `health` was judged while this node received nothing. Never shared with peers.
    TimePoint suspicionDeadline; ///< Time at which a suspect is declared dead.

    bool isLeaving() const { return isMarkedLeaving || listed->state == ListedState::Leaving; }
    /// Returns the state to share with peers.
    MemberUpdate toUpdate() const;
};

enum class MergeResult {
    Unchanged,
    Changed,
    Outdated, ///< The table has newer state, which should be sent to the sender.
};

/// The members in the published list, with their state from probes and reports of peers.
class MemberTable {
public:
    MemberTable(NodeKey self, DataCentreName dataCentre, Topology topology);

    /// Replaces the list. The state of a member is kept as long as the list contains the member.
    void applyList(const InstanceList& list);
    /// Merges an update from a peer. The higher incarnation wins, then the higher sequence, then the worse health. A
    /// leaving mark is kept for the rest of the incarnation.
    MergeResult merge(const MemberUpdate& update);

    MemberRecord* find(NodeKey key);
    const MemberRecord* find(NodeKey key) const;
    std::vector<MemberRecord>& records() { return m_records; }
    const std::vector<MemberRecord>& records() const { return m_records; }

    /// Returns the keys of the other members at the given distance.
    const std::vector<NodeKey>& others(Locality locality) const { return m_byLocality[static_cast<std::size_t>(locality)]; }
    std::size_t otherCount() const;

    /// Returns a random other member at the given distance that is not dead. May return null even if there is one,
    /// because the number of attempts is limited.
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
