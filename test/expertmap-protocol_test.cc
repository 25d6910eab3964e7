#include "test/expertmap-fake-group.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace swiftloft;
using namespace swiftloft::expertmap;

namespace {

constexpr MapVersion first = rig::FakeGroup::initial;
constexpr MapVersion second { 200 };

/// A group that has been admitted and steps with the first map.
rig::FakeGroup makeSteppingGroup(const rig::Settings& settings = {})
{
    rig::FakeGroup group(settings);
    REQUIRE(group.runUntil([&] { return group.allRun(first) && group.completedSteps() > 5; }, 400));
    return group;
}

/// Checks that no step was run with two maps, and that after the faults the group steps and runs `version`.
void checkConverges(rig::FakeGroup& group, MapVersion version, int bound = 600)
{
    CHECK(group.runUntil([&] { return group.allRun(version); }, bound));
    auto steps = group.completedSteps();
    group.run(50);
    CHECK(group.completedSteps() >= steps + 40);
    CHECK(group.mixedStep() == 0);
}

} // namespace

TEST_CASE("Map change: without faults no step waits")
{
    auto group = makeSteppingGroup();
    auto held = group.heldTurns();
    group.requestMap(second);
    checkConverges(group, second);
    CHECK(group.heldTurns() == held);
    REQUIRE(group.finished().size() == 1);
}

namespace {

enum class Fault {
    KillAgent,
    FreezeAndWake,
    FreezeReplaceAndWake,
    RestartEngineWithoutMap,
    RestartEngineWithOldMap,
    RestartInstance,
    StoreDown,
};

constexpr Fault faults[] = { Fault::KillAgent, Fault::FreezeAndWake, Fault::FreezeReplaceAndWake, Fault::RestartEngineWithoutMap,
    Fault::RestartEngineWithOldMap, Fault::RestartInstance, Fault::StoreDown };

void beginFault(rig::FakeGroup& group, Fault fault, std::uint32_t rank)
{
    switch (fault) {
    case Fault::KillAgent:
        group.killAgent(rank);
        break;
    case Fault::FreezeAndWake:
    case Fault::FreezeReplaceAndWake:
        group.freeze(rank);
        break;
    case Fault::RestartEngineWithoutMap:
        group.restartEngine(rank);
        break;
    case Fault::RestartEngineWithOldMap:
        group.restartEngine(rank, first);
        break;
    case Fault::RestartInstance:
        group.killAgent(rank);
        group.restartEngine(rank);
        break;
    case Fault::StoreDown:
        group.setStoreUp(false);
        break;
    }
}

/// Ends the fault: the slot has an agent again, and the weight store is up.
void endFault(rig::FakeGroup& group, Fault fault, std::uint32_t rank)
{
    if (fault == Fault::FreezeReplaceAndWake)
        group.replace(rank);
    else if (!group.agent(rank))
        group.startAgent(rank);
    if (fault == Fault::StoreDown)
        group.setStoreUp(true);
}

/// Number of seeds in the test of two faults; each runs a group for some 300 turns.
constexpr int doubleFaultRuns = 2000;

struct Scenario {
    Fault fault { Fault::KillAgent };
    std::uint32_t rank { 0 };
    /// Number of turns from the request for the second map to the start of the fault, from the start to the end of the
    /// fault, and from its end until frozen processes wake.
    int at { 0 };
    int length { 0 };
    int wakeAfter { 0 };
};

struct Outcome {
    std::uint64_t mixedStep { 0 };
    bool hasConverged { false };
    bool hasResumedStepping { false };
    std::uint64_t heldTurns { 0 };
};

Outcome runScenarios(const rig::Settings& settings, const std::vector<Scenario>& scenarios)
{
    rig::FakeGroup group(settings);
    group.runUntil([&] { return group.allRun(first) && group.completedSteps() > 5; }, 600);
    auto heldBefore = group.heldTurns();
    group.requestMap(second);
    for (int turn = 0; turn < 300; ++turn) {
        for (auto& it : scenarios) {
            if (turn == it.at)
                beginFault(group, it.fault, it.rank);
            if (turn == it.at + it.length)
                endFault(group, it.fault, it.rank);
            if (turn == it.at + it.length + it.wakeAfter)
                group.wakeAll();
        }
        group.turn();
    }
    group.setFaults({});
    group.wakeAll();
    Outcome outcome;
    outcome.hasConverged = group.runUntil([&] { return group.allRun(second); }, 1500);
    outcome.heldTurns = group.heldTurns() - heldBefore;
    auto steps = group.completedSteps();
    group.run(50);
    outcome.hasResumedStepping = group.completedSteps() >= steps + 40;
    outcome.mixedStep = group.mixedStep();
    return outcome;
}

void checkOutcome(const Outcome& outcome)
{
    CHECK(outcome.mixedStep == 0);
    CHECK(outcome.hasConverged);
    CHECK(outcome.hasResumedStepping);
}

} // namespace

TEST_CASE("Map change: one fault at any turn, on any rank, leaves one map in every step")
{
    // Guards against a group that stalls or returns wrong results after a restart. One agent, engine or instance fails
    // at some turn of a change, from before staging to after the last confirmation, and recovers; frozen processes wake
    // after their replacement has started. Meanwhile messages are delayed, duplicated, reordered and lost.
    for (bool checksFences : { false, true }) {
        for (auto fault : faults) {
            for (std::uint32_t rank : { 0u, 2u }) {
                for (int at = 0; at < 110; at += 2) {
                    rig::Settings settings { 4, checksFences, 20, static_cast<std::uint64_t>(at) * 7 + 1, { 3, 0.05, 0.1 } };
                    CAPTURE(checksFences, static_cast<int>(fault), rank, at);
                    checkOutcome(runScenarios(settings, { { fault, rank, at, 30, 25 } }));
                }
            }
        }
    }
}

TEST_CASE("Map change: two faults together leave one map in every step")
{
    // Guards against a group that stalls or returns wrong results after a rack fails: two ranks fail at the same time
    // or shortly after one another, with or without rank 0, and old processes of both slots wake up late and send
    // orders that they decided on long ago.
    std::mt19937_64 random(2026);
    auto draw = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
    for (int n = 0; n < doubleFaultRuns; ++n) {
        rig::Settings settings { static_cast<std::uint32_t>(draw(2, 5)), n % 2 == 0, draw(5, 30), random(), { draw(0, 4), 0.1, 0.2 } };
        std::vector<Scenario> scenarios;
        scenarios.reserve(2);
        for (int k = 0; k < 2; ++k)
            scenarios.push_back({ faults[draw(0, std::size(faults) - 1)], static_cast<std::uint32_t>(draw(0, static_cast<int>(settings.ranks) - 1)), draw(0, 110), draw(1, 60), draw(0, 60) });
        auto text = [](auto& it) { return fmt::format("fault {} rank {} at {} length {} wake {}", static_cast<int>(it.fault), it.rank, it.at, it.length, it.wakeAfter); };
        CAPTURE(n, settings.checksFences, settings.ranks, text(scenarios[0]), text(scenarios[1]));
        checkOutcome(runScenarios(settings, scenarios));
    }
}

namespace {

constexpr const char* faultNames[] = { "agent killed", "agent frozen", "agent frozen, replaced", "engine restarted empty", "engine restarted with old map",
    "instance restarted", "weight store down" };

/// Numbers of turns in which the group held, one for each turn of a change at which the fault began, in rising order.
std::vector<std::uint64_t> sortedHeldTurns(Fault fault, std::uint32_t rank, int length)
{
    std::vector<std::uint64_t> heldTurns;
    heldTurns.reserve(110);
    for (int at = 0; at < 110; ++at)
        heldTurns.push_back(runScenarios({ 4, false, 20, static_cast<std::uint64_t>(at) + 1, {} }, { { fault, rank, at, length, 25 } }).heldTurns);
    std::sort(heldTurns.begin(), heldTurns.end());
    return heldTurns;
}

} // namespace

TEST_CASE("Map change: a fault stops the group for no longer than it lasts and a bounded number of steps")
{
    // Clients wait while a group holds. The outage of an agent stops the group only if a switch step is reached
    // meanwhile. A restarted engine stops the group until it has loaded the current map, and possibly the next one, and
    // is admitted.
    constexpr int outage = 30;
    constexpr std::uint64_t loadTurns = 20;
    constexpr std::uint64_t maxResolveTurns = 2 * loadTurns + 40;
    for (auto fault : faults) {
        for (std::uint32_t rank : { 0u, 2u }) {
            auto heldTurns = sortedHeldTurns(fault, rank, outage);
            CAPTURE(faultNames[static_cast<int>(fault)], rank);
            bool isEngineUp = fault == Fault::KillAgent || fault == Fault::FreezeAndWake || fault == Fault::FreezeReplaceAndWake;
            CHECK(heldTurns.back() <= outage + maxResolveTurns);
            if (isEngineUp)
                CHECK(heldTurns[heldTurns.size() / 2] == 0);
            if (fault == Fault::StoreDown)
                CHECK(heldTurns.back() == 0);
        }
    }
}

TEST_CASE("Table of pauses in steps", "[pauses]")
{
    for (int outage : { 0, 30, 100 }) {
        for (auto fault : faults) {
            for (std::uint32_t rank : { 0u, 2u }) {
                auto heldTurns = sortedHeldTurns(fault, rank, outage);
                fmt::print("outage {:3} turns, {:30} rank {}: median {:3} p90 {:3} max {:3}\n", outage, faultNames[static_cast<int>(fault)], rank, heldTurns[heldTurns.size() / 2],
                    heldTurns[heldTurns.size() * 9 / 10], heldTurns.back());
            }
        }
    }
}
