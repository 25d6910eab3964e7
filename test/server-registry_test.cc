#include "src/gateway/server-registry.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };

StorePosition at(std::uint64_t revision, std::uint64_t era = 0)
{
    return { StoreEra(era), revision };
}

BackendServer server(const std::string& id, ServerState state = ServerState::Ready)
{
    BackendServer out;
    out.id = BackendServerId(id);
    out.service = ServiceName("model");
    out.state = state;
    return out;
}

std::vector<std::string> idsOf(const ServerRegistry& registry)
{
    std::vector<std::string> ids;
    for (auto& it : registry.servers())
        ids.push_back(it.id.value());
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("ServerRegistry: follows the list")
{
    ServerRegistry registry;
    CHECK(registry.replaceAll(start, at(10), { server("a"), server("b") }));
    CHECK(registry.upsert(at(11), server("b", ServerState::Draining)));
    CHECK(registry.remove(start, at(12), BackendServerId("a")));
    REQUIRE(idsOf(registry) == Ids { "b" });
    CHECK(registry.servers()[0].state == ServerState::Draining);
}

// A server is draining. A second later an entry reads a stale replica of the list that still shows it as ready, and
// sends new requests to the server until its process ends. These requests are lost.
TEST_CASE("ServerRegistry: an older list changes nothing")
{
    ServerRegistry registry;
    registry.replaceAll(start, at(20), { server("a", ServerState::Draining) });
    CHECK_FALSE(registry.replaceAll(start, at(19), { server("a"), server("b") }));
    CHECK_FALSE(registry.upsert(at(18), server("a")));
    CHECK_FALSE(registry.replaceAllFromPeer(at(20), { server("a") }));
    CHECK(idsOf(registry) == Ids { "a" });
    CHECK(registry.servers()[0].state == ServerState::Draining);
}

// The store is down for six seconds, heartbeats have no receiver and all entries expire. When the store is reachable
// again, the list is empty for a second or two. Entries that applied this list would refuse every request while all
// servers answer.
TEST_CASE("ServerRegistry: servers that expired during a store outage stay until they can re-enter the list")
{
    ServerRegistry registry;
    registry.replaceAll(start, at(10), { server("a"), server("b") });
    registry.onStoreUnreachable(start + seconds(1));
    CHECK_FALSE(registry.remove(start + seconds(6), at(14), BackendServerId("a")));
    auto back = start + seconds(7);
    registry.onStoreReachable(back);
    registry.replaceAll(back, at(15), {});
    CHECK(idsOf(registry) == Ids { "a", "b" });
    registry.upsert(at(16), server("a"));
    CHECK_FALSE(registry.tick(back + ServerRegistry::expiryGracePeriod - milliseconds(1)));
    CHECK(registry.tick(back + ServerRegistry::expiryGracePeriod));
    CHECK(idsOf(registry) == Ids { "a" });
}

// A server that is removed while the store is reachable has ended: some servers never report that they drain.
TEST_CASE("ServerRegistry: a server removed while the store is reachable is gone at once")
{
    ServerRegistry registry;
    registry.replaceAll(start, at(10), { server("a"), server("b") });
    registry.onStoreUnreachable(start);
    registry.onStoreReachable(start + seconds(1));
    auto later = start + seconds(1) + ServerRegistry::expiryGracePeriod;
    CHECK(registry.remove(later, at(11), BackendServerId("a")));
    CHECK(idsOf(registry) == Ids { "b" });
}

// The store rejects this entry while it serves others. A server leaves, and only a peer's list shows it.
TEST_CASE("ServerRegistry: a peer's newer list replaces this one also while the store is unreachable")
{
    ServerRegistry registry;
    registry.replaceAll(start, at(10), { server("a"), server("b") });
    registry.onStoreUnreachable(start);
    CHECK(registry.replaceAllFromPeer(at(12), { server("b") }));
    CHECK(idsOf(registry) == Ids { "b" });
}

// A write of the ended process reaches the list after that of the next one. If this write were applied, the new process
// would be taken for the ended one. The same holds after the server has left the list, as long as such reports can
// still arrive.
TEST_CASE("ServerRegistry: an earlier incarnation never replaces a later one")
{
    ServerRegistry registry;
    auto earlier = server("a");
    earlier.startedAt = ServerStartTime(1000);
    auto later = server("a");
    later.startedAt = ServerStartTime(2000);
    registry.upsert(at(10), later);
    CHECK_FALSE(registry.upsert(at(11), earlier));
    CHECK(registry.servers()[0].startedAt == ServerStartTime(2000));
    registry.remove(start, at(12), BackendServerId("a"));
    registry.tick(start);
    CHECK_FALSE(registry.upsert(at(13), earlier));
    CHECK(idsOf(registry).empty());
    // Much later the id may belong to any server.
    registry.tick(start + ServerRegistry::startRetention);
    CHECK(registry.upsert(at(14), earlier));
}

// Guards against this failure: the list of a store that was restored from an older copy is ignored as old, or the
// servers missing from it are treated as gone.
TEST_CASE("ServerRegistry: after the store is restored from an older copy its list counts, and servers that it lacks may write again")
{
    ServerRegistry registry;
    registry.replaceAll(start, at(40, 1), { server("a"), server("b"), server("c") });
    registry.onStoreRestored(start);
    CHECK(registry.replaceAll(start, at(30, 2), { server("a") }));
    CHECK(idsOf(registry) == Ids { "a", "b", "c" });
    CHECK_FALSE(registry.upsert(at(45, 1), server("d")));
    CHECK(registry.remove(start + ServerRegistry::expiryGracePeriod, at(31, 2), BackendServerId("a")));
    CHECK(registry.upsert(at(32, 2), server("b")));
    registry.tick(start + ServerRegistry::expiryGracePeriod);
    CHECK(idsOf(registry) == Ids { "b" });
    CHECK(registry.replaceAllFromPeer(at(5, 3), { server("e") }));
    CHECK(idsOf(registry) == Ids { "e" });
}
