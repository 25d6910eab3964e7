#pragma once

#include <swiftloft/membership/types.h>

#include <memory>
#include <vector>

namespace swiftloft::membership {

/// One member as seen by a node. Cheap to copy, because the list entry is shared.
struct ViewMember {
    std::shared_ptr<const ListedInstance> listed;
    std::optional<Incarnation> incarnation; ///< Unknown until the member or a peer has reported it.
    Health health { Health::Alive };
    bool isLeaving { false }; ///< Once true, stays true for the rest of the incarnation.
    bool isDirectlyReachable { true }; ///< False while only other members can reach it, as in a one-way network fault.

    /// Returns true if new work may be sent to the member.
    bool isUsable() const { return !isLeaving && health != Health::Dead; }
};

/// Snapshot of the fleet as seen by one node. Immutable once published.
///
/// Members of other regions are not probed individually. Their health is `Alive` while their data centre responds to
/// probes.
struct View {
    Revision listRevision;
    Topology topology;
    std::vector<ViewMember> members; ///< Ordered by id.

    const ViewMember* find(const NodeId& id) const;
};

} // namespace swiftloft::membership
