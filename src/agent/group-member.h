#pragma once

#include "src/agent/group-transport.h"
#include "src/agent/map-store.h"

#include <swiftloft/expertmap/coordinator.h>
#include <swiftloft/expertmap/rank-agent.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace swiftloft::agent {

/// An agent's part in one rank group: the `RankAgent` of its engine and, at rank 0, the group's `Coordinator`, with their
/// effects carried out over the network. Belongs to the control thread.
class GroupMember {
public:
    struct Options {
        EngineGroupName group;
        RankIndex rank;
        expertmap::MapShape shape;
        Incarnation incarnation;
        bool checksFences { false };
        /// Address for messages of the group.
        GroupTransport::Endpoint endpoint;
        /// An engine that has not answered for this long is read again.
        milliseconds engineTimeout { 200 };
        /// Timing of the coordinator; its incarnation and ranks are set here.
        expertmap::Coordinator::Options coordination;
        /// The map that every engine of a new group has, when each agent knows it without being told. The first change is
        /// then told by what differs from it, a third of the bytes of a whole map.
        std::optional<expertmap::VersionedMap> initialMap;
    };

    struct Hooks {
        /// Write an order to the engine; `map` is the content of the map that a `StageMap` names. The answer comes back
        /// by `onEngine`.
        std::function<void(const expertmap::EngineOrder& order, const expertmap::ExpertMap* map)> sendToEngine;
        /// At rank 0: what a rank counted.
        std::function<void(const expertmap::RankLoads& loads)> onLoads;
        /// At rank 0: all ranks run a new map.
        std::function<void(const expertmap::SwitchPoint& point)> onMapChanged;
    };

    /// Fails with `Unavailable` when the address can't be bound, and as `RankAgent::create` and `Coordinator::create` do.
    static Result<std::unique_ptr<GroupMember>> create(boost::asio::io_context& ioContext, Options options, Hooks hooks);
    ~GroupMember();

    /// Call once the addresses known so far have been set.
    void start();
    void stop();
    void setAddress(RankIndex rank, const GroupTransport::Endpoint& address);
    bool hasAllAddresses() const;
    void addMap(const expertmap::VersionedMap& map) { m_maps.add(map); }
    const expertmap::ExpertMap* findMap(MapVersion version) const { return m_maps.find(version); }
    /// Asks another rank for the content of a map.
    void fetchMap(MapVersion version);
    void onEngineEvent(const expertmap::rank::Event& event);
    /// At rank 0: changes the group to this map. The ranks are sent its content at once.
    void requestMapChange(const expertmap::VersionedMap& map);
    /// At rank 0: gives the wish up as far as no rank may be armed for it.
    void withdrawMapChange();
    /// Sends what the engine counted to rank 0.
    void sendLoads(const expertmap::RankLoads& loads);

    const Options& options() const { return m_options; }
    const expertmap::RankAgent& agent() const { return m_agent; }
    /// Null at ranks other than 0.
    const expertmap::Coordinator* coordinator() const { return m_coordinator ? &*m_coordinator : nullptr; }
    /// Since when the group may be held at its step; `heldStep` is set once that is long ago.
    std::optional<StepNumber> heldStep(TimePoint now) const;
    /// Ranks that the coordinator has not heard lately, as plain numbers.
    std::vector<std::uint32_t> silentRanks(TimePoint now) const;

private:
    GroupMember(boost::asio::io_context& ioContext, Options options, Hooks hooks, expertmap::RankAgent agent);

    void startCoordinator();
    void execute(const expertmap::rank::Effects& effects);
    void execute(const expertmap::coordination::Effects& effects);
    void perform(const expertmap::rank::WriteEngine& effect);
    void perform(const expertmap::rank::SendReport& effect);
    void perform(const expertmap::rank::SendHello& effect);
    void perform(const expertmap::rank::OrderRefused& effect);
    void perform(const expertmap::coordination::SendOrder& effect);
    void perform(const expertmap::coordination::ChangeFinished& effect);
    void perform(const expertmap::coordination::ChangePostponed& effect);
    void perform(const expertmap::coordination::SteppedDown& effect);
    void onMessage(const GroupTransport::Endpoint& from, const GroupMessage& message);
    void onCoordinatorEvent(const expertmap::coordination::Event& event);
    void onMap(const expertmap::VersionedMap& versioned);
    void onMapDifference(const MapDifference& difference);
    /// Sends a new map on to the ranks that get it from this one.
    void forwardMap(const GroupMessage& message);
    void sendToRank(RankIndex rank, const GroupMessage& message);
    void tick();
    void logAdmission(const std::optional<expertmap::EngineStatus>& before);
    void checkForHold(TimePoint now);

    Options m_options;
    Hooks m_hooks;
    expertmap::RankAgent m_agent;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<GroupTransport> m_transport;
    MapStore m_maps;
    /// Address of each rank's agent; unset while it is not known.
    std::vector<std::optional<GroupTransport::Endpoint>> m_addresses;
    /// Where the coordinators that gave orders are.
    std::map<Incarnation, GroupTransport::Endpoint> m_coordinatorAddresses;
    /// Rank asked last for the content of a map.
    std::uint32_t m_nextFetchRank { 0 };
    bool m_isStopped { false };

    // At rank 0 only.
    std::optional<expertmap::Coordinator> m_coordinator;
    std::optional<TimePoint> m_coordinatorRestartAt;
    std::optional<MapVersion> m_targetMap;
    /// Map that all ranks were told last.
    std::optional<MapVersion> m_lastSentMap;
    /// Step of rank 0 seen last, and since when the group may be held at it.
    StepNumber m_lastStep;
    TimePoint m_lastStepAt;
    TimePoint m_holdLoggedAt;
};

} // namespace swiftloft::agent
