#pragma once

#include "src/agent/engine-port.h"

#include <swiftloft/expertmap/rank-agent.h>

#include <functional>
#include <optional>

namespace swiftloft::agent {

/// Carries out a rank agent's orders on an engine whose commands are plainer than the orders: it holds the whole group
/// from one rank, and does not refuse by state what comes late. Belongs to the control thread.
///
/// Only the engine of rank 0 is held. It is armed before all others, and released when all are armed; a step that one rank
/// holds is begun by none, so no rank reaches the switch before every rank is armed for it. Commands go one at a time, each
/// with a higher fence than the one before: once a command is answered, no copy of an earlier one can be carried out any
/// more.
class RankEngine {
public:
    using Now = std::function<TimePoint()>;

    RankEngine(EnginePort port, RankIndex rank, std::uint64_t epoch, std::uint64_t initialFence, Now now = Clock::now);

    /// Before the engine of rank 0 is held, that of another rank is, and for a moment only this: should the machine of rank
    /// 0 stand still just as it begins to hold the group, what it holds is an engine whose own agent is there to release it.
    void setNeighbour(EnginePort port) { m_neighbour = std::move(port); }
    bool hasNeighbour() const { return m_neighbour.has_value(); }

    /// Called for each command that is sent again for want of an answer.
    void setOnResend(std::function<void()> hook) { m_onResend = std::move(hook); }

    /// Carries `order` out and returns the engine's state afterwards. Throws when the engine does not answer.
    boost::asio::awaitable<expertmap::EngineStatus> perform(expertmap::Order order, std::optional<expertmap::ExpertMap> map);
    /// Mends what a lost answer or an agent that died left behind: a hold without a switch, a switch without a hold.
    /// Call it while no order is in progress.
    boost::asio::awaitable<void> repair(EngineView view);

    /// True while the engine has been told to load the weights of this map and may still be at it.
    bool isPreparing(MapVersion version) const { return m_preparing == version; }
    /// Fence of the last command.
    std::uint64_t fence() const { return m_fence; }

    static Incarnation incarnationOf(const EngineView& view);

private:
    boost::asio::awaitable<EngineView> read();
    boost::asio::awaitable<bool> command(EngineCommand::Kind kind, MapVersion version, StepNumber step, const expertmap::ExpertMap* map = nullptr);
    /// As `command`, but sent once: where a late copy could undo what is done next.
    boost::asio::awaitable<bool> commandOnce(EngineCommand::Kind kind, MapVersion version, StepNumber step);
    boost::asio::awaitable<bool> execute(EngineCommand command, int maxAttempts);
    /// Gives `command` a fence of its own for each of at most so many sends.
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
    /// The engine holds the group in a change, for all of its ranks.
    bool m_holdsGroup;
    std::uint64_t m_epoch;
    std::uint64_t m_fence;
    Now m_now;
    std::function<void()> m_onResend;
    /// Map whose weights are being loaded, and until when that is not asked for again.
    std::optional<MapVersion> m_preparing;
    TimePoint m_nextPrepareAt;
    /// Switch that this agent has released the rank for.
    std::optional<expertmap::SwitchPoint> m_releasedPoint;
};

} // namespace swiftloft::agent
