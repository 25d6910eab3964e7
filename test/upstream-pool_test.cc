#include "src/gateway/upstream-pool.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

// Guards against this failure: each entry keeps idle connections as if the server's maximum applied to it alone, and
// the server resets new connections.
TEST_CASE("Upstream: idle connections of all entries leave room for running requests")
{
    auto entries = GENERATE(1U, 7U, 30U, 150U, 670U);
    auto maximum = GENERATE(1U, 49U, 96U, 248U);
    auto slots = GENERATE(1U, 6U, 12U);
    auto kept = idleConnectionLimit(maximum, slots, entries);
    INFO(entries << " entries, " << maximum << " connections, " << slots << " slots, " << kept << " idle each");
    CHECK(kept * entries + std::min(slots, maximum) <= maximum);
    CHECK(kept <= UpstreamPool::maxIdlePerServer);
}

TEST_CASE("Upstream: a server that names no maximum bounds nothing")
{
    CHECK(idleConnectionLimit(0, 6, 150) == UpstreamPool::maxIdlePerServer);
}
