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

TEST_CASE("LoadBalancer: selects the server with the least load, and never a full one")
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

// Guards against this failure: two entries see the same idle server and both send it their next prompts while another
// server is idle; the loaded rank then slows its whole group. The load of the other entry is known from its report.
TEST_CASE("LoadBalancer: loads reported by other entries count, for a limited time and in order")
{
    LoadBalancer balancer;
    balancer.setServers(start, snapshotOf({ server(1), server(2) }));
    LoadUpdate update { Incarnation(5), 2, { { hashOf(incarnation("s1")), 1, Tokens(4000) } } };
    balancer.onLoadUpdate(start, update);
    CHECK(chosen(balancer, start) == "s2");
    balancer.onLoadUpdate(start, { Incarnation(5), 1, {} });
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(3000) });
    CHECK(chosen(balancer, start) == "s2");
    // The other entry has died, and its requests are gone.
    CHECK(chosen(balancer, start + PeerLoads::reportLifetime) == "s1");
}

// Guards against this failure: all instances lost power and came back. The list still contains the ids of the old
// engines at addresses where new ones respond; each request tried two to four of the old ids and was refused.
TEST_CASE("LoadBalancer: a server whose address belongs to another one gets no more requests")
{
    LoadBalancer balancer;
    balancer.setServers(start, snapshotOf({ server(1), server(2) }));
    balancer.onReplaced(incarnation("s1"));
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(4000) });
    CHECK(chosen(balancer, start + seconds(60)) == "s2");
    balancer.setServers(start, snapshotOf({ server(1), server(2) }));
    CHECK(chosen(balancer, start) == "s2");
}

TEST_CASE("LoadBalancer: draining servers get no requests, failed ones come last")
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

// Guards against this failure: a rank is lost, and every rank of its group rejects requests until the group has
// re-formed. Requests sent there use up their attempts within milliseconds.
TEST_CASE("LoadBalancer: a group reported as closed gets no requests until its agents stop reporting or report otherwise")
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

// Guards against this failure: a server restarts under the same id while requests of the previous incarnation are still
// counted and its failures are recent. The new process is idle; if it were avoided because of its predecessor, its half
// of the capacity would be lost for seconds.
TEST_CASE("LoadBalancer: no state of a server outlives its incarnation")
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
    // The requests of the old incarnation end late.
    balancer.onAttemptEnded(before.incarnation(), { Tokens(900) }, false);
    balancer.onAttemptEnded(before.incarnation(), { Tokens(900) }, false);
    CHECK(balancer.runningRequests(after.incarnation(), start) == 1);
}

// Guards against this failure: 149 entries that each know the load of a fifth of the fleet share 192 servers. If each
// sends to whichever server looks idle, one request in eight reaches a server that entries of another data centre have
// filled, and is rejected. All load on the local servers is known, so these come first, and remote servers get only the
// requests for which the local ones have no capacity.
TEST_CASE("LoadBalancer: if load is shared within a data centre, its servers come first while they have capacity")
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
    // A server that failed recently ranks behind the remote ones as well.
    balancer.onFailure(start, incarnation("s2"));
    CHECK(chosen(balancer, start) == "s3");
    balancer.onAttemptEnded(incarnation("s1"), { Tokens(10) }, true);
    CHECK(chosen(balancer, start) == "s1");
    snapshot.isLoadSharedLocally = false;
    balancer.setServers(start, snapshot);
    CHECK(chosen(balancer, start) == "s3");
}

TEST_CASE("LoadBalancer: a rank that another entry reports as closed gets no requests while its agent's status is recent")
{
    LoadBalancer balancer;
    auto snapshot = snapshotOf({ server(1), server(2) });
    snapshot.peerDegradedRanks = { { endpoint(1), start, false, 1 } };
    balancer.setServers(start, snapshot);
    balancer.onAttemptStarted(start, incarnation("s2"), { Tokens(9000) });
    CHECK(chosen(balancer, start) == "s2");
    CHECK(chosen(balancer, start + LoadBalancer::degradedReportLifetime) == "s1");
}

// Guards against this failure: all drafts of a group are late while one of its engines is slow, because each step takes
// as long as on the slow engine and the entries continue to give it an equal load. The slow rank must get nothing while
// another rank has capacity, and its share again as soon as its agent reports that it has recovered or stops reporting.
TEST_CASE("LoadBalancer: a slow rank gets requests only when no other has capacity")
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
    // A newer status from the rank's agent ends the report that it is slow.
    snapshot.ranks = { { { endpoint(1), EngineGroupName("g"), GroupEpoch(1), RankIndex(0), 2, true, 1, ServerStartTime(0), true }, start + milliseconds(5) } };
    snapshot.peerDegradedRanks.clear();
    balancer.setServers(start + milliseconds(5), snapshot);
    CHECK(chosen(balancer, start + milliseconds(5)) == "s1");
    // A server that failed recently ranks behind a slow one.
    snapshot.ranks[0].status.pace = 2;
    balancer.setServers(start + milliseconds(9), snapshot);
    CHECK(chosen(balancer, start + milliseconds(9)) == "s2");
    balancer.onFailure(start + milliseconds(9), incarnation("s2"));
    CHECK(chosen(balancer, start + milliseconds(9)) == "s1");
}

// Guards against this failure: one data centre has twice as many clients per server as another. Each entry used only
// the servers of its own data centre, whose drafts were late, while ranks of the same group in the next data centre
// were idle.
TEST_CASE("LoadBalancer: servers of a data centre that reports less load get the excess of the local ones")
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
    // A data centre that reports full servers gets nothing.
    snapshot.remoteLoads = { { DataCentreName("b"), { model, 6, 0 } } };
    balancer.setServers(start, snapshot);
    CHECK(chosen(balancer, start, { incarnation("s1"), incarnation("s2") }) == "none");
}

TEST_CASE("LoadBalancer: the reported load of a data centre is the average of its servers that may receive requests")
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
