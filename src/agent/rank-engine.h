#pragma once

#include "src/agent/engine-port.h"

#include <swiftloft/expertmap/rank-agent.h>

#include <functional>
#include <optional>

namespace swiftloft::agent {

/// Executes a rank agent's orders on an engine whose commands are simpler than the orders: a hold at one rank holds the
/// whole group, and the engine's checks of its own state don't reject every late command. Must be used on the control
/// thread only.
///
/// Only the engine of rank 0 is held. It is armed before all others and released when all are armed. No rank begins a
/// step that one rank holds, so no rank reaches the switch to the new map before every rank is armed for it. Commands
/// are sent one at a time, each with a higher fence than the previous one. Once a command has been answered, an engine
/// that checks fences therefore executes no late copy of an earlier command.
class RankEngine {
public:
    using Now = std::function<TimePoint()>;

    RankEngine(EnginePort port, RankIndex rank, std::uint64_t epoch, std::uint64_t initialFence, Now now = Clock::now);

    /// Sets the engine of another rank that is held briefly before the engine of rank 0. The machine of rank 0 may
    /// stall just as it begins to hold the group. In that case only the neighbour's engine is held, and the neighbour's
    /// own agent can release it.
    void setNeighbour(EnginePort port) { m_neighbour = std::move(port); }
    bool hasNeighbour() const { return m_neighbour.has_value(); }

    /// Sets a hook that is called for each command that is resent because it got no response.
    void setOnResend(std::function<void()> hook) { m_onResend = std::move(hook); }

    /// Executes `order` and returns the engine's status afterwards. Throws if the engine does not respond.
    boost::asio::awaitable<expertmap::EngineStatus> perform(expertmap::Order order, std::optional<expertmap::ExpertMap> map);
    /// Repairs what a lost response or a failed agent has left behind: a hold without a switch, or a switch without a
    /// hold. Call while no order is in progress.
    boost::asio::awaitable<void> repair(EngineView view);

    /// True if the engine has been ordered to load the weights of this map and may still be loading them.
    bool isPreparing(MapVersion version) const { return m_preparing == version; }
    /// Fence of the last command.
    std::uint64_t fence() const { return m_fence; }

    static Incarnation incarnationOf(const EngineView& view);

private:
    boost::asio::awaitable<EngineView> read();
    boost::asio::awaitable<bool> command(EngineCommand::Kind kind, MapVersion version, StepNumber step, const expertmap::ExpertMap* map = nullptr);
    /// Like `command`, but sends the command only once. For commands of which a late copy could undo the next command.
    boost::asio::awaitable<bool> commandOnce(EngineCommand::Kind kind, MapVersion version, StepNumber step);
    boost::asio::awaitable<bool> execute(EngineCommand command, int maxAttempts);
    /// Sends `command` up to `maxAttempts` times, each time with a new fence.
    boost::asio::awaitable<CommandOutcome> send(EngineCommand& command, int maxAttempts);
    boost::asio::awaitable<void> prepare(MapVersion version, const expertmap::ExpertMap& map);
    boost::asio::awaitable<void> arm(expertmap::SwitchPoint point);
    boost::asio::awaitable<bool> hold(expertmap::SwitchPoint point);
    boost::asio::awaitable<void> sendToNeighbour(EngineCommand::Kind kind, StepNumber step);
    boost::asio::awaitable<void> release(expertmap::SwitchPoint point);
    boost::asio::awaitable<void> cancel(expertmap::SwitchPoint point);
    bool needsRepair(const EngineView& view) const;
    expertmap::EngineStatus statusOf(const EngineView& view) const;

    EnginePort m_port;
    std::optional<EnginePort> m_neighbour;
    /// True if this engine holds the group during a change, for all of its ranks.
    bool m_holdsGroup;
    std::uint64_t m_epoch;
    std::uint64_t m_fence;
    Now m_now;
    std::function<void()> m_onResend;
    /// Map whose weights are being loaded, and the time before which the load is not requested again.
    std::optional<MapVersion> m_preparing;
    TimePoint m_nextPrepareAt;
    /// The switch to a new map for which this agent released the rank last.
    std::optional<expertmap::SwitchPoint> m_releasedPoint;
};

} // namespace swiftloft::agent
