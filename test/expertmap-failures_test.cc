#include "test/expertmap-fake-group.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::expertmap;

namespace {

constexpr MapVersion first = rig::FakeGroup::initial;
constexpr MapVersion second { 200 };
constexpr MapVersion third { 300 };

rig::FakeGroup makeSteppingGroup(const rig::Settings& settings = {})
{
    rig::FakeGroup group(settings);
    REQUIRE(group.runUntil([&] { return group.allRun(first) && group.completedSteps() > 5; }, 400));
    return group;
}

bool runUntilPhase(rig::FakeGroup& group, CoordinatorPhase phase)
{
    return group.runUntil([&] { return group.coordinator()->phase() == phase; }, 400);
}

std::size_t countRanksRunning(const rig::FakeGroup& group, MapVersion version)
{
    std::size_t n = 0;
    for (std::uint32_t r = 0; r < group.ranks(); ++r)
        n += group.engine(r).status.current == version;
    return n;
}

bool isAnyRankHeld(const rig::FakeGroup& group)
{
    for (std::uint32_t r = 0; r < group.ranks(); ++r) {
        auto& status = group.engine(r).status;
        if (status.armed && !status.isReleased)
            return true;
    }
    return false;
}

void checkConverges(rig::FakeGroup& group, MapVersion version, int bound = 600)
{
    CHECK(group.runUntil([&] { return group.allRun(version); }, bound));
    auto steps = group.completedSteps();
    group.run(50);
    CHECK(group.completedSteps() >= steps + 40);
    CHECK(group.mixedStep() == 0);
}

/// An order as a coordinator with this fencing counter sends it.
EngineOrder orderFrom(std::uint64_t counter, const Order& order)
{
    return { 1, { counter, Incarnation(7) }, order };
}

} // namespace

TEST_CASE("Coordinator killed between its confirmations: the held ranks follow those that have switched")
{
    // Guards against a group that stops permanently or returns wrong results. The coordinator dies after one rank was
    // sent `Go` and has entered the switch step with the new map, while the others hold. Its successor does not know
    // about the change: it has to read the ranks and must not cancel the change.
    auto group = makeSteppingGroup();
    group.requestMap(second);
    REQUIRE(runUntilPhase(group, CoordinatorPhase::Confirming));
    for (std::uint32_t r = 1; r < group.ranks(); ++r)
        group.killAgent(r);
    REQUIRE(group.runUntil([&] { return countRanksRunning(group, second) > 0; }, 400));
    group.withdrawRequest();
    group.killAgent(0);
    group.run(30);
    REQUIRE(isAnyRankHeld(group));
    for (std::uint32_t r = 0; r < group.ranks(); ++r)
        group.startAgent(r);
    checkConverges(group, second);
}

TEST_CASE("Coordinator killed when all ranks are armed: its successor completes the switch")
{
    // The group holds at the switch step and no rank has received a `Go`. A `Go` of the dead coordinator may still be
    // in a socket buffer, so cancelling the change could let a single rank continue with the new map.
    auto group = makeSteppingGroup();
    group.requestMap(second);
    REQUIRE(runUntilPhase(group, CoordinatorPhase::Confirming));
    group.withdrawRequest();
    group.killAgent(0);
    group.startAgent(0);
    checkConverges(group, second);
}

TEST_CASE("Coordinator frozen and woken after its replacement: it steps down without effect on the group")
{
    // An operator replaces a hung agent. Minutes later the old process wakes and continues with a change that its
    // successor has finished, and requests a third map. Its fencing number is older, so no rank follows it.
    for (bool checksFences : { false, true }) {
        CAPTURE(checksFences);
        auto group = makeSteppingGroup({ 4, checksFences });
        group.requestMap(second);
        REQUIRE(runUntilPhase(group, CoordinatorPhase::Arming));
        auto* old = group.coordinator();
        group.freeze(0);
        group.run(10);
        group.replace(0);
        REQUIRE(group.runUntil([&] { return group.allRun(second); }, 600));
        group.wakeAll();
        group.run(100);
        CHECK(old->phase() == CoordinatorPhase::SteppedDown);
        checkConverges(group, second);
    }
}

TEST_CASE("Late order to arm, on an engine that ignores fencing numbers: the group settles on one map")
{
    // Guards against one rank that holds while no change is in progress. An agent that was frozen long ago wakes and
    // writes its order straight to an engine that does not check fencing numbers. The switch point lies ahead; either
    // every rank must switch there or none.
    for (std::uint32_t rank : { 0u, 3u }) {
        CAPTURE(rank);
        auto group = makeSteppingGroup();
        group.requestMap(second);
        REQUIRE(runUntilPhase(group, CoordinatorPhase::Arming));
        SwitchPoint point { second, StepNumber(group.completedSteps() + 5) };
        group.writeToEngine(rank, orderFrom(1, Arm { point }));
        checkConverges(group, second);
    }
}

TEST_CASE("Late orders to go and to cancel: an engine that is not armed for their switch point ignores them")
{
    // A frozen agent wakes and writes an order of a change that has long been finished or cancelled. The engine ignores
    // fencing numbers, but the order names its switch point and the engine is not armed for that switch point.
    auto group = makeSteppingGroup();
    SwitchPoint old { third, StepNumber(3) };
    group.writeToEngine(1, orderFrom(1, Go { old }));
    group.requestMap(second);
    REQUIRE(group.runUntil([&] { return isAnyRankHeld(group); }, 400));
    group.writeToEngine(0, orderFrom(1, Go { old }));
    group.writeToEngine(0, orderFrom(1, Cancel { old }));
    checkConverges(group, second);
}

TEST_CASE("Engine restarted while the group holds: it comes back armed")
{
    // An engine dies just as the last rank is armed, and its instance restarts the engine without a map or with the map
    // of its first start. If the engine stepped with that map, the others would run the new map at the same time.
    for (bool hasOldMap : { false, true }) {
        CAPTURE(hasOldMap);
        auto group = makeSteppingGroup();
        group.requestMap(second);
        REQUIRE(group.runUntil([&] { return countRanksRunning(group, second) > 0; }, 400));
        group.restartEngine(2, hasOldMap ? std::optional(first) : std::nullopt);
        checkConverges(group, second);
    }
}

TEST_CASE("Whole group restarted: rank 0 is admitted first and the others follow its map")
{
    // After a power cut all engines start empty. A late order of an earlier coordinator admits rank 0 with another map
    // than the one requested now. If all ranks were admitted together, two maps would run at the same time.
    auto group = makeSteppingGroup();
    group.requestMap(second);
    REQUIRE(group.runUntil([&] { return group.allRun(second); }, 600));
    for (std::uint32_t r = 0; r < group.ranks(); ++r)
        group.restartEngine(r, first);
    group.writeToEngine(0, orderFrom(1, Admit { first, std::nullopt }));
    checkConverges(group, second);
}

TEST_CASE("Weight store down: the group keeps stepping with the old map and changes once the store is back")
{
    // Requests must not stall while the weight store is unreachable. Staging runs beside the steps and no rank is armed
    // before every rank has the map, so an outage of any length delays no step.
    auto group = makeSteppingGroup();
    group.setStoreUp(false);
    group.requestMap(second);
    auto held = group.heldTurns();
    group.run(300);
    CHECK(group.coordinator()->phase() == CoordinatorPhase::Staging);
    CHECK(group.heldTurns() == held);
    group.setStoreUp(true);
    checkConverges(group, second);
    CHECK(group.heldTurns() == held);
}

TEST_CASE("Settings edited during a change: it is withdrawn before a rank is armed and completed after that")
{
    // An operator changes the weights in the settings while a change is in progress. Before any rank is armed, the
    // group keeps the old map. Once rank 0 may be armed, the group first finishes the change and then follows the newer
    // request. No rank is left holding.
    auto group = makeSteppingGroup();
    group.requestMap(second);
    REQUIRE(runUntilPhase(group, CoordinatorPhase::Staging));
    group.run(10);
    group.withdrawRequest();
    group.run(200);
    CHECK(group.finished().empty());
    checkConverges(group, first);

    group.requestMap(second);
    REQUIRE(group.runUntil([&] { return isAnyRankHeld(group); }, 400));
    group.requestMap(third);
    checkConverges(group, third);
    REQUIRE(group.finished().size() == 2);
    CHECK(group.finished()[0].version == second);
}

TEST_CASE("Switch step chosen too close: the change is postponed and no rank stays held")
{
    // Guards against a group that hangs at a step during a map change. Messages take longer than the lead, so some rank
    // enters the switch step with the old map while rank 0 is armed and holds.
    auto group = makeSteppingGroup({ 4, false, 20, 9, { 60, 0, 0 } });
    group.requestMap(second);
    group.run(800);
    group.setFaults({});
    checkConverges(group, second, 2000);
}

TEST_CASE("Order for an earlier incarnation of the engine: the agent does not forward it")
{
    // Guards against a rank that holds forever after its engine restarted: the order was meant for the engine's earlier
    // incarnation.
    auto agent = RankAgent::create({ RankIndex(1), Incarnation(5), true }).value();
    TimePoint now;
    agent.start(now);
    EngineStatus status { Incarnation(50), true, first };
    agent.apply(now, rank::EngineResponded { 1, status, {} });
    agent.apply(now, rank::EngineDisconnected {});
    FencingNumber fence { 1, Incarnation(9) };
    auto effects = agent.apply(now, rank::OrderReceived { { fence, 1, RankIndex(1), Incarnation(50), Arm { { second, StepNumber(9) } } } });
    REQUIRE(effects.size() == 1);
    CHECK(std::holds_alternative<ReadStatus>(std::get<rank::SendToEngine>(effects[0]).order.order));
    status.engine = Incarnation(51);
    effects = agent.apply(now, rank::EngineResponded { 2, status, {} });
    REQUIRE(effects.size() == 1);
    CHECK(std::get<rank::SendReport>(effects[0]).report.status == status);
}

TEST_CASE("Response after its timeout: it is not taken for the response to the next order")
{
    // Guards against a status page that shows a rank as armed although it is not. The engine responded to a read after
    // the deadline, while the next read was in flight.
    auto agent = RankAgent::create({ RankIndex(1), Incarnation(5) }).value();
    TimePoint now;
    agent.start(now);
    now += milliseconds(60);
    agent.apply(now, rank::Ticked {});
    agent.apply(now, rank::OrderReceived { { { 1, Incarnation(9) }, 1, RankIndex(1), std::nullopt, ReadStatus {} } });
    CHECK(agent.apply(now, rank::EngineResponded { 1, {}, {} }).empty());
    CHECK_FALSE(agent.status());
}

TEST_CASE("Coordinator and rank agent reject invalid options")
{
    CHECK(Coordinator::create({ Incarnation(0), 4 }).error().code == ErrorCode::InvalidArgument);
    CHECK(Coordinator::create({ Incarnation(1), 0 }).error().code == ErrorCode::InvalidArgument);
    CHECK(RankAgent::create({ RankIndex(0), Incarnation(0) }).error().code == ErrorCode::InvalidArgument);
}
