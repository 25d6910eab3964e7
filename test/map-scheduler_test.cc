#include "src/agent/map-scheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace swiftloft;
using namespace swiftloft::agent;
using namespace swiftloft::expertmap;

namespace {

const MapShape shape { 2, 1, 4, 3 };
const TimePoint start { seconds(100) };
constexpr milliseconds basePassTime { 35 };

/// A group of two ranks with two experts and a spare slot each. Every report increases the counts of the ranks by
/// `demand`.
struct Rig {
    Rig()
    {
        ReplicaPlanner::Options options;
        options.minTokens = 1;
        options.minGain = 0.15;
        MapScheduler::Hooks hooks;
        hooks.onMapChangeRequested = [this](auto& map, auto& plan, auto) {
            requestedMaps.push_back(map);
            plannedImbalance = plan.plannedImbalance;
        };
        hooks.onMapChangeWithdrawn = [this](auto reason) {
            ++withdrawals;
            withdrawalReason = reason;
        };
        hooks.onMapChangeJudged = [this](auto, auto seen) { seenImbalances.push_back(seen); };
        hooks.onPlanned = [this](auto&, auto) { ++plans; };
        hooks.onNotPlanned = [this](auto reason, auto& detail) { reasons.push_back(std::string(reason) + " " + detail); };
        MapScheduler::Options schedulerOptions { basePassTime, { milliseconds(20), 0.4, ForecastTime(0) } };
        scheduler.emplace(LoadCollector(shape, ReplicaPlanner::create(shape, options).value()), schedulerOptions, 0, std::move(hooks));
    }

    void report(std::vector<std::uint32_t> demand)
    {
        for (std::size_t n = 0; n < counted.size(); ++n)
            counted[n] += demand[n];
        ++step;
        for (std::uint32_t rank = 0; rank < 2; ++rank) {
            RankLoads loads { RankIndex(rank), Incarnation(1), StepNumber(step), MapVersion(0), {}, counted };
            loads.held = rank == 0 ? std::vector { ExpertIndex(0), ExpertIndex(2), noExpert } : std::vector { ExpertIndex(1), ExpertIndex(3), noExpert };
            scheduler->onLoads(loads);
        }
    }
    void tick(milliseconds elapsed, CoordinatorPhase phase = CoordinatorPhase::Idle)
    {
        now += elapsed;
        scheduler->tick(now, phase, StepNumber(engineStep), std::nullopt, generator);
    }

    TimePoint now { start };
    std::vector<std::uint32_t> counted = std::vector<std::uint32_t>(4);
    std::uint64_t step { 0 };
    /// Last step that the engine of rank 0 has begun.
    std::uint64_t engineStep { 0 };
    policy::Generator generator { 3 };
    std::optional<MapScheduler> scheduler;
    std::vector<VersionedMap> requestedMaps;
    int withdrawals { 0 };
    std::string withdrawalReason;
    double plannedImbalance { 0 };
    std::vector<double> seenImbalances;
    int plans { 0 };
    std::vector<std::string> reasons;
};

const std::vector<std::uint32_t> even { 100, 100, 100, 100 };
const std::vector<std::uint32_t> uneven { 400, 10, 400, 10 };
const std::vector<std::uint32_t> opposite { 10, 400, 10, 400 };

} // namespace

TEST_CASE("MapScheduler: requests a map for unbalanced ranks, one at a time")
{
    Rig rig;
    rig.report(uneven);
    rig.report(uneven);
    rig.tick(milliseconds(50));
    REQUIRE(rig.requestedMaps.size() == 1);
    rig.tick(milliseconds(50), CoordinatorPhase::Staging);
    rig.tick(milliseconds(50));
    CHECK(rig.requestedMaps.size() == 1);
    rig.scheduler->onMapChanged(rig.now, rig.requestedMaps[0].version);
    rig.tick(MapScheduler::reportDelay - milliseconds(51));
    CHECK(rig.requestedMaps.size() == 1);
    rig.report(opposite);
    rig.tick(milliseconds(1));
    rig.report(opposite);
    rig.tick(MapScheduler::settleTime);
    REQUIRE(rig.requestedMaps.size() == 2);
    CHECK(rig.requestedMaps[1].version > rig.requestedMaps[0].version);
}

// Guards against a link that is idle between two changes: the ranks report a new map only with their next counts, and
// the next change was planned after that.
TEST_CASE("MapScheduler: plans from the new map before the ranks have reported it")
{
    Rig rig;
    rig.report(uneven);
    rig.report(uneven);
    rig.tick(milliseconds(50));
    REQUIRE(rig.requestedMaps.size() == 1);
    auto before = rig.scheduler->imbalance(rig.now);
    rig.scheduler->onMapChanged(rig.now, rig.requestedMaps[0].version);
    CHECK(rig.scheduler->imbalance(rig.now) == Approx(rig.plannedImbalance));
    CHECK(rig.plannedImbalance < before);
    rig.tick(milliseconds(0));
    CHECK(rig.requestedMaps.size() == 1);
    REQUIRE(rig.seenImbalances.size() == 1);
    CHECK(rig.seenImbalances[0] == Approx(rig.plannedImbalance));
}

// Guards against a change that copies for a demand that has ended. The group would take the map, and the next change
// would begin only after that.
TEST_CASE("MapScheduler: withdraws a change that a shift overtakes while ranks copy, but not once they are being armed")
{
    for (auto phase : { CoordinatorPhase::Staging, CoordinatorPhase::Arming, CoordinatorPhase::Confirming }) {
        Rig rig;
        rig.report(uneven);
        rig.report(uneven);
        rig.tick(milliseconds(50));
        REQUIRE(rig.requestedMaps.size() == 1);
        rig.report(opposite);
        rig.tick(milliseconds(50), phase);
        bool isCopying = phase == CoordinatorPhase::Staging;
        CHECK(rig.withdrawals == (isCopying ? 1 : 0));
        CHECK(rig.withdrawalReason == (isCopying ? "overtaken" : ""));
        rig.report(opposite);
        rig.tick(MapScheduler::settleTime);
        CHECK(rig.requestedMaps.size() == (isCopying ? 2 : 1));
    }
}

// Guards against a change that blocks all later ones: a rank can't load the weights of a map, so the change does not
// complete. Unless it is withdrawn, the group does not follow the next shift of demand.
TEST_CASE("MapScheduler: withdraws a map change that does not complete in time")
{
    Rig rig;
    rig.report(uneven);
    rig.report(uneven);
    rig.tick(milliseconds(50));
    rig.tick(MapScheduler::changeTimeout - milliseconds(1), CoordinatorPhase::Staging);
    CHECK(rig.withdrawals == 0);
    rig.tick(milliseconds(1), CoordinatorPhase::Staging);
    CHECK(rig.withdrawals == 1);
    CHECK(rig.withdrawalReason == "timeout");
}

// Guards against planning that delays the reads of the engine. On a slot of 0.15 cores, a plan took a quarter of a
// second and was repeated at every poll, on the thread that also reads the engine. Reads timed out, and counts of the
// next demand arrived late.
TEST_CASE("MapScheduler: a rejected plan is repeated only after a delay or a shift of demand")
{
    Rig rig;
    for (int n = 0; n < 20; ++n) {
        rig.report(even);
        rig.tick(milliseconds(10));
    }
    CHECK(rig.requestedMaps.empty());
    CHECK(rig.plans == 1);
    REQUIRE(rig.reasons.size() == 1);
    CHECK(rig.reasons[0] == "demand-unknown imbalance=0.00 gain=0.000");
    rig.report(uneven);
    rig.tick(milliseconds(10));
    rig.report(uneven);
    rig.tick(MapScheduler::settleTime);
    CHECK(rig.plans == 2);
    CHECK(rig.requestedMaps.size() == 1);
}

TEST_CASE("MapScheduler: names the ranks whose map is unknown")
{
    Rig rig;
    rig.tick(milliseconds(50));
    REQUIRE(rig.reasons.size() == 1);
    CHECK(rig.reasons[0] == "ranks-unknown ranks=0,1");
    rig.tick(MapScheduler::unplannedLogInterval - milliseconds(1));
    CHECK(rig.reasons.size() == 1);
}

// Guards against a late first change. After a power loss a group forms again with a map that suits no demand, and all
// of its streams are slow until the first change. Rank 0 polled before its ranks had counted any tokens, found no
// change worth making, and tried again only a quarter of a second later.
TEST_CASE("MapScheduler: plans as soon as demand is known")
{
    Rig rig;
    rig.report(uneven);
    rig.tick(milliseconds(50));
    CHECK(rig.requestedMaps.empty());
    rig.report(uneven);
    rig.tick(milliseconds(50));
    CHECK(rig.requestedMaps.size() == 1);
}

// Guards against useless copies. When hundreds of groups share the work of a few, each group would copy experts with
// every shift of demand. No request would get faster, because a pass with little work lasts as long with any map. In a
// busy group the same imbalance delays all streams, so a busy group must change its map.
TEST_CASE("MapScheduler: a group with little work keeps its map, and a busy group changes it")
{
    auto requestsWithPassTime = [](milliseconds passTime) {
        Rig rig;
        rig.report(even);
        for (int n = 0; n < 12; ++n) {
            ++rig.engineStep;
            rig.tick(passTime);
        }
        rig.requestedMaps.clear();
        rig.report(uneven);
        rig.report(uneven);
        rig.tick(milliseconds(300));
        rig.tick(milliseconds(300));
        return rig.requestedMaps.size();
    };
    CHECK(requestsWithPassTime(basePassTime + milliseconds(3)) == 0);
    CHECK(requestsWithPassTime(4 * basePassTime) == 1);
}
