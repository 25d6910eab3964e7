#include "src/agent/rank-engine.h"

#include "src/log/logger.h"
#include "src/log/problem.h"

#include <swiftloft/result.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <xxhash.h>

namespace swiftloft::agent {

namespace asio = boost::asio;
using namespace expertmap;

namespace {

/// Timeout of a read, and of a command that is sent only once. The engine is on the same instance, and a response takes
/// about a millisecond, even from a busy engine.
constexpr milliseconds responseTimeout { 40 };
/// A command without a response after this time is resent. The timeout is ten times the usual response time.
constexpr milliseconds resendTimeout { 12 };
/// Maximum number of times that one command is sent. If a third of all responses are lost, one command in two hundred
/// gets no response to any of these sends and is left to the coordinator's retry.
constexpr int maxSends = 5;
/// Weights that are not loaded after this time are requested again: the command was lost or superseded by another.
constexpr milliseconds prepareRetryInterval { 2500 };
/// Fences are derived from the time of day. If the clock was set back between two agents in this slot, the fences of
/// the earlier agent may be ahead by up to this number.
constexpr std::uint64_t fenceJump = 10'000'000;
/// Timeout of a command to the neighbour's engine. Rank 0 may hold the group during this wait, so the timeout is short.
/// If the command is lost or takes effect late, the neighbour's own agent repairs the state of its engine.
constexpr milliseconds neighbourTimeout = resendTimeout;
/// Time for which only the neighbour is held: a few round trips between instances. Each change of the map takes longer
/// by this time.
constexpr milliseconds neighbourHoldTime { 8 };

std::string_view nameOf(EngineCommand::Kind kind)
{
    switch (kind) {
    case EngineCommand::Kind::Prepare:
        return "prepare";
    case EngineCommand::Kind::Arm:
        return "arm";
    case EngineCommand::Kind::Disarm:
        return "disarm";
    case EngineCommand::Kind::Hold:
        return "hold";
    case EngineCommand::Kind::Release:
        return "release";
    }
    return "unknown";
}

} // namespace

RankEngine::RankEngine(EnginePort port, RankIndex rank, std::uint64_t epoch, std::uint64_t initialFence, Now now)
    : m_port(std::move(port))
    , m_holdsGroup(rank == RankIndex(0))
    , m_epoch(epoch)
    , m_fence(initialFence)
    , m_now(std::move(now))
{
}

Incarnation RankEngine::incarnationOf(const EngineView& view)
{
    auto& group = view.group.value();
    auto incarnation = XXH3_64bits_withSeed(group.data(), group.size(), view.epoch);
    return Incarnation(incarnation == 0 ? 1 : incarnation);
}

asio::awaitable<EngineView> RankEngine::read()
{
    auto view = co_await m_port.read(m_now() + responseTimeout);
    if (!view.isOpen || view.epoch != m_epoch)
        throw Exception({ ErrorCode::Stale, "the engine's group is not open or has another epoch" });
    co_return view;
}

EngineStatus RankEngine::statusOf(const EngineView& view) const
{
    EngineStatus status;
    status.engine = incarnationOf(view);
    status.isAdmitted = true;
    status.current = view.map;
    status.entered = view.step;
    status.armed = view.armed;
    status.isReleased = view.armed && view.heldStep != view.armed->step && m_releasedPoint == view.armed;
    status.staged.push_back(view.map);
    if (view.prepared && *view.prepared != view.map)
        status.staged.push_back(*view.prepared);
    return status;
}

asio::awaitable<bool> RankEngine::command(EngineCommand::Kind kind, MapVersion version, StepNumber step, const ExpertMap* map)
{
    co_return co_await execute({ kind, m_epoch, 0, version, step, map }, maxSends);
}

asio::awaitable<bool> RankEngine::commandOnce(EngineCommand::Kind kind, MapVersion version, StepNumber step)
{
    co_return co_await execute({ kind, m_epoch, 0, version, step, nullptr }, 1);
}

asio::awaitable<bool> RankEngine::execute(EngineCommand command, int maxAttempts)
{
    auto outcome = co_await send(command, maxAttempts);
    if (outcome != CommandOutcome::Done)
        log::write(log::Event::EngineOrderRefused, "order={} version={:016x} step={} fence={} reason={}", nameOf(command.kind), command.version.value(), command.step.value(), command.fence,
            outcome == CommandOutcome::Fenced ? "fence" : "state");
    if (outcome == CommandOutcome::Fenced)
        m_fence += fenceJump;
    co_return outcome == CommandOutcome::Done;
}

/// An engine may accept a command without responding and execute it seconds later. Until the command is resent, the
/// group keeps the old map or waits at the switch. When only the coordinator retried, each lost response cost 75 ms,
/// and the group waited 260 ms at a switch. This function therefore resends commands. A late copy is harmless if it can
/// only repeat what the protocol has already moved past, or if it names a step that has begun. Each command that is
/// sent only once states the reason.
asio::awaitable<CommandOutcome> RankEngine::send(EngineCommand& command, int maxAttempts)
{
    auto timeout = maxAttempts > 1 ? resendTimeout : responseTimeout;
    for (int n = 1;; ++n) {
        command.fence = ++m_fence;
        try {
            co_return co_await m_port.command(command, m_now() + timeout);
        } catch (const boost::system::system_error&) {
            if (n == maxAttempts)
                throw;
        }
        if (m_onResend)
            m_onResend();
    }
}

asio::awaitable<EngineStatus> RankEngine::perform(Order order, std::optional<ExpertMap> map)
{
    if (auto* stage = std::get_if<StageMap>(&order); stage && map)
        co_await prepare(stage->version, *map);
    else if (auto* armed = std::get_if<Arm>(&order))
        co_await arm(armed->point);
    else if (auto* released = std::get_if<Go>(&order))
        co_await release(released->point);
    else if (auto* cancelled = std::get_if<Cancel>(&order))
        co_await cancel(cancelled->point);
    // Other orders are executed as reads, because the engine needs no command for them: engines are admitted when their
    // group opens, and drop a loaded map when they load the next one.
    auto view = co_await read();
    co_return statusOf(view);
}

asio::awaitable<void> RankEngine::prepare(MapVersion version, const ExpertMap& map)
{
    auto view = co_await read();
    auto now = m_now();
    bool isInProgress = m_preparing == version && now < m_nextPrepareAt;
    if (view.map == version || view.prepared == version || view.armed || isInProgress)
        co_return;
    if (co_await command(EngineCommand::Kind::Prepare, version, StepNumber(0), &map)) {
        m_preparing = version;
        m_nextPrepareAt = now + prepareRetryInterval;
    }
}

asio::awaitable<void> RankEngine::arm(SwitchPoint point)
{
    auto view = co_await read();
    bool mayArm = view.prepared == point.version && view.step < point.step && (!view.armed || view.armed == point);
    if (!mayArm)
        co_return;
    // If the group were not held, it could reach the switch step before all ranks are armed, and tokens of one step
    // would be computed under two maps. The hold is therefore confirmed before any rank is armed.
    if (m_holdsGroup && view.heldStep != point.step && !co_await hold(point))
        co_return;
    if (!view.armed)
        co_await command(EngineCommand::Kind::Arm, point.version, point.step);
}

/// The coordinator's machine, and with it the path to its engine, may stall for seconds right after it has begun to
/// hold the group. Nobody could then release the engine, and every stream of the group would pause until the machine
/// resumes. The neighbour's engine is therefore held first, which tests briefly whether this machine continues. If the
/// machine stalls, the neighbour's agent finds a hold without a switch and releases it within a tenth of a second.
asio::awaitable<bool> RankEngine::hold(SwitchPoint point)
{
    if (!m_neighbour)
        co_return co_await command(EngineCommand::Kind::Hold, point.version, point.step);
    co_await sendToNeighbour(EngineCommand::Kind::Hold, point.step);
    asio::steady_timer pause(co_await asio::this_coro::executor, Clock::now() + neighbourHoldTime);
    co_await pause.async_wait(asio::use_awaitable);
    bool isHeld = co_await command(EngineCommand::Kind::Hold, point.version, point.step);
    // If the release were left to the neighbour's agent, the hold would stop the group for as long as the neighbour's
    // machine stalls.
    co_await sendToNeighbour(EngineCommand::Kind::Release, point.step);
    co_return isHeld;
}

asio::awaitable<void> RankEngine::sendToNeighbour(EngineCommand::Kind kind, StepNumber step)
{
    try {
        // This command has no fence. If it had one, the neighbour's engine could reject later commands of its own
        // agent, whose fences may be lower.
        co_await m_neighbour->command({ kind, m_epoch, 0, MapVersion(0), step, nullptr }, m_now() + neighbourTimeout);
    } catch (const boost::system::system_error& error) {
        log::write(log::Event::EngineOrderLost, "order={}-neighbour problem=\"{}\"", nameOf(kind), log::problemOf(error));
    }
}

asio::awaitable<void> RankEngine::release(SwitchPoint point)
{
    auto view = co_await read();
    if (view.armed != point)
        co_return;
    m_releasedPoint = point;
    if (view.heldStep == point.step)
        co_await command(EngineCommand::Kind::Release, point.version, point.step);
}

asio::awaitable<void> RankEngine::cancel(SwitchPoint point)
{
    auto view = co_await read();
    bool isReleased = m_releasedPoint == point && view.heldStep != point.step;
    if (view.armed != point || isReleased)
        co_return;
    // A rank that is released before it is disarmed would enter the step with the new map. The disarm is sent only once
    // because it names no step: a late copy would disarm the rank for the same map at a later step, when others may
    // have been released for that step.
    if (co_await commandOnce(EngineCommand::Kind::Disarm, point.version, point.step) && view.heldStep == point.step)
        co_await command(EngineCommand::Kind::Release, point.version, point.step);
}

asio::awaitable<void> RankEngine::repair(EngineView view)
{
    if (!needsRepair(view))
        co_return;
    // The view may have been read while an order was in progress, between the order's hold and its switch. A release
    // because of this view would let the rank enter the step with the new map, and the others with the old one. No
    // order is in progress now, so a second read shows what the engine actually holds.
    view = co_await read();
    if (!needsRepair(view))
        co_return;
    // The rank is held but not armed. Either the response to a hold was lost and the hold took effect seconds later, or
    // the agent died between the hold and the switch. Without a release the group would stop at that step permanently.
    // A rank that is not armed has no switch to wait for.
    if (view.heldStep && !view.armed) {
        // Sent once: a late copy would release the rank after it has been armed for that step.
        co_await commandOnce(EngineCommand::Kind::Release, view.map, *view.heldStep);
        co_return;
    }
    // The rank is armed but not held, as when this agent has just started. The previous agent may have released the
    // rank, or a late copy of that agent's command may have armed this rank alone. The rank is held again until the
    // coordinator sends an order.
    co_await command(EngineCommand::Kind::Hold, view.armed->version, view.armed->step);
}

bool RankEngine::needsRepair(const EngineView& view) const
{
    if (!view.isOpen || view.epoch != m_epoch)
        return false;
    bool isHeldWithoutSwitch = view.heldStep && !view.armed;
    bool isSwitchUnheld = m_holdsGroup && view.armed && view.heldStep != view.armed->step && m_releasedPoint != view.armed;
    return isHeldWithoutSwitch || isSwitchUnheld;
}

} // namespace swiftloft::agent
