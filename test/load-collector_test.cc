#include "src/agent/load-collector.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace swiftloft;
using namespace swiftloft::agent;
using namespace swiftloft::expertmap;

namespace {

const MapShape shape { 2, 1, 4, 3 };
const TimePoint start { seconds(100) };

LoadCollector makeCollector()
{
    ReplicaPlanner::Options options;
    options.minTokens = 1;
    return { shape, ReplicaPlanner::create(shape, options).value() };
}

RankLoads loads(std::uint32_t rank, std::uint64_t step, std::vector<std::uint32_t> tokens, std::uint64_t incarnation = 1, std::uint64_t map = 0)
{
    RankLoads out { RankIndex(rank), Incarnation(incarnation), StepNumber(step), MapVersion(map), {}, std::move(tokens) };
    out.held = rank == 0 ? std::vector { ExpertIndex(0), ExpertIndex(2), noExpert } : std::vector { ExpertIndex(1), ExpertIndex(3), noExpert };
    return out;
}

/// Returns 1 for balanced ranks, and 2 if only experts of rank 0 have counts.
double observedImbalance(LoadCollector& it)
{
    it.observe(start);
    return it.planner().imbalance(it.currentMap()->map);
}

} // namespace

TEST_CASE("LoadCollector: the group's map is assembled from the reports of its ranks")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0, 0, 0, 0 }));
    CHECK_FALSE(it.currentMap().has_value());
    it.onLoads(loads(1, 1, { 0, 0, 0, 0 }));
    REQUIRE(it.currentMap().has_value());
    CHECK(it.currentMap()->map.layer(LayerIndex(0))[3] == ExpertIndex(1));
    // One rank already runs the next map. No plan may start from a mixture of maps.
    it.onLoads(loads(1, 2, { 0, 0, 0, 0 }, 1, 4100));
    CHECK_FALSE(it.currentMap().has_value());
}

TEST_CASE("LoadCollector: a rank that reports a slow pace weighs more")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(1, 1, { 0, 0, 0, 0 }));
    auto slow = loads(0, 2, { 100, 0, 0, 0 });
    slow.pace = 1.5;
    it.onLoads(slow);
    it.onLoads(loads(1, 2, { 0, 100, 0, 0 }));
    CHECK(observedImbalance(it) == Approx(1.5));
}

// Guards against an older report that arrives after a newer one. Counts are subtracted modulo 2^16, so the difference
// would be up to 65,535 tokens of one expert that were never processed, and the planner would move experts because of
// them.
TEST_CASE("LoadCollector: reports out of order, of another incarnation or of the wrong size add nothing")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(1, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(0, 5, { 100, 0, 0, 0 }));
    it.onLoads(loads(1, 5, { 0, 100, 0, 0 }));
    it.onLoads(loads(0, 3, { 50, 0, 0, 0 }));
    it.onLoads(loads(0, 6, { 7 }));
    CHECK(observedImbalance(it) == Approx(1));
    it.onLoads(loads(0, 1, { 4'000'000, 0, 0, 0 }, 2));
    it.onLoads(loads(1, 1, { 0, 0, 0, 0 }, 2));
    CHECK(observedImbalance(it) == Approx(1));
}

TEST_CASE("LoadCollector: counts continue when they pass 2^32")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0xfffffff0, 0, 0, 0 }));
    it.onLoads(loads(1, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(0, 2, { 0x10, 0, 0, 0 }));
    it.onLoads(loads(1, 2, { 0, 32, 0, 0 }));
    CHECK(observedImbalance(it) == Approx(1));
}

// Guards against a shift of demand that did not happen: the requests of one rank happen to use one expert, and no other
// rank has reported in the same window.
TEST_CASE("LoadCollector: the planner receives nothing before half of the counting ranks have reported")
{
    ReplicaPlanner::Options options;
    options.minTokens = 1;
    MapShape four { 4, 1, 4, 3 };
    LoadCollector it(four, ReplicaPlanner::create(four, options).value());
    auto report = [&](std::uint32_t rank, std::uint64_t step, std::uint32_t count) {
        RankLoads out { RankIndex(rank), Incarnation(1), StepNumber(step), MapVersion(0), { ExpertIndex(rank), noExpert, noExpert }, { count, 0, 0, 0 } };
        it.onLoads(out);
    };
    for (std::uint32_t rank = 0; rank < 4; ++rank)
        report(rank, 1, 0);
    it.observe(start);
    report(0, 2, 100);
    it.observe(start);
    CHECK_FALSE(it.planner().hasEnoughTokens());
    report(1, 2, 100);
    it.observe(start);
    CHECK(it.planner().hasEnoughTokens());
}

// In a large group only a sample of the ranks reports counts. A rank outside the sample reports only the experts that
// it holds. Its report completes the map, and the collector does not wait for its counts.
TEST_CASE("LoadCollector: a report without counts lists the experts that the rank holds")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(1, 1, {}));
    REQUIRE(it.currentMap().has_value());
    it.onLoads(loads(0, 2, { 9, 0, 0, 0 }));
    CHECK(observedImbalance(it) == Approx(2));
}

// Guards against meaningless differences of counts: datagrams of a rank are lost for seconds, and meanwhile its counts
// wrap around.
TEST_CASE("LoadCollector: counts after a long gap start a new baseline")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(1, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(0, 1000, { 60'000, 0, 0, 0 }));
    it.onLoads(loads(1, 1000, { 0, 5, 0, 0 }));
    it.onLoads(loads(0, 1001, { 60'010, 0, 0, 0 }));
    it.onLoads(loads(1, 1001, { 0, 15, 0, 0 }));
    CHECK(observedImbalance(it) == Approx(1));
}
