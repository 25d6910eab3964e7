#include <swiftloft/membership/types.h>
#include <swiftloft/membership/view.h>

#include <xxhash.h>

#include <algorithm>

namespace swiftloft::membership {

NodeKey keyOf(const NodeId& id)
{
    return NodeKey(XXH3_64bits(id.value().data(), id.value().size()));
}

const char* toString(Role role)
{
    return role == Role::Entry ? "entry" : "agent";
}

const char* toString(Health health)
{
    switch (health) {
    case Health::Alive:
        return "alive";
    case Health::Suspect:
        return "suspect";
    case Health::Dead:
        return "dead";
    }
    return "unknown";
}

RegionName Topology::regionOf(const DataCentreName& dataCentre) const
{
    auto it = regions.find(dataCentre);
    return it == regions.end() ? RegionName() : it->second;
}

const ViewMember* View::find(const NodeId& id) const
{
    auto isBefore = [](const ViewMember& member, const NodeId& wanted) { return member.listed->id < wanted; };
    auto it = std::lower_bound(members.begin(), members.end(), id, isBefore);
    return it != members.end() && it->listed->id == id ? &*it : nullptr;
}

} // namespace swiftloft::membership
