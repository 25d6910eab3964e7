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

/// One agent's membership in a rank group. Runs the `RankAgent` of the agent's engine and, at rank 0, the group's
/// `Coordinator`, and executes their effects over the network. Must be used on the control thread only.
class GroupMember {
public:
    struct Options {
        EngineGroupName group;
        RankIndex rank;
        expertmap::MapShape shape;
        Incarnation incarnation;
        bool checksFences { false };
        /// Local address that receives the group's messages.
        GroupTransport::Endpoint endpoint;
        /// The engine's status is read again if the engine has not responded within this time.
        milliseconds engineTimeout { 200 };
        /// Options of the coordinator. `create` sets its incarnation and its number of ranks.
        expertmap::Coordinator::Options coordination;
        /// Map that every engine of a new group runs, if each agent can derive it locally. The first change is then
        /// sent as a difference from this map, which takes a third of the bytes of a whole map.
        std::optional<expertmap::VersionedMap> initialMap;
    };

    struct Hooks {
        /// Sends an order to the engine. `map` is the content of the map that a `StageMap` order names, and null for
        /// other orders. The response must be passed to `onEngineEvent`.
        std::function<void(const expertmap::EngineOrder& order, const expertmap::ExpertMap* map)> sendToEngine;
        /// Called at rank 0 with the loads that a rank has reported.
        std::function<void(const expertmap::RankLoads& loads)> onLoads;
        /// Called at rank 0 when all ranks run a new map.
        std::function<void(const expertmap::SwitchPoint& point)> onMapChanged;
    };

    /// Fails with `Unavailable` if the address can't be bound, and with the errors of `RankAgent::create` and
    /// `Coordinator::create`.
    static Result<std::unique_ptr<GroupMember>> create(boost::asio::io_context& ioContext, Options options, Hooks hooks);
    ~GroupMember();

    /// Starts the protocol. Call after the addresses known so far have been set.
    void start();
    void stop();
    void setAddress(RankIndex rank, const GroupTransport::Endpoint& address);
    bool hasAllAddresses() const;
    void addMap(const expertmap::VersionedMap& map) { m_maps.add(map); }
    const expertmap::ExpertMap* findMap(MapVersion version) const { return m_maps.find(version); }
    /// Requests the content of a map from another rank.
    void fetchMap(MapVersion version);
    void onEngineEvent(const expertmap::rank::Event& event);
    /// At rank 0: starts a change of the group to this map and immediately sends its content to the ranks.
    void requestMapChange(const expertmap::VersionedMap& map);
    /// At rank 0: withdraws the requested change, unless a rank may already be armed for it.
    void withdrawMapChange();
    /// Sends the loads that the engine has counted to rank 0.
    void sendLoads(const expertmap::RankLoads& loads);

    const Options& options() const { return m_options; }
    const expertmap::RankAgent& agent() const { return m_agent; }
    /// Null at ranks other than 0.
    const expertmap::Coordinator* coordinator() const { return m_coordinator ? &*m_coordinator : nullptr; }
    /// Returns the step at which a change may be holding the group, or `nullopt` if the group has not stayed at one
    /// step for a second.
    std::optional<StepNumber> heldStep(TimePoint now) const;
    /// Ranks from which the coordinator has not received a report lately, as plain numbers.
    std::vector<std::uint32_t> silentRanks(TimePoint now) const;

private:
    GroupMember(boost::asio::io_context& ioContext, Options options, Hooks hooks, expertmap::RankAgent agent);

    void startCoordinator();
    void execute(const expertmap::rank::Effects& effects);
    void execute(const expertmap::coordination::Effects& effects);
    void perform(const expertmap::rank::SendToEngine& effect);
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
    /// Forwards a new map to the ranks that receive it from this one.
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
    /// Address of each rank's agent; unset while unknown.
    std::vector<std::optional<GroupTransport::Endpoint>> m_addresses;
    /// Addresses of the coordinators that have sent orders.
    std::map<Incarnation, GroupTransport::Endpoint> m_coordinatorAddresses;
    /// Rank that receives the next request for the content of a map.
    std::uint32_t m_nextFetchRank { 0 };
    bool m_isStopped { false };

    // The members below are used at rank 0 only.
    std::optional<expertmap::Coordinator> m_coordinator;
    std::optional<TimePoint> m_coordinatorRestartAt;
    std::optional<MapVersion> m_targetMap;
    /// Map that was sent to all ranks last.
    std::optional<MapVersion> m_lastSentMap;
    /// Last step seen at rank 0, and the time since which a change may be holding the group there.
    StepNumber m_lastStep;
    TimePoint m_lastStepAt;
    TimePoint m_holdLoggedAt;
};

} // namespace swiftloft::agent
