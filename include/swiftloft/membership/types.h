#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Membership of the fleet and reachability of its members from this node.
///
/// The published instance list defines which instances may be members, but it lags behind. Probes and reports of peers
/// show which members are alive. A `View` combines both. The views of two nodes may differ, so no safety property may
/// depend on their agreement.
namespace swiftloft::membership {

/// Id of a process of the system (entry or agent), as used in the published instance list.
using NodeId = Strong<struct NodeIdTag, std::string>;
/// XXH3 hash of a `NodeId`, which identifies the node in datagrams.
using NodeKey = Strong<struct NodeKeyTag, std::uint64_t>;
/// "IP:port" on which a process receives gossip (UDP) and requests for settings parts (TCP).
using PeerAddress = Strong<struct PeerAddressTag, std::string>;
/// "IP:port" on which a process receives traffic from its callers.
using TrafficAddress = Strong<struct TrafficAddressTag, std::string>;

NodeKey keyOf(const NodeId& id);

enum class Role : std::uint8_t {
    Entry,
    Agent,
};

/// State of an instance in the published instance list.
enum class ListedState : std::uint8_t {
    Live,
    Leaving,
};

/// Health of a member as found by probes.
enum class Health : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};

const char* toString(Role role);
const char* toString(Health health);

/// One instance in the published instance list.
struct ListedInstance {
    NodeId id;
    Role role { Role::Entry };
    TrafficAddress address;
    PeerAddress peer;
    DataCentreName dataCentre;
    ServiceName service; ///< Empty for entries.
    EngineGroupName group; ///< Empty for entries and plain services.
    std::optional<RankIndex> rank;
    ListedState state { ListedState::Live };

    friend bool operator==(const ListedInstance&, const ListedInstance&) = default;
};

/// An element of the published instance list that is malformed and therefore left out.
struct LeftOutInstance {
    /// Unset if the element does not say.
    std::optional<NodeId> id;
    std::string problem;

    friend bool operator==(const LeftOutInstance&, const LeftOutInstance&) = default;
};

/// One revision of the published instance list.
struct InstanceList {
    Revision revision;
    std::vector<ListedInstance> instances;
    /// Known instances among these stay listed as they were.
    std::vector<LeftOutInstance> leftOut {};
};

/// One incarnation of a process, ordered relative to other incarnations of the same `NodeId`.
///
/// `Incarnation` values are random and have no order. `generation` provides the order: it is the wall-clock time of the
/// process start in milliseconds. Clocks of two instances may differ, so a process may receive a higher incarnation for
/// its id than its own. It then raises its generation above the received one. It does not do so if the published list
/// gives another address for the id, because the process has then been replaced.
struct OrderedIncarnation {
    std::uint64_t generation { 0 };
    Incarnation id;

    friend auto operator<=>(const OrderedIncarnation&, const OrderedIncarnation&) = default;
};

/// Maps data centres to regions. A data centre that is not listed belongs to the region "".
struct Topology {
    std::map<DataCentreName, RegionName> regions;

    RegionName regionOf(const DataCentreName& dataCentre) const;
    bool isSameRegion(const DataCentreName& a, const DataCentreName& b) const { return regionOf(a) == regionOf(b); }
};

} // namespace swiftloft::membership
