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

/// 1 is even; counts on experts of rank 0 alone give 2.
double observedImbalance(LoadCollector& it)
{
    it.observe(start);
    return it.planner().imbalance(it.currentMap()->map);
}

} // namespace

TEST_CASE("LoadCollector: the group's map is put together from its ranks")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0, 0, 0, 0 }));
    CHECK_FALSE(it.currentMap().has_value());
    it.onLoads(loads(1, 1, { 0, 0, 0, 0 }));
    REQUIRE(it.currentMap().has_value());
    CHECK(it.currentMap()->map.layer(LayerIndex(0))[3] == ExpertIndex(1));
    // One rank already runs the next map: nothing is planned from a mixture.
    it.onLoads(loads(1, 2, { 0, 0, 0, 0 }, 1, 4100));
    CHECK_FALSE(it.currentMap().has_value());
}

TEST_CASE("LoadCollector: a rank that says that it is slow weighs more")
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

// An older report arrives behind a newer one. Its difference, taken modulo 2^32, would be four billion tokens of one expert
// and the planner would move everything.
TEST_CASE("LoadCollector: reports out of order, of another life or of the wrong size add nothing")
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

TEST_CASE("LoadCollector: counts that pass 2^32 go on")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0xfffffff0, 0, 0, 0 }));
    it.onLoads(loads(1, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(0, 2, { 0x10, 0, 0, 0 }));
    it.onLoads(loads(1, 2, { 0, 32, 0, 0 }));
    CHECK(observedImbalance(it) == Approx(1));
}

// One rank's requests happen to ask for one expert. Alone in a window they would pass for a shift of the whole demand.
TEST_CASE("LoadCollector: the planner sees nothing before half of the ranks that count have told")
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
    CHECK_FALSE(it.planner().isKnown());
    report(1, 2, 100);
    it.observe(start);
    CHECK(it.planner().isKnown());
}

// A rank outside the sample tells only what it holds; the map is known with it and its counts are not missed.
TEST_CASE("LoadCollector: a report without counts tells what the rank holds")
{
    auto it = makeCollector();
    it.onLoads(loads(0, 1, { 0, 0, 0, 0 }));
    it.onLoads(loads(1, 1, {}));
    REQUIRE(it.currentMap().has_value());
    it.onLoads(loads(0, 2, { 9, 0, 0, 0 }));
    CHECK(observedImbalance(it) == Approx(2));
}

// Datagrams of a rank are lost for seconds. Its counts have gone round meanwhile and their difference is chance.
TEST_CASE("LoadCollector: counts behind a long silence are a new beginning")
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
