#include "src/gateway/load-board.h"

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

ServerLife life(const std::string& id, std::uint64_t startedAt = 0)
{
    return { BackendServerId(id), ServerStart(startedAt) };
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

std::string chosen(const LoadBoard& board, TimePoint now, std::vector<ServerLife> excluded = {})
{
    policy::Generator generator(7);
    auto server = board.choose({ model, excluded, std::nullopt }, now, generator);
    return server ? server->id.value() : "none";
}

} // namespace

TEST_CASE("LoadBoard: the server with the least to read and to write, and none that is full")
{
    LoadBoard board;
    board.setServers(start, snapshotOf({ server(1, 2), server(2, 2) }));
    board.onStart(start, life("s1"), { Tokens(900) });
    CHECK(chosen(board, start) == "s2");
    board.onStart(start, life("s2"), { Tokens(2000) });
    CHECK(chosen(board, start) == "s1");
    board.onAnswerBegan(life("s2"), { Tokens(2000) });
    CHECK(chosen(board, start) == "s2");
    board.onStart(start, life("s1"), { Tokens(1) });
    board.onStart(start, life("s2"), { Tokens(1) });
    CHECK(chosen(board, start) == "none");
    board.onEnd(life("s1"), { Tokens(1) }, false);
    CHECK(chosen(board, start) == "s1");
}

// Two entries see the same idle server and both send it their next prompts, while another stands idle: its rank paces
// the whole group. What the other entry has sent is known by its word.
TEST_CASE("LoadBoard: what other entries have sent counts, for a while and in order")
{
    LoadBoard board;
    board.setServers(start, snapshotOf({ server(1), server(2) }));
    LoadUpdate news { Incarnation(5), 2, { { hashOf(life("s1")), 1, Tokens(4000) } } };
    board.onLoadNews(start, news);
    CHECK(chosen(board, start) == "s2");
    board.onLoadNews(start, { Incarnation(5), 1, {} });
    board.onStart(start, life("s2"), { Tokens(3000) });
    CHECK(chosen(board, start) == "s2");
    // The other entry has died: its requests are gone.
    CHECK(chosen(board, start + PeerLoads::countFor) == "s1");
}

// All instances lost power and came back. The list still names the engines of before at addresses where new ones answer;
// each request tried two to four of the old ids and was refused.
TEST_CASE("LoadBoard: a server whose address another one has gets nothing more")
{
    LoadBoard board;
    board.setServers(start, snapshotOf({ server(1), server(2) }));
    board.onReplaced(life("s1"));
    board.onStart(start, life("s2"), { Tokens(4000) });
    CHECK(chosen(board, start + seconds(60)) == "s2");
    board.setServers(start, snapshotOf({ server(1), server(2) }));
    CHECK(chosen(board, start) == "s2");
}

TEST_CASE("LoadBoard: draining servers get nothing, failed ones come last")
{
    LoadBoard board;
    board.setServers(start, snapshotOf({ server(1, 4, ServerState::Draining), server(2), server(3) }));
    board.onFailure(start, life("s2"));
    board.onStart(start, life("s3"), { Tokens(9000) });
    CHECK(chosen(board, start) == "s3");
    CHECK(chosen(board, start, { life("s3") }) == "s2");
    CHECK(chosen(board, start + LoadBoard::avoidedFor) == "s2");
    CHECK(chosen(board, start, { life("s2"), life("s3") }) == "none");
}

// A rank is lost, and every rank of its group turns requests away until the group has formed again. Sent there, requests
// spend their tries in milliseconds.
TEST_CASE("LoadBoard: a group that its agents call closed gets nothing until they are silent or say otherwise")
{
    LoadBoard board;
    auto snapshot = snapshotOf({ server(1), server(2) });
    RankStatus closed { endpoint(1), EngineGroupName("g"), GroupEpoch(3), RankIndex(0), 2, false, 1 };
    snapshot.ranks = { { closed, start } };
    board.setServers(start, snapshot);
    board.onStart(start, life("s2"), { Tokens(9000) });
    CHECK(chosen(board, start) == "s2");
    CHECK(board.hasServer(model));
    CHECK(chosen(board, start + LoadBoard::degradedFor) == "s1");
    closed.isOpen = true;
    snapshot.ranks = { { closed, start } };
    board.setServers(start, snapshot);
    CHECK(chosen(board, start) == "s1");
}

// A server starts again under its id while requests of the life before are still counted and its last failures are fresh. The
// new process is idle; left out for what it never did, its half of the room would be lost for seconds.
TEST_CASE("LoadBoard: nothing that is believed of a server outlives its life")
{
    LoadBoard board;
    auto before = server(1, 2);
    before.startedAt = ServerStart(1000);
    auto after = before;
    after.startedAt = ServerStart(2000);
    board.setServers(start, snapshotOf({ before }));
    board.onStart(start, before.life(), { Tokens(900) });
    board.onStart(start, before.life(), { Tokens(900) });
    board.onReplaced(before.life());
    board.onLoadNews(start, { Incarnation(5), 1, { { hashOf(before.life()), 9, Tokens(4000) } } });
    REQUIRE(chosen(board, start) == "none");
    board.setServers(start, snapshotOf({ after }));
    CHECK(chosen(board, start) == "s1");
    CHECK(board.running(after.life(), start) == 0);
    board.onStart(start, after.life(), { Tokens(10) });
    // The requests of the ended life end late.
    board.onEnd(before.life(), { Tokens(900) }, false);
    board.onEnd(before.life(), { Tokens(900) }, false);
    CHECK(board.running(after.life(), start) == 1);
}

// 149 entries that each know the load of a fifth of the fleet share 192 servers. Sent to whichever looks idle, one request in
// eight meets a server that others of another data centre have filled, and is turned away. At the servers of the own data
// centre all load is known; others get what these have no room for.
TEST_CASE("LoadBoard: where load is told within a data centre, its servers come first while they have room")
{
    LoadBoard board;
    auto far = server(3);
    far.dataCentre = DataCentreName("b");
    auto snapshot = snapshotOf({ server(1, 2), server(2, 1), far });
    snapshot.dataCentre = DataCentreName("a");
    snapshot.sharesLoadNearby = true;
    board.setServers(start, snapshot);
    board.onStart(start, life("s1"), { Tokens(9000) });
    board.onStart(start, life("s2"), { Tokens(10) });
    CHECK(chosen(board, start) == "s1");
    board.onStart(start, life("s1"), { Tokens(10) });
    CHECK(chosen(board, start) == "s3");
    board.onEnd(life("s2"), { Tokens(10) }, false);
    CHECK(chosen(board, start) == "s2");
    // One that failed of late comes behind the far ones as well.
    board.onFailure(start, life("s2"));
    CHECK(chosen(board, start) == "s3");
    board.onEnd(life("s1"), { Tokens(10) }, true);
    CHECK(chosen(board, start) == "s1");
    snapshot.sharesLoadNearby = false;
    board.setServers(start, snapshot);
    CHECK(chosen(board, start) == "s3");
}

TEST_CASE("LoadBoard: a rank that another entry calls closed gets nothing while its agent's word is fresh")
{
    LoadBoard board;
    auto snapshot = snapshotOf({ server(1), server(2) });
    snapshot.degradedElsewhere = { { endpoint(1), start, false, 1 } };
    board.setServers(start, snapshot);
    board.onStart(start, life("s2"), { Tokens(9000) });
    CHECK(chosen(board, start) == "s2");
    CHECK(chosen(board, start + LoadBoard::degradedFor) == "s1");
}

// All drafts of a group come late for as long as one of its engines is slow: each step takes as long as the slow one, and
// the entries go on giving it as much as the others. It gets nothing while another rank has room, and its part again as
// soon as its agent says that it is well, or says nothing any more.
TEST_CASE("LoadBoard: a slow rank gets work only when no other has room")
{
    LoadBoard board;
    auto snapshot = snapshotOf({ server(1), server(2, 2) });
    snapshot.degradedElsewhere = { { endpoint(1), start, true, 3 } };
    board.setServers(start, snapshot);
    board.onStart(start, life("s2"), { Tokens(9000) });
    CHECK(chosen(board, start) == "s2");
    board.onStart(start, life("s2"), { Tokens(9000) });
    CHECK(chosen(board, start) == "s1");
    board.onEnd(life("s2"), { Tokens(9000) }, false);
    CHECK(chosen(board, start) == "s2");
    CHECK(chosen(board, start + LoadBoard::degradedFor) == "s1");
    // A newer word of its agent ends it.
    snapshot.ranks = { { { endpoint(1), EngineGroupName("g"), GroupEpoch(1), RankIndex(0), 2, true, 1, ServerStart(0), true }, start + milliseconds(5) } };
    snapshot.degradedElsewhere.clear();
    board.setServers(start + milliseconds(5), snapshot);
    CHECK(chosen(board, start + milliseconds(5)) == "s1");
    // One that failed of late comes behind a slow one.
    snapshot.ranks[0].news.pace = 2;
    board.setServers(start + milliseconds(9), snapshot);
    CHECK(chosen(board, start + milliseconds(9)) == "s2");
    board.onFailure(start + milliseconds(9), life("s2"));
    CHECK(chosen(board, start + milliseconds(9)) == "s1");
}

// One data centre has twice as many clients for each server as another. Each entry kept to its own, whose drafts came late, while
// the ranks of the same group stood idle next door.
TEST_CASE("LoadBoard: servers of a data centre that says it has less to do get what the own ones have too much of")
{
    LoadBoard board;
    auto far = server(3, 6);
    far.dataCentre = DataCentreName("b");
    auto snapshot = snapshotOf({ server(1, 6), server(2, 6), far });
    snapshot.dataCentre = DataCentreName("a");
    snapshot.sharesLoadNearby = true;
    snapshot.farLoads = { { DataCentreName("b"), { model, 2, 0 } } };
    board.setServers(start, snapshot);
    auto begin = [&](const std::string& id) { board.onStart(start, life(id), { Tokens(0) }); };
    for (int n = 0; n < 2; ++n) {
        begin("s1");
        begin("s2");
    }
    CHECK(chosen(board, start) != "s3");
    begin("s1");
    begin("s2");
    CHECK(chosen(board, start) == "s3");
    CHECK(board.dataCentresUsed() == std::set { DataCentreName("a") });
    begin("s3");
    CHECK(chosen(board, start) != "s3");
    CHECK(board.dataCentresUsed() == std::set { DataCentreName("a"), DataCentreName("b") });
    // One that says it is full gets nothing.
    snapshot.farLoads = { { DataCentreName("b"), { model, 6, 0 } } };
    board.setServers(start, snapshot);
    CHECK(chosen(board, start, { life("s1"), life("s2") }) == "none");
}

TEST_CASE("LoadBoard: what is said of the own data centre is the average of its servers that may get work")
{
    LoadBoard board;
    auto far = server(4, 6);
    far.dataCentre = DataCentreName("b");
    auto snapshot = snapshotOf({ server(1, 6), server(2, 6), server(3, 6, ServerState::Draining), far });
    snapshot.dataCentre = DataCentreName("a");
    snapshot.sharesLoadNearby = true;
    board.setServers(start, snapshot);
    board.onStart(start, life("s1"), { Tokens(300) });
    board.onStart(start, life("s3"), { Tokens(900) });
    board.onStart(start, life("s4"), { Tokens(900) });
    board.onLoadNews(start, { Incarnation(5), 1, { { hashOf(life("s2")), 2, Tokens(100) } } });
    auto loads = board.loadsNearby(start);
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].running == Approx(1.5));
    CHECK(loads[0].promptTokens == Approx(200));
}
