#pragma once

#include "src/agent/engine-port.h"
#include "src/agent/group-member.h"
#include "src/agent/map-scheduler.h"
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

/// Creates the port for the calls to an engine.
using EnginePortFactory = std::function<EnginePort(boost::asio::io_context& ioContext, const gateway::Endpoint& engine)>;

/// Agent in the slot of a rank. Polls its engine, takes part in the group's map changes and, at rank 0, plans them.
/// Receives the addresses of the other ranks from entries and reports the engine's status to the entries. Must be used
/// on the control thread only.
class RankDaemon {
public:
    RankDaemon(boost::asio::io_context& ioContext, const gateway::AgentSettings& settings, EnginePortFactory makePort, Incarnation incarnation);

    void stop();

private:
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<void> pollOnce();
    boost::asio::awaitable<void> perform(expertmap::EngineOrder order, std::optional<expertmap::ExpertMap> map);
    void onControlMessage(const gateway::ControlSocket::UdpEndpoint& from, gateway::ControlMessage message);
    void onEngineView(const EngineView& view);
    void startMemberIfReady();
    void stopMember();
    boost::asio::awaitable<void> reportLoads();
    void recordPace();
    void sendStatusToEntries(TimePoint now);
    void sendToEntries(TimePoint now, const gateway::RankStatus& status);
    void onEngineSilent();
    /// Reports to the entries, at most every `degradedStatusInterval`, that the engine's process has ended.
    void reportEngineEnd(TimePoint now);
    void startMapScheduler();
    void tickMapScheduler();
    boost::asio::awaitable<std::optional<expertmap::EngineStatus>> awaitStaged(std::shared_ptr<RankEngine> engine, MapVersion version, std::optional<expertmap::EngineStatus> status);
    void updateAddresses(const gateway::GroupBrief& brief);
    expertmap::MapShape shapeOf(const gateway::GroupBrief& brief) const;

    boost::asio::io_context& m_ioContext;
    const gateway::AgentSettings& m_settings;
    EnginePortFactory m_makePort;
    EnginePort m_port;
    Incarnation m_incarnation;
    boost::asio::steady_timer m_timer;
    process::Metrics m_metrics;
    process::StatusServer m_statusServer;
    std::shared_ptr<gateway::ControlSocket> m_controlSocket;
    policy::Generator m_generator;
    bool m_isStopped { false };

    std::optional<EngineView> m_view;
    /// The last view before the engine fell silent.
    std::optional<EngineView> m_lastView;
    std::optional<gateway::GroupBrief> m_brief;
    /// Entries that have sent a brief (the control message with the group's epoch and the addresses of its ranks), and
    /// the time of the last brief of each.
    std::map<gateway::Endpoint, TimePoint> m_entries;
    TimePoint m_nextStatusAt;
    /// Pace that was logged last, reported to the entries last, and reported to rank 0 last.
    double m_loggedPace { 1 };
    double m_paceSentToEntries { 1 };
    double m_paceSentToRankZero { 1 };
    std::uint64_t m_lastFence { 0 };

    // The members below are set while the engine's group is open and its members are known.
    std::unique_ptr<GroupMember> m_member;
    std::shared_ptr<RankEngine> m_engine;
    bool m_isOrderInProgress { false };
    /// Step of the last reported counts. Counts don't change before the next step.
    StepNumber m_lastReportedStep;
    /// Map whose experts were reported last.
    std::optional<MapVersion> m_lastReportedMap;
    TimePoint m_nextLoadReportAt;
    /// Set at rank 0 only.
    std::optional<MapScheduler> m_mapScheduler;
    /// Highest version that this agent has assigned to a map.
    std::uint64_t m_lastVersion { 0 };
};

/// Runs an agent until the process receives a stop signal. Throws `Exception` if an address can't be bound.
void runRankAgent(const gateway::AgentSettings& settings, const EnginePortFactory& makePort, Incarnation incarnation);

} // namespace swiftloft::agent
