#pragma once

#include "src/agent/engine-port.h"
#include "src/agent/group-member.h"
#include "src/agent/map-leader.h"
#include "src/agent/rank-engine.h"
#include "src/gateway/control-message.h"
#include "src/gateway/settings.h"
#include "src/process/metrics.h"
#include "src/process/status-server.h"

#include <swiftloft/expertmap/replica-planner.h>
#include <swiftloft/policy/random.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace swiftloft::agent {

/// Makes the calls to the engine.
using EnginePortFactory = std::function<EnginePort(boost::asio::io_context& ioContext, const gateway::Endpoint& engine)>;

/// An agent in the slot of a rank: follows its engine, takes part in the group's changes of map and, at rank 0, plans
/// them. Entries tell it who the other ranks are, and get told how the engine is. Belongs to the control thread.
class RankDaemon {
public:
    RankDaemon(boost::asio::io_context& ioContext, const gateway::AgentSettings& settings, EnginePortFactory makePort, Incarnation incarnation);

    void stop();

private:
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<void> look();
    boost::asio::awaitable<void> perform(expertmap::EngineOrder order, std::optional<expertmap::ExpertMap> map);
    void onNews(const gateway::ControlSocket::UdpEndpoint& from, gateway::ControlMessage message);
    void onView(const EngineView& view);
    void beginIfKnown();
    void endGroup();
    boost::asio::awaitable<void> tellCounts();
    void notePace();
    void tellEntries(TimePoint now);
    void beginLeading();
    boost::asio::awaitable<std::optional<expertmap::EngineStatus>> staged(std::shared_ptr<RankEngine> engine, MapVersion version, std::optional<expertmap::EngineStatus> status);
    void learnAddresses(const gateway::GroupBrief& brief);
    expertmap::MapShape shapeOf(const gateway::GroupBrief& brief) const;

    boost::asio::io_context& m_ioContext;
    const gateway::AgentSettings& m_settings;
    EnginePortFactory m_makePort;
    EnginePort m_port;
    Incarnation m_incarnation;
    boost::asio::steady_timer m_timer;
    process::Metrics m_metrics;
    process::StatusServer m_pages;
    std::shared_ptr<gateway::ControlSocket> m_news;
    policy::Generator m_generator;
    bool m_isStopped { false };

    std::optional<EngineView> m_view;
    std::optional<gateway::GroupBrief> m_brief;
    /// Entries that sent a brief, and when.
    std::map<gateway::Endpoint, TimePoint> m_entries;
    TimePoint m_tellEntriesAt;
    /// Pace that was logged last, and that the entries and rank 0 were told last.
    double m_paceLogged { 1 };
    double m_paceToldEntries { 1 };
    double m_paceToldLeader { 1 };
    std::uint64_t m_lastFence { 0 };

    // While the engine's group is open and its members are known.
    std::unique_ptr<GroupMember> m_member;
    std::shared_ptr<RankEngine> m_engine;
    bool m_isOrderInProgress { false };
    /// Step of the last counts told; they say nothing new before the next.
    StepNumber m_countsToldAt;
    /// Map whose experts were told last.
    std::optional<MapVersion> m_heldTold;
    TimePoint m_tellCountsAt;
    /// At rank 0.
    std::optional<MapLeader> m_leader;
    /// The highest version that this agent has given to a map.
    std::uint64_t m_lastVersion { 0 };
};

/// Runs an agent until it is told to stop. Throws `Exception` when an address can't be bound.
void runRankAgent(const gateway::AgentSettings& settings, const EnginePortFactory& makePort, Incarnation incarnation);

} // namespace swiftloft::agent
