#include "src/agent/map-planning-options.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::agent;

TEST_CASE("MapPlanningOptions: the forecast bounds copies unless the settings do")
{
    gateway::EngineTraits traits;
    traits.expertMegabytes = 420;
    traits.linkMbps = 44'000;
    traits.spareSlots = 2;
    gateway::AgentSettings settings;
    auto options = mapPlanningOptions(settings, traits);
    CHECK(options.planner.maxCopiesPerRank == 4);
    CHECK(options.planner.maxCopiesPerRankAndLayer == 2);
    CHECK(options.scheduler.copiesPerStage == 1);
    CHECK(options.scheduler.forecast.copyTimePerExpert.count() == Approx(0.0764).epsilon(0.01));
    settings.maxCopyTime = milliseconds(160);
    CHECK(mapPlanningOptions(settings, traits).planner.maxCopiesPerRank == 2);
    traits.linkMbps = 440'000;
    settings.maxCopyTime.reset();
    CHECK(mapPlanningOptions(settings, traits).planner.maxCopiesPerRank == 10);
}
