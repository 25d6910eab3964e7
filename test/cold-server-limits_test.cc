#include "src/gateway/cold-server-limits.h"

#include "src/gateway/snapshot.h"
#include "test/cold-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;
using Catch::Matchers::Equals;
using swiftloft::test::ColdFleet;
using swiftloft::test::ColdFleetOptions;

namespace {

/// The rule of the platform for a server that accepts 17 requests a second while it is cold.
constexpr double overshoot { 1.5 };
constexpr double slack { 5 };

ColdFleetOptions optionsOf(int entries, int servers, std::uint64_t seed)
{
    ColdFleetOptions options;
    options.entries = entries;
    options.servers = servers;
    options.limits = { overshoot, slack };
    options.seed = seed;
    return options;
}

} // namespace

// Guards against this failure: each entry sends to a cold server as if it were alone, and the server crashes. Entries
// start together after a loss of power and learn of each other one by one, some are cut off, restarted or lost.
TEST_CASE("Cold servers: no server gets more in one second than the platform tolerates")
{
    auto entries = GENERATE(6, 33, 90);
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        auto options = optionsOf(entries, 1 + static_cast<int>(seed % 7), seed);
        ColdFleet fleet(options);
        fleet.run(seconds(8));
        INFO("entries " << entries << ", servers " << options.servers << ", seed " << seed);
        REQUIRE_THAT(fleet.violation(), Equals(""));
    }
}

// Guards against this failure: the bound is kept by sending far less than a cold server accepts.
TEST_CASE("Cold servers: nine tenths of what a cold server accepts is used while requests wait")
{
    auto options = optionsOf(33, 4, 7);
    options.hasFaults = false;
    ColdFleet fleet(options);
    constexpr int warmUp = 2;
    constexpr int measured = 6;
    fleet.run(seconds(warmUp));
    auto before = fleet.received();
    fleet.run(seconds(measured));
    auto accepted = options.rate * options.servers * measured;
    auto used = (fleet.received() - before) / accepted;
    INFO("used " << used << " of the " << accepted << " requests that the servers accept");
    // Each of 17 permits is used once in 1.05 s.
    CHECK(used >= 0.9);
}

// Guards against this failure: an entry that has just started knows nobody, takes all permits for its own and sends.
TEST_CASE("Cold servers: an entry sends nothing to cold servers until it knows its neighbours")
{
    auto options = optionsOf(1, 1, 1);
    options.hasFaults = false;
    ColdFleet fleet(options);
    fleet.run(ColdServerLimits::settleTime - milliseconds(50));
    CHECK(fleet.received() == 0);
    fleet.run(seconds(1));
    CHECK(fleet.received() > 0);
}

TEST_CASE("Cold servers: a server of a service without a limit is not restricted")
{
    auto options = optionsOf(3, 1, 1);
    options.hasFaults = false;
    options.rate = 0;
    ColdFleet fleet(options);
    fleet.run(milliseconds(10));
    CHECK(fleet.received() > 0);
}
