#include "src/gateway/upstream-pool.h"

#include "src/gateway/snapshot.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

/// A pool, and the address of a server that accepts its connections.
struct PoolRig {
    BackendServer server(std::uint64_t startedAt) const
    {
        return { BackendServerId("s1"), ServiceName("model"), acceptor.local_endpoint(), DataCentreName("a"), 8, ServerState::Ready, ServerStartTime(startedAt) };
    }

    void list(const BackendServer& listed)
    {
        Snapshot snapshot;
        snapshot.servers = { listed };
        pool.applySnapshot(snapshot);
    }

    void beginConnect(const BackendServer& to)
    {
        co_spawn(ioContext, pool.connect(to, Clock::now() + seconds(5)), [this](const std::exception_ptr& error, UpstreamConnectionPtr opened) {
            hasFailed = error != nullptr;
            connection = std::move(opened);
        });
    }

    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::acceptor acceptor { ioContext, { boost::asio::ip::address_v4::loopback(), 0 } };
    UpstreamPool pool { ioContext };
    UpstreamConnectionPtr connection;
    bool hasFailed { false };
};

} // namespace

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

// Guards against this failure: the end of a connection that this entry has shut down is taken for that of the server.
TEST_CASE("Upstream: a connection is marked as ended if its server's list entry names a later process")
{
    auto listed = GENERATE(1U, 5U, 6U);
    PoolRig rig;
    rig.beginConnect(rig.server(5));
    rig.ioContext.run();
    REQUIRE(rig.connection);
    rig.list(rig.server(listed));
    CHECK(rig.connection->hasServerEnded == (listed > 5));
}

// Guards against this failure: a request to a server's ended process is sent to its new one on a connection that is then marked as
// ended, and its response is discarded.
TEST_CASE("Upstream: a connection that opens after its server's process has ended is not used")
{
    PoolRig rig;
    rig.beginConnect(rig.server(5));
    rig.ioContext.poll_one();
    REQUIRE_FALSE(rig.connection);
    rig.list(rig.server(6));
    rig.ioContext.run();
    CHECK(rig.hasFailed);
    CHECK_FALSE(rig.connection);
}

// Guards against this failure: a request waits until its deadline for a process that has crashed behind a cut, although another
// server has taken the address of the process.
TEST_CASE("Upstream: connections to a process end when a later one is listed at its address, and not when it leaves the list")
{
    auto [startedAt, later, isShutDown] = GENERATE(table<std::uint64_t, std::uint64_t, bool>({ { 5, 6, true }, { 5, 4, false }, { 5, 0, false }, { 0, 6, false } }));
    PoolRig rig;
    rig.beginConnect(rig.server(startedAt));
    rig.ioContext.run();
    REQUIRE(rig.connection);
    auto successor = rig.server(later);
    successor.id = BackendServerId("s2");
    auto elsewhere = successor;
    elsewhere.address.port(1);
    rig.list(elsewhere);
    CHECK_FALSE(rig.connection->hasServerEnded);
    rig.list(successor);
    CHECK(rig.connection->hasServerEnded == isShutDown);
}
