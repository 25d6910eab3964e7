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

/// A read of the engine: it is on the same instance, and an answer takes about a millisecond, also from a busy one.
constexpr milliseconds responseTimeout { 40 };
/// A command without an answer after this long is sent again: ten times what an answer takes.
constexpr milliseconds resendTimeout { 12 };
/// Sends of one command. With a third of all answers lost, one command in two hundred gets none of these, and is left to the
/// coordinator's repeat.
constexpr int maxSends = 5;
/// Weights that are not loaded after this long are asked for again: the command was lost, or gave way to another.
constexpr milliseconds prepareRetryInterval { 2500 };
/// Commands of an earlier agent of this slot can have fences at most so much higher, when the time of day was set back
/// between the two.
constexpr std::uint64_t fenceJump = 10'000'000;
/// A command to the neighbour is not waited for any longer: rank 0 holds the group meanwhile, and the neighbour's own agent
/// mends what is left.
constexpr milliseconds neighbourTimeout = resendTimeout;
/// Time for which only the neighbour is held: a few round trips between instances. Changes take so much longer.
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
        throw Exception({ ErrorCode::Stale, "the group of the engine has ended" });
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

/// Failure: the engine takes a command, gives no answer and carries it out seconds later; until it is repeated, the group
/// runs on with the old map or stands at the switch. Repeated by the coordinator, each lost answer cost 75 ms, and the
/// group stood for 260 ms at a switch. A late copy does no harm where it can but do again what the protocol has gone on
/// from, or names a step that has begun; what is sent once only says why.
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
    // Others are reads here: engines are admitted when their group opens, and drop a loaded map for the next one.
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
    // Failure: a group that nobody holds reaches the step before all ranks are armed, and tokens of one step are computed
    // under two maps. The hold comes before any rank is armed, and is confirmed.
    if (m_holdsGroup && view.heldStep != point.step && !co_await hold(point))
        co_return;
    if (!view.armed)
        co_await command(EngineCommand::Kind::Arm, point.version, point.step);
}

/// Failure: the coordinator's machine, and with it the way to its engine, stands still for seconds right after it has begun
/// to hold the group; nobody can release the engine, and every stream of the group pauses until the machine wakes. Held
/// first, another engine shows for a moment whether this machine goes on. If it does not, that engine's agent finds a
/// hold without a switch and releases it within a tenth of a second.
asio::awaitable<bool> RankEngine::hold(SwitchPoint point)
{
    if (!m_neighbour)
        co_return co_await command(EngineCommand::Kind::Hold, point.version, point.step);
    co_await sendToNeighbour(EngineCommand::Kind::Hold, point.step);
    asio::steady_timer pause(co_await asio::this_coro::executor, Clock::now() + neighbourHoldTime);
    co_await pause.async_wait(asio::use_awaitable);
    bool isHeld = co_await command(EngineCommand::Kind::Hold, point.version, point.step);
    // Failure: left to its agent, the neighbour's hold would stop the group for as long as that machine stands still.
    co_await sendToNeighbour(EngineCommand::Kind::Release, point.step);
    co_return isHeld;
}

asio::awaitable<void> RankEngine::sendToNeighbour(EngineCommand::Kind kind, StepNumber step)
{
    try {
        // Without a fence: the commands of that engine's own agent must not be refused for this one.
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
    // Failure: released first, the rank would enter the step with the new map. Sent once, as a disarm names no step: a late
    // copy would disarm the rank for the same map at a later step, when others may have been released for it.
    if (co_await commandOnce(EngineCommand::Kind::Disarm, point.version, point.step) && view.heldStep == point.step)
        co_await command(EngineCommand::Kind::Release, point.version, point.step);
}

asio::awaitable<void> RankEngine::repair(EngineView view)
{
    if (!needsRepair(view))
        co_return;
    // Failure: the view was read while an order was on its way, between its hold and its switch. Released by it, the rank
    // would enter the step with the new map, and the others with the old one. No order is in progress now, so what the
    // engine shows here is what it holds.
    view = co_await read();
    if (!needsRepair(view))
        co_return;
    // Failure: the answer to a hold was lost and the hold came seconds later, or the agent died between the hold and the
    // switch. The group would stand at that step for good. A rank that is not armed has nothing to wait for.
    if (view.heldStep && !view.armed) {
        // Sent once: a late copy would release the rank after it has been armed for that step.
        co_await commandOnce(EngineCommand::Kind::Release, view.map, *view.heldStep);
        co_return;
    }
    // Failure: this agent has just started and finds a switch without a hold. Its predecessor may have released it, or a
    // late copy of its command may have armed the rank alone. Held again, the rank waits for the coordinator's word.
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
