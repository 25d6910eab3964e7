#include "test/gateway-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using swiftloft::test::FleetOptions;
using swiftloft::test::GatewayFleet;

// Failure: one engine of many stands still; the clients of its streams leave, and it works for nobody when it wakes.
TEST_CASE("Silent servers: streams at a server that stands still go on at others")
{
    FleetOptions options;
    options.seed = GENERATE(range(1U, 11U));
    GatewayFleet fleet(options);
    fleet.at(seconds(10), [&] { fleet.freezeServer(4, milliseconds(3600)); });
    fleet.runUntil(seconds(25));
    INFO("seed " << options.seed);
    CHECK(fleet.disconnectedClients() == 0);
    CHECK(fleet.startedAfterDisconnect() == 0);
}

// Failure: a server that stands still looks idle once its clients have left, and gets what comes next.
TEST_CASE("Silent servers: no entry sends new requests to a server that another one found silent")
{
    FleetOptions options;
    options.seed = GENERATE(range(1U, 6U));
    GatewayFleet fleet(options);
    fleet.at(seconds(10), [&] { fleet.freezeServer(4, seconds(60)); });
    fleet.runUntil(milliseconds(11'500));
    auto before = fleet.arrivedAt(4);
    fleet.runUntil(milliseconds(12'800));
    INFO("seed " << options.seed);
    CHECK(fleet.arrivedAt(4) - before == 0);
}

// Failure: all servers stand still, as a group does that is held, and every stream is sent round in vain.
TEST_CASE("Silent servers: streams stay where they are when all servers stand still")
{
    GatewayFleet fleet({ .servers = 4 });
    int before = 0;
    fleet.at(seconds(10), [&] {
        for (int n = 0; n < 4; ++n)
            fleet.freezeServer(n, milliseconds(1800));
        before = fleet.cancelledAttempts();
    });
    fleet.runUntil(seconds(13));
    CHECK(fleet.cancelledAttempts() == before);
    CHECK(fleet.disconnectedClients() == 0);
}

// Failure: requests that wait long for their first event under load are sent round, and make the load worse.
TEST_CASE("Silent servers: a request that has not begun stays at a server that goes on")
{
    GatewayFleet fleet({ .servers = 3, .demand = 80 });
    fleet.runUntil(seconds(20));
    CHECK(fleet.cancelledAttempts() == 0);
}
