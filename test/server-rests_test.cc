#include "src/gateway/server-rests.h"
#include "test/gateway-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;
using Catch::Matchers::Equals;
using swiftloft::test::FleetOptions;
using swiftloft::test::GatewayFleet;

namespace {

const TimePoint start { seconds(100) };
constexpr ServerHash server { 7 };

NamedRest restOf(milliseconds length)
{
    return { start + length };
}

} // namespace

// Failure: answers overtake each other, and the rest that one asked for ends with that of another.
TEST_CASE("Server rests: of several rests the one that ends last holds")
{
    auto isLongFirst = GENERATE(true, false);
    ServerRests rests;
    CHECK(rests.onAsked(start, server, restOf(isLongFirst ? seconds(3) : seconds(1))));
    CHECK_FALSE(rests.onAsked(start, server, restOf(isLongFirst ? seconds(1) : seconds(3))));
    CHECK(rests.endOf(server, start) == start + seconds(3));
    CHECK_FALSE(rests.endOf(server, start + seconds(3)).has_value());
}

TEST_CASE("Server rests: a rest of no length is none, one that can't be read is short")
{
    ServerRests rests;
    CHECK_FALSE(rests.onAsked(start, server, restOf(milliseconds(0))));
    CHECK_FALSE(rests.endOf(server, start).has_value());
    CHECK(rests.onAsked(start, server, NamedRest {}));
    CHECK(rests.endOf(server, start) == start + ServerRests::unreadableRest);
}

TEST_CASE("Server rests: what is over is forgotten")
{
    ServerRests rests;
    rests.onAsked(start, server, restOf(seconds(1)));
    rests.onAsked(start, ServerHash(8), restOf(seconds(2)));
    rests.forgetEnded(start + seconds(1));
    CHECK_FALSE(rests.isEmpty());
    rests.forgetEnded(start + seconds(2));
    CHECK(rests.isEmpty());
}

// Failure: a server that turns all requests away looks idle, attracts most of them, and is sent more while it asks for rest.
TEST_CASE("Server rests: a server gets nothing from an entry that it has asked for rest")
{
    auto rest = GENERATE(milliseconds(700), milliseconds(3000), milliseconds(60'000));
    FleetOptions options;
    options.seed = GENERATE(1U, 2U, 3U);
    GatewayFleet fleet(options);
    fleet.at(seconds(6), [&] {
        for (int n = 0; n < 4; ++n)
            fleet.shed(n, rest);
    });
    fleet.at(seconds(15), [&] {
        for (int n = 0; n < 4; ++n)
            fleet.shed(n, std::nullopt);
    });
    fleet.runUntil(seconds(20));
    INFO("rest " << rest.count() << " ms, seed " << options.seed);
    CHECK_THAT(fleet.broken(), Equals(""));
    // The other eight have room for all.
    CHECK(fleet.served() > 0.97 * fleet.asked() - 200);
}
