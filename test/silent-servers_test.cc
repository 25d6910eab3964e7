#include "test/gateway-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using swiftloft::test::FleetOptions;
using swiftloft::test::GatewayFleet;

// Guards against this failure: one engine among many stalls; the clients of its streams disconnect, and it works for
// clients that have left when it resumes.
TEST_CASE("Silent servers: streams on a stalled server continue on others")
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

// Guards against this failure: a stalled server looks idle once its clients have disconnected, and gets the next
// requests.
TEST_CASE("Silent servers: no entry sends new requests to a server that another one reported as silent")
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

// Guards against this failure: all servers stall, as a suspended group does, and every stream is moved from server to
// server in vain.
TEST_CASE("Silent servers: streams are not moved when all servers stall")
{
    GatewayFleet fleet({ .servers = 4 });
    int before = 0;
    fleet.at(seconds(10), [&] {
        for (int n = 0; n < 4; ++n)
            fleet.freezeServer(n, milliseconds(1800));
        before = fleet.offeredStreams();
    });
    fleet.runUntil(seconds(13));
    CHECK(fleet.offeredStreams() == before);
    CHECK(fleet.disconnectedClients() == 0);
}

// Guards against this failure: under load, requests that wait long for their first event are moved to other servers,
// which increases the load.
TEST_CASE("Silent servers: a request whose response has not started stays on a server that makes progress")
{
    GatewayFleet fleet({ .servers = 3, .demand = 80 });
    fleet.runUntil(seconds(20));
    CHECK(fleet.offeredStreams() == 0);
}
