#include "test/limited-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;
using swiftloft::test::FleetOptions;
using swiftloft::test::LimitedFleet;

// Failure: each entry sends as if it were the only one, and a server in need gets more than it takes from all together.
TEST_CASE("Server limits: entries together send no more than a server names")
{
    auto rate = GENERATE(0.0, 0.5, 1.0, 3.0);
    FleetOptions options;
    options.seed = GENERATE(1U, 2U, 3U);
    LimitedFleet fleet(options);
    fleet.at(seconds(8), [&] { fleet.limit(3, rate); });
    fleet.at(seconds(30), [&] { fleet.limit(3, std::nullopt); });
    fleet.runUntil(seconds(40));
    INFO("limit " << rate << ", seed " << options.seed);
    CHECK(fleet.broken() == "");
    CHECK(fleet.served() > 0.97 * fleet.asked() - 200);
}
