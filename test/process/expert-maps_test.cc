#include "test/process/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <thread>

using namespace swiftloft;
using namespace swiftloft::process_test;

namespace json = boost::json;

namespace {

constexpr std::size_t ranks = 4;
constexpr seconds waitTimeout { 20 };

/// Four engines that step as one group, with two experts and one spare slot per rank. Reports take effect immediately.
Fleet::Options groupOf(std::vector<std::string> engineOptions)
{
    Fleet::Options options;
    options.engines = ranks;
    options.isRankGroup = true;
    options.engineOptions = std::move(engineOptions);
    options.settings = R"([group ranks]
parent = service model
data-centre = north
ranks = 4
experts = 8
layers = 1
spare-slots-per-rank = 1
load-half-life = 400ms
)";
    return options;
}

json::value mapsPage(const Fleet::Server& server)
{
    auto answer = call({ server.statusAddress(), "GET", "/swiftloft/v1/maps", "", {}, milliseconds(500) });
    return answer.end == replay::ExchangeEnd::Whole ? json::parse(answer.body) : json::value(nullptr);
}

std::string phaseOf(const Fleet::Server& server)
{
    auto page = mapsPage(server);
    auto* object = page.if_object();
    auto* coordinator = object ? object->if_contains("coordinator") : nullptr;
    return coordinator && coordinator->is_object() ? json::value_to<std::string>(coordinator->at("phase")) : "";
}

std::size_t loadedMaps(const Fleet::Server& server)
{
    auto page = mapsPage(server);
    auto* object = page.if_object();
    auto* engine = object ? object->if_contains("engine") : nullptr;
    return engine && engine->is_object() ? engine->at("staged").as_array().size() : 0;
}

/// For each step, the maps with which the group's engines entered it.
std::map<std::uint64_t, std::set<std::uint64_t>> mapsByStep(Fleet& fleet)
{
    std::map<std::uint64_t, std::set<std::uint64_t>> maps;
    for (auto& server : fleet.servers()) {
        auto steps = callJson({ server.backendAddress(), "GET", "/admin/steps" });
        for (auto& row : steps.as_array())
            maps[row.at("step").to_number<std::uint64_t>()].insert(row.at("map_version").to_number<std::uint64_t>());
    }
    return maps;
}

std::size_t mixedSteps(Fleet& fleet)
{
    auto maps = mapsByStep(fleet);
    return static_cast<std::size_t>(std::count_if(maps.begin(), maps.end(), [](auto& it) { return it.second.size() > 1; }));
}

std::uint64_t newestStep(Fleet& fleet)
{
    auto maps = mapsByStep(fleet);
    return maps.empty() ? 0 : maps.rbegin()->first;
}

std::set<std::uint64_t> mapsUsed(Fleet& fleet)
{
    std::set<std::uint64_t> used;
    for (auto& [step, maps] : mapsByStep(fleet))
        used.insert(maps.begin(), maps.end());
    return used;
}

bool waitUntilStepping(Fleet& fleet)
{
    auto begin = newestStep(fleet);
    return waitUntil(Clock::now() + waitTimeout, [&] { return newestStep(fleet) > begin + 20; });
}

/// Routes half of all tokens to one of the eight experts from now on, which makes a replica of that expert worthwhile.
void makeOneExpertHot(Fleet& fleet)
{
    callJson({ fleet.engine(0).backendAddress(), "POST", "/admin/demand", R"({"tokens":[7000,1000,1000,1000,1000,1000,1000,1000]})" });
}

} // namespace

// Demand for one expert rises while a group of four steps. The group must add a replica without a pause, and in no step
// may one rank run the old map and another the new one: tokens would be sent to the wrong experts.
TEST_CASE("Expert maps: a group changes its map while stepping and never mixes maps in a step")
{
    auto checksFencing = GENERATE("yes", "no");
    Fleet fleet(groupOf({ "--check-fencing", checksFencing }));
    REQUIRE(waitUntilStepping(fleet));
    auto before = mapsUsed(fleet);
    REQUIRE(before.size() == 1);

    makeOneExpertHot(fleet);
    REQUIRE(waitUntil(Clock::now() + waitTimeout, [&] { return mapsUsed(fleet).size() > 1; }));
    CHECK(waitUntilStepping(fleet));
    CHECK(mixedSteps(fleet) == 0);
}

// The agent of rank 0 is killed while the ranks load a new map, and restarts without knowledge of the change. The group
// keeps stepping, as loading holds no rank, and changes later; every step has one map.
TEST_CASE("Expert maps: the coordinator is killed while ranks load and no step mixes maps")
{
    Fleet fleet(groupOf({ "--map-load-ms", "150" }));
    REQUIRE(waitUntilStepping(fleet));
    makeOneExpertHot(fleet);
    auto& first = fleet.engine(0);
    REQUIRE(waitUntil(Clock::now() + waitTimeout, [&] { return phaseOf(first) == "staging"; }));
    first.agent->kill();
    CHECK(waitUntilStepping(fleet));
    CHECK(mapsUsed(fleet).size() == 1);
    fleet.startAgent(first);

    CHECK(waitUntil(Clock::now() + waitTimeout, [&] { return mapsUsed(fleet).size() > 1; }));
    CHECK(waitUntilStepping(fleet));
    CHECK(mixedSteps(fleet) == 0);
}

// The agent of rank 1 freezes just after its engine has loaded the new map. The other engines are armed and hold at the
// switch step; the engine of rank 1 is not armed and enters that step with the old map. Then the agent of rank 0 is
// killed. Its replacement has no knowledge of the change and finds armed engines: it may release none of them before
// rank 1 has reported, and then only with the old map. The change takes place later.
TEST_CASE("Expert maps: the coordinator is killed while ranks are armed and no step mixes maps")
{
    Fleet fleet(groupOf({ "--map-load-ms", "150", "--check-fencing", "no" }));
    REQUIRE(waitUntilStepping(fleet));
    makeOneExpertHot(fleet);
    auto& first = fleet.engine(0);
    auto& second = fleet.engine(1);
    REQUIRE(waitUntil(Clock::now() + waitTimeout, [&] { return loadedMaps(second) > 1; }));
    second.agent->pause();
    REQUIRE(waitUntil(Clock::now() + waitTimeout, [&] { return phaseOf(first) == "arming"; }));
    std::this_thread::sleep_for(milliseconds(500));
    first.agent->kill();
    auto heldAt = newestStep(fleet);
    fleet.startAgent(first);
    REQUIRE(waitUntil(Clock::now() + waitTimeout, [&] { return phaseOf(first) == "inquiring"; }));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(newestStep(fleet) == heldAt);
    second.agent->resume();

    CHECK(waitUntilStepping(fleet));
    CHECK(waitUntil(Clock::now() + waitTimeout, [&] { return mapsUsed(fleet).size() > 1; }));
    CHECK(waitUntilStepping(fleet));
    CHECK(mixedSteps(fleet) == 0);
}

// After a change, the instance of rank 2 is replaced: its new engine has no map, and its new agent knows only the
// initial map of the group. If the engine were admitted with that map, the group would mix maps; the group holds until
// the engine has the map in use.
TEST_CASE("Expert maps: a replaced instance joins with the current map of its group")
{
    Fleet fleet(groupOf({}));
    REQUIRE(waitUntilStepping(fleet));
    makeOneExpertHot(fleet);
    REQUIRE(waitUntil(Clock::now() + waitTimeout, [&] { return mapsUsed(fleet).size() > 1; }));
    REQUIRE(waitUntilStepping(fleet));
    auto& replaced = fleet.engine(2);
    replaced.agent->kill();
    replaced.backend->kill();
    fleet.startBackend(replaced);
    fleet.startAgent(replaced);

    CHECK(waitUntilStepping(fleet));
    CHECK(mixedSteps(fleet) == 0);
    auto steps = callJson({ replaced.backendAddress(), "GET", "/admin/steps" });
    REQUIRE_FALSE(steps.as_array().empty());
    CHECK(steps.at(0).at("map_version") == callJson({ fleet.engine(0).backendAddress(), "GET", "/admin/steps" }).as_array().back().at("map_version"));
}
