#pragma once

#include <swiftloft/membership/types.h>

#include <memory>
#include <vector>

namespace swiftloft::membership {

/// One member as a node sees it. Cheap to copy: the listed row is shared.
struct ViewMember {
    std::shared_ptr<const ListedInstance> listed;
    std::optional<Incarnation> incarnation; ///< Unknown until the member or a peer has said it.
    Health health { Health::Alive };
    bool isLeaving { false }; ///< Never false again within one incarnation.
    bool isDirectlyReachable { true }; ///< False while only other members reach it (a one-way cut).

    /// True when new work may be sent to it.
    bool isUsable() const { return !isLeaving && health != Health::Dead; }
};

/// What one node believes of the fleet at one time; never changed once published.
///
/// Members of other regions are not probed one by one: their health is `Alive` while their data centre answers.
struct View {
    Revision listRevision;
    Topology topology;
    std::vector<ViewMember> members; ///< Ordered by id.

    const ViewMember* find(const NodeId& id) const;
};

} // namespace swiftloft::membership
