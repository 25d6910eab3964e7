#include "src/gateway/load-balancer.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };
const ServiceName model { "model" };

Endpoint endpoint(unsigned n)
{
    return { boost::asio::ip::address_v4(0x0a000000 + n), 8000 };
}

BackendServer server(unsigned n, std::uint32_t slots = 4, ServerState state = ServerState::Ready)
{
    return { BackendServerId("s" + std::to_string(n)), model, endpoint(n), DataCentreName("a"), slots, state };
}

ServerIncarnation incarnation(const std::string& id, std::uint64_t startedAt = 0)
{
    return { BackendServerId(id), ServerStartTime(startedAt) };
}

Snapshot snapshotOf(std::vector<BackendServer> servers)
{
    ConfigurationParts parts;
    Service service;
    service.name = model;
    service.engine.emplace();
    service.engine->stepMsPerRequest = 0.36;
    service.engine->promptTokensPerSecond = 61000;
    parts.services = { service };
    Snapshot snapshot;
    snapshot.configuration = Configuration::create(parts).value();
    snapshot.servers = std::move(servers);
    return snapshot;
}

std::string chosen(const LoadBalancer& balancer, TimePoint now, std::vector<ServerIncarnation> excluded = {})
{
    policy::Generator generator(7);
    auto server = balancer.choose({ model, excluded, std::nullopt }, now, generator);
    return server ? server->id.value() : "none";
}

} // namespace

TEST_CASE("LoadBoard: the server with the least to read and to write, and none that is full")
{
    LoadBalancer balancer;
    balancer.setServers(start, snapshotOf({ server(1, 2), server(2, 2) }));
    balancer.onAttemptStarted(start, incarnation("s1"), { Tokens(900) });
    CHECK(chosen(balancer, start) == "s2");
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(2000) });
    CHECK(chosen(balancer, start) == "s1");
    balancer.onResponseStarted(incarnation("s2"), { Tokens(2000) });
    CHECK(chosen(balancer, start) == "s2");
    balancer.onAttemptStarted(start, incarnation("s1"), { Tokens(1) });
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(1) });
    CHECK(chosen(balancer, start) == "none");
    balancer.onAttemptEnded(incarnation("s1"), { Tokens(1) }, false);
    CHECK(chosen(balancer, start) == "s1");
}

// Two entries see the same idle server and both send it their next prompts, while another stands idle: its rank paces
// the whole group. What the other entry has sent is known by its word.
TEST_CASE("LoadBoard: what other entries have sent counts, for a while and in order")
{
    LoadBalancer balancer;
    balancer.setServers(start, snapshotOf({ server(1), server(2) }));
    LoadUpdate news { Incarnation(5), 2, { { hashOf(incarnation("s1")), 1, Tokens(4000) } } };
    balancer.onLoadUpdate(start, news);
    CHECK(chosen(balancer, start) == "s2");
    balancer.onLoadUpdate(start, { Incarnation(5), 1, {} });
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(3000) });
    CHECK(chosen(balancer, start) == "s2");
    // The other entry has died: its requests are gone.
    CHECK(chosen(balancer, start + PeerLoads::reportLifetime) == "s1");
}

// All instances lost power and came back. The list still names the engines of before at addresses where new ones answer;
// each request tried two to four of the old ids and was refused.
TEST_CASE("LoadBoard: a server whose address another one has gets nothing more")
{
    LoadBalancer balancer;
    balancer.setServers(start, snapshotOf({ server(1), server(2) }));
    balancer.onReplaced(incarnation("s1"));
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(4000) });
    CHECK(chosen(balancer, start + seconds(60)) == "s2");
    balancer.setServers(start, snapshotOf({ server(1), server(2) }));
    CHECK(chosen(balancer, start) == "s2");
}

TEST_CASE("LoadBoard: draining servers get nothing, failed ones come last")
{
    LoadBalancer balancer;
    balancer.setServers(start, snapshotOf({ server(1, 4, ServerState::Draining), server(2), server(3) }));
    balancer.onFailure(start, incarnation("s2"));
    balancer.onAttemptStarted(start, incarnation("s3"), { Tokens(9000) });
    CHECK(chosen(balancer, start) == "s3");
    CHECK(chosen(balancer, start, { incarnation("s3") }) == "s2");
    CHECK(chosen(balancer, start + LoadBalancer::failureBackOff) == "s2");
    CHECK(chosen(balancer, start, { incarnation("s2"), incarnation("s3") }) == "none");
}

// A rank is lost, and every rank of its group turns requests away until the group has formed again. Sent there, requests
// spend their tries in milliseconds.
TEST_CASE("LoadBoard: a group that its agents call closed gets nothing until they are silent or say otherwise")
{
    LoadBalancer balancer;
    auto snapshot = snapshotOf({ server(1), server(2) });
    RankStatus closed { endpoint(1), EngineGroupName("g"), GroupEpoch(3), RankIndex(0), 2, false, 1 };
    snapshot.ranks = { { closed, start } };
    balancer.setServers(start, snapshot);
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(9000) });
    CHECK(chosen(balancer, start) == "s2");
    CHECK(balancer.hasServer(model));
    CHECK(chosen(balancer, start + LoadBalancer::degradedReportLifetime) == "s1");
    closed.isOpen = true;
    snapshot.ranks = { { closed, start } };
    balancer.setServers(start, snapshot);
    CHECK(chosen(balancer, start) == "s1");
}

// A server starts again under its id while requests of the life before are still counted and its last failures are fresh. The
// new process is idle; left out for what it never did, its half of the room would be lost for seconds.
TEST_CASE("LoadBoard: nothing that is believed of a server outlives its life")
{
    LoadBalancer balancer;
    auto before = server(1, 2);
    before.startedAt = ServerStartTime(1000);
    auto after = before;
    after.startedAt = ServerStartTime(2000);
    balancer.setServers(start, snapshotOf({ before }));
    balancer.onAttemptStarted(start, before.incarnation(), { Tokens(900) });
    balancer.onAttemptStarted(start, before.incarnation(), { Tokens(900) });
    balancer.onReplaced(before.incarnation());
    balancer.onLoadUpdate(start, { Incarnation(5), 1, { { hashOf(before.incarnation()), 9, Tokens(4000) } } });
    REQUIRE(chosen(balancer, start) == "none");
    balancer.setServers(start, snapshotOf({ after }));
    CHECK(chosen(balancer, start) == "s1");
    CHECK(balancer.runningRequests(after.incarnation(), start) == 0);
    balancer.onAttemptStarted(start, after.incarnation(), { Tokens(10) });
    // The requests of the ended life end late.
    balancer.onAttemptEnded(before.incarnation(), { Tokens(900) }, false);
    balancer.onAttemptEnded(before.incarnation(), { Tokens(900) }, false);
    CHECK(balancer.runningRequests(after.incarnation(), start) == 1);
}

// 149 entries that each know the load of a fifth of the fleet share 192 servers. Sent to whichever looks idle, one request in
// eight meets a server that others of another data centre have filled, and is turned away. At the servers of the own data
// centre all load is known; others get what these have no room for.
TEST_CASE("LoadBoard: where load is told within a data centre, its servers come first while they have room")
{
    LoadBalancer balancer;
    auto remote = server(3);
    remote.dataCentre = DataCentreName("b");
    auto snapshot = snapshotOf({ server(1, 2), server(2, 1), remote });
    snapshot.dataCentre = DataCentreName("a");
    snapshot.isLoadSharedLocally = true;
    balancer.setServers(start, snapshot);
    balancer.onAttemptStarted(start, incarnation("s1"), { Tokens(9000) });
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(10) });
    CHECK(chosen(balancer, start) == "s1");
    balancer.onAttemptStarted(start, incarnation("s1"), { Tokens(10) });
    CHECK(chosen(balancer, start) == "s3");
    balancer.onAttemptEnded(incarnation("s2"), { Tokens(10) }, false);
    CHECK(chosen(balancer, start) == "s2");
    // One that failed of late comes behind the far ones as well.
    balancer.onFailure(start, incarnation("s2"));
    CHECK(chosen(balancer, start) == "s3");
    balancer.onAttemptEnded(incarnation("s1"), { Tokens(10) }, true);
    CHECK(chosen(balancer, start) == "s1");
    snapshot.isLoadSharedLocally = false;
    balancer.setServers(start, snapshot);
    CHECK(chosen(balancer, start) == "s3");
}

TEST_CASE("LoadBoard: a rank that another entry calls closed gets nothing while its agent's word is fresh")
{
    LoadBalancer balancer;
    auto snapshot = snapshotOf({ server(1), server(2) });
    snapshot.peerDegradedRanks = { { endpoint(1), start, false, 1 } };
    balancer.setServers(start, snapshot);
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(9000) });
    CHECK(chosen(balancer, start) == "s2");
    CHECK(chosen(balancer, start + LoadBalancer::degradedReportLifetime) == "s1");
}

// All drafts of a group come late for as long as one of its engines is slow: each step takes as long as the slow one, and
// the entries go on giving it as much as the others. It gets nothing while another rank has room, and its part again as
// soon as its agent says that it is well, or says nothing any more.
TEST_CASE("LoadBoard: a slow rank gets work only when no other has room")
{
    LoadBalancer balancer;
    auto snapshot = snapshotOf({ server(1), server(2, 2) });
    snapshot.peerDegradedRanks = { { endpoint(1), start, true, 3 } };
    balancer.setServers(start, snapshot);
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(9000) });
    CHECK(chosen(balancer, start) == "s2");
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(9000) });
    CHECK(chosen(balancer, start) == "s1");
    balancer.onAttemptEnded(incarnation("s2"), { Tokens(9000) }, false);
    CHECK(chosen(balancer, start) == "s2");
    CHECK(chosen(balancer, start + LoadBalancer::degradedReportLifetime) == "s1");
    // A newer word of its agent ends it.
    snapshot.ranks = { { { endpoint(1), EngineGroupName("g"), GroupEpoch(1), RankIndex(0), 2, true, 1, ServerStartTime(0), true }, start + milliseconds(5) } };
    snapshot.peerDegradedRanks.clear();
    balancer.setServers(start + milliseconds(5), snapshot);
    CHECK(chosen(balancer, start + milliseconds(5)) == "s1");
    // One that failed of late comes behind a slow one.
    snapshot.ranks[0].status.pace = 2;
    balancer.setServers(start + milliseconds(9), snapshot);
    CHECK(chosen(balancer, start + milliseconds(9)) == "s2");
    balancer.onFailure(start + milliseconds(9), incarnation("s2"));
    CHECK(chosen(balancer, start + milliseconds(9)) == "s1");
}

// One data centre has twice as many clients for each server as another. Each entry kept to its own, whose drafts came late, while
// the ranks of the same group stood idle next door.
TEST_CASE("LoadBoard: servers of a data centre that says it has less to do get what the own ones have too much of")
{
    LoadBalancer balancer;
    auto remote = server(3, 6);
    remote.dataCentre = DataCentreName("b");
    auto snapshot = snapshotOf({ server(1, 6), server(2, 6), remote });
    snapshot.dataCentre = DataCentreName("a");
    snapshot.isLoadSharedLocally = true;
    snapshot.remoteLoads = { { DataCentreName("b"), { model, 2, 0 } } };
    balancer.setServers(start, snapshot);
    auto startRequest = [&](const std::string& id) { balancer.onAttemptStarted(start, incarnation(id), { Tokens(0) }); };
    for (int n = 0; n < 2; ++n) {
        startRequest("s1");
        startRequest("s2");
    }
    CHECK(chosen(balancer, start) != "s3");
    startRequest("s1");
    startRequest("s2");
    CHECK(chosen(balancer, start) == "s3");
    CHECK(balancer.dataCentresUsed() == std::set { DataCentreName("a") });
    startRequest("s3");
    CHECK(chosen(balancer, start) != "s3");
    CHECK(balancer.dataCentresUsed() == std::set { DataCentreName("a"), DataCentreName("b") });
    // One that says it is full gets nothing.
    snapshot.remoteLoads = { { DataCentreName("b"), { model, 6, 0 } } };
    balancer.setServers(start, snapshot);
    CHECK(chosen(balancer, start, { incarnation("s1"), incarnation("s2") }) == "none");
}

TEST_CASE("LoadBoard: what is said of the own data centre is the average of its servers that may get work")
{
    LoadBalancer balancer;
    auto remote = server(4, 6);
    remote.dataCentre = DataCentreName("b");
    auto snapshot = snapshotOf({ server(1, 6), server(2, 6), server(3, 6, ServerState::Draining), remote });
    snapshot.dataCentre = DataCentreName("a");
    snapshot.isLoadSharedLocally = true;
    balancer.setServers(start, snapshot);
    balancer.onAttemptStarted(start, incarnation("s1"), { Tokens(300) });
    balancer.onAttemptStarted(start, incarnation("s3"), { Tokens(900) });
    balancer.onAttemptStarted(start, incarnation("s4"), { Tokens(900) });
    balancer.onLoadUpdate(start, { Incarnation(5), 1, { { hashOf(incarnation("s2")), 2, Tokens(100) } } });
    auto loads = balancer.localLoads(start);
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].running == Approx(1.5));
    CHECK(loads[0].promptTokens == Approx(200));
}
