#pragma once

#include "src/agent/map-control.h"

namespace swiftloft::agent {

/// A group that stands for this long is held.
inline constexpr milliseconds holdNoticedAfter { 1000 };

/// The group as it was when this agent took its part, and what this agent holds for it.
struct MapControl::Part {
    EngineGroupName group;
    RankIndex rank;
    expertmap::MapShape shape;
    settings::GroupSettings settings;
    MapVersion initial;
    expertmap::RankAgent agent;
    MapStore maps;
    std::shared_ptr<GroupTransport> transport;
    std::unique_ptr<EngineOrders> engine;
    /// Address of each rank's agent; unset while the published list lacks the rank.
    std::vector<std::optional<GroupTransport::Endpoint>> addresses;
    /// Where the coordinators that gave orders are.
    std::map<Incarnation, GroupTransport::Endpoint> holders;
    /// Rank asked last for the content of a map.
    std::uint32_t fetchedFrom { 0 };

    // At rank 0 only.
    std::optional<expertmap::Coordinator> coordinator;
    std::optional<TimePoint> coordinatorDueAt;
    std::optional<MapVersion> wanted;
    std::unique_ptr<MapPlanning> planning;
    /// Step of rank 0 seen last, and since when the group may be held at it.
    StepNumber stepSeen;
    TimePoint stepSeenAt;
    TimePoint holdLoggedAt;

    bool isHeld(TimePoint now) const { return now >= stepSeenAt + holdNoticedAfter; }
    /// Ranks that the coordinator has not heard lately, as plain numbers.
    std::vector<std::uint32_t> silentRanks(TimePoint now) const;
};

} // namespace swiftloft::agent
