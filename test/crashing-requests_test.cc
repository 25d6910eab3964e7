#include "test/gateway-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using swiftloft::test::FleetOptions;
using swiftloft::test::GatewayFleet;

namespace {

constexpr std::size_t crashingBody { 1 };

/// Draws the time from the end of a request until its client sends it again.
std::function<milliseconds()> pauses(std::uint64_t seed, int least, int most)
{
    return [random = std::mt19937_64(seed), draw = std::uniform_int_distribution<int>(least, most)]() mutable { return milliseconds(draw(random)); };
}

} // namespace

// Guards against this failure: a request crashes each server that begins to run it, comes again, and is sent to one
// server after the other.
TEST_CASE("Crashing requests: a request that has crashed three servers is no longer sent to servers")
{
    FleetOptions options;
    options.isRankGroup = GENERATE(false, true);
    options.seed = GENERATE(range(1U, 11U));
    GatewayFleet fleet(options);
    fleet.at(seconds(5), [&] { fleet.sendCrashingRequest(crashingBody, pauses(options.seed, 200, 4500)); });
    fleet.runUntil(seconds(60));
    INFO("seed " << options.seed << ", rank group " << options.isRankGroup);
    CHECK(fleet.violation() == "");
}
