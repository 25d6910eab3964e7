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

/// Who belongs to the fleet and who can be reached from here.
///
/// The published instance list says who may be a member; it lags. Probes and what peers report say who is alive. A
/// `View` joins both. Nothing about safety may depend on the views of two nodes agreeing.
namespace swiftloft::membership {

/// Id of any process of the system, entry or agent, as the published list names it.
using NodeId = Strong<struct NodeIdTag, std::string>;
/// XXH3 of a `NodeId`; stands for it in datagrams.
using NodeKey = Strong<struct NodeKeyTag, std::uint64_t>;
/// "IP:port" at which a process takes gossip (UDP) and requests for settings parts (TCP).
using PeerAddress = Strong<struct PeerAddressTag, std::string>;
/// "IP:port" at which a process takes the traffic of its callers.
using TrafficAddress = Strong<struct TrafficAddressTag, std::string>;

NodeKey keyOf(const NodeId& id);

enum class Role : std::uint8_t {
    Entry,
    Agent,
};

/// What the published list says of an instance.
enum class ListedState : std::uint8_t {
    Live,
    Leaving,
};

/// What probes say of a member.
enum class Health : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};

const char* toString(Role role);
const char* toString(Health health);

/// One row of the published instance list.
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

/// The published instance list as one revision of it.
struct InstanceList {
    Revision revision;
    std::vector<ListedInstance> instances;
};

/// One life of a process, ordered against other lives of the same `NodeId`.
///
/// Incarnations are random and have no order. `generation` gives one: it is the wall time of the start in milliseconds.
/// Clocks of two instances may disagree, so a process that hears of a later life of its own id than its own raises its
/// generation above it, unless the published list says that another address has replaced it.
struct OrderedIncarnation {
    std::uint64_t generation { 0 };
    Incarnation id;

    friend auto operator<=>(const OrderedIncarnation&, const OrderedIncarnation&) = default;
};

/// Which region each data centre belongs to. A data centre that is not named belongs to the region "".
struct Topology {
    std::map<DataCentreName, RegionName> regions;

    RegionName regionOf(const DataCentreName& dataCentre) const;
    bool isSameRegion(const DataCentreName& a, const DataCentreName& b) const { return regionOf(a) == regionOf(b); }
};

} // namespace swiftloft::membership
