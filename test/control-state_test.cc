#include "src/gateway/control-state.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;
using namespace swiftloft::gateway::control;

namespace {

const TimePoint start { seconds(100) };

Endpoint endpoint(unsigned n, unsigned short port = 7000)
{
    return { boost::asio::ip::address_v4(0x0a000000 + n), port };
}

/// Documents of the test: a configuration is its version, a server "SERVICE ready" or "SERVICE draining".
Protocol decoders()
{
    Protocol protocol;
    protocol.decodeConfiguration = [](std::string_view document) -> Result<std::shared_ptr<const Configuration>> {
        if (document == "broken")
            return Error { ErrorCode::MalformedInput, "broken" };
        ConfigurationParts parts;
        parts.version = ConfigurationVersion(std::stoull(std::string(document)));
        EngineTraits traits;
        traits.layers = 1;
        parts.services.push_back({ ServiceName("model"), "/health", 0, traits });
        return Configuration::create(parts);
    };
    protocol.decodeServer = [](std::string_view id, std::string_view document) -> Result<BackendServer> {
        if (document == "broken")
            return Error { ErrorCode::MalformedInput, "broken" };
        BackendServer server;
        server.id = BackendServerId(std::string(id));
        server.service = ServiceName("model");
        // "ready from N" is one whose process started at N.
        if (auto at = document.find(" from "); at != std::string_view::npos) {
            server.startedAt = ServerStartTime(std::stoull(std::string(document.substr(at + 6))));
            document = document.substr(0, at);
        }
        // "ready elsewhere" is of a service that no configuration names.
        if (document == "ready elsewhere") {
            server.service = ServiceName("elsewhere");
            document = "ready";
        }
        // "ID@N" is an engine at an address of its own.
        if (auto at = id.find('@'); at != std::string_view::npos)
            server.address = endpoint(static_cast<unsigned>(std::stoul(std::string(id.substr(at + 1)))));
        server.state = document == "ready" ? ServerState::Ready : ServerState::Draining;
        return server;
    };
    return protocol;
}

EntryMember member(unsigned n)
{
    return { endpoint(n), Incarnation(n), 1, endpoint(n, 8000), DataCentreName("a"), EntryState::Serving };
}

struct Rig {
    Effects apply(const Event& event) { return last = state.apply(now, event); }

    void list(Topic topic, std::vector<PublishedItem> items, std::uint64_t asOf) { apply(StoreListed { topic, { std::move(items), asOf } }); }
    void listBoth(std::uint64_t version)
    {
        list(Topic::Configuration, { { "", std::to_string(version), 5, false } }, 10);
        list(Topic::Servers, { { "s1", "ready", 6, false } }, 10);
    }
    Hello hello(std::uint64_t configuration, std::uint64_t servers) { return { member(2), configuration, { {}, servers }, {}, {} }; }
    std::uint64_t version() const
    {
        auto snapshot = state.snapshot(now);
        return snapshot.configuration ? snapshot.configuration->version().value() : 0;
    }
    template <typename T>
    std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(last.begin(), last.end(), [](auto& it) { return std::holds_alternative<T>(it); }));
    }

    TimePoint now { start };
    ControlState state { member(1), {}, 9, decoders(), policy::Generator(1), start };
    Effects last;
};

} // namespace

TEST_CASE("ControlState: ready once the store has told configuration and servers")
{
    Rig rig;
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    rig.list(Topic::Servers, {}, 10);
    CHECK(rig.state.snapshot(rig.now).isReady);
}

// An entry starts while a peer is itself turned away by the store: what the peer holds was revoked since. Served by it, a
// client's withdrawn key would work again.
TEST_CASE("ControlState: an entry that starts takes its peers' word only when the store stays silent")
{
    Rig rig;
    rig.apply(PullAnswered { Topic::Configuration, { { { "", "6", 4, false } }, 4 } });
    rig.apply(PullAnswered { Topic::Servers, { { { "s1", "ready", 3, false } }, 4 } });
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    rig.now += ControlState::startupStoreTimeout;
    rig.apply(Ticked {});
    CHECK(rig.state.snapshot(rig.now).isReady);
}

// The store's answer to an older read arrives after a newer configuration came from a peer. Taken, it would bring back
// routes and keys that were dropped.
TEST_CASE("ControlState: no older configuration replaces a newer one, whoever brings it")
{
    Rig rig;
    rig.listBoth(7);
    rig.apply(PullAnswered { Topic::Configuration, { { { "", "9", 12, false } }, 12 } });
    CHECK(rig.version() == 9);
    rig.apply(StoreChanged { Topic::Configuration, { { { "", "8", 11, false } }, 11 } });
    CHECK(rig.version() == 9);
    rig.apply(PullAnswered { Topic::Configuration, { { { "", "7", 5, false } }, 12 } });
    CHECK(rig.version() == 9);
}

TEST_CASE("ControlState: a configuration that can't be read leaves the last good one in force")
{
    Rig rig;
    rig.listBoth(7);
    rig.apply(StoreChanged { Topic::Configuration, { { { "", "broken", 11, false } }, 11 } });
    CHECK(rig.version() == 7);
    rig.apply(StoreChanged { Topic::Configuration, { { { "", "8", 12, false } }, 12 } });
    CHECK(rig.version() == 8);
}

TEST_CASE("ControlState: a malformed server entry is left out, the others are kept")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    rig.list(Topic::Servers, { { "s1", "broken", 6, false }, { "s2", "ready", 7, false } }, 10);
    auto servers = rig.state.snapshot(rig.now).servers;
    REQUIRE(servers.size() == 1);
    CHECK(servers[0].id == BackendServerId("s2"));
}

// The store turns this entry away and serves the others; a key is revoked just then. Without its peers' news the entry
// would honour the key until the store lets it in again.
TEST_CASE("ControlState: news of a newer configuration is pulled from the peer that has it")
{
    Rig rig;
    rig.listBoth(7);
    rig.apply(StoreFailed { Topic::Configuration });
    rig.apply(HelloReceived { rig.hello(8, 0) });
    REQUIRE(rig.count<Pull>() == 1);
    // One pull at a time.
    rig.apply(HelloReceived { rig.hello(8, 0) });
    CHECK(rig.count<Pull>() == 0);
    rig.apply(PullFailed { Topic::Configuration });
    rig.apply(HelloReceived { rig.hello(8, 0) });
    CHECK(rig.count<Pull>() == 1);
    // A pull whose answer never comes does not stop the next for ever.
    rig.now += PullSchedule::pullTimeout;
    rig.apply(HelloReceived { rig.hello(8, 0) });
    CHECK(rig.count<Pull>() == 1);
    rig.apply(PullAnswered { Topic::Configuration, { { { "", "8", 12, false } }, 12 } });
    rig.apply(HelloReceived { rig.hello(8, 0) });
    CHECK(rig.count<Pull>() == 0);
}

TEST_CASE("ControlState: a newer configuration is told to peers at once")
{
    Rig rig;
    rig.listBoth(7);
    rig.now += milliseconds(1);
    rig.apply(StoreChanged { Topic::Configuration, { { { "", "8", 11, false } }, 11 } });
    REQUIRE(rig.count<SendHello>() == 1);
    for (auto& effect : rig.last) {
        if (auto* it = std::get_if<SendHello>(&effect))
            CHECK(it->hello.configuration == 8);
    }
}

// All watchers of a data centre are turned away by the store. Entries that rely on them would serve a revoked key until the
// store lets them in.
TEST_CASE("ControlState: an entry that others watch for begins to watch when they can't")
{
    Rig rig;
    rig.listBoth(7);
    bool isOn = true;
    auto receiveHellos = [&](bool isWatching, std::uint64_t heartbeat) {
        rig.now += ControlState::minWatchTime;
        for (unsigned n = 2; n < 6; ++n) {
            auto peer = member(n);
            peer.control = endpoint(0, static_cast<unsigned short>(n));
            peer.isWatching = isWatching;
            peer.heartbeat = heartbeat;
            rig.apply(HelloReceived { { peer, 7, { {}, 10 }, {}, {} } });
            for (auto& effect : rig.last) {
                if (auto* it = std::get_if<SetWatching>(&effect))
                    isOn = it->isOn;
            }
        }
    };
    receiveHellos(true, 1);
    CHECK_FALSE(isOn);
    receiveHellos(false, 2);
    CHECK(isOn);
}

// A server is told to go while half of the entries are restarted. An entry that learns of it only by pulling the list from
// peers that are about to stop sends it requests for seconds.
TEST_CASE("ControlState: word that a server leaves comes with each hello and is passed on")
{
    Rig rig;
    rig.listBoth(7);
    auto hello = rig.hello(7, 10);
    hello.leaving = { { hashOf(ServerIncarnation { BackendServerId("s1"), {} }), milliseconds(3000) } };
    rig.apply(HelloReceived { hello });
    REQUIRE(rig.state.snapshot(rig.now).servers.size() == 1);
    CHECK(rig.state.snapshot(rig.now).servers[0].state == ServerState::Draining);
    rig.now += ControlState::helloInterval;
    rig.apply(Ticked {});
    for (auto& effect : rig.last) {
        auto* it = std::get_if<SendHello>(&effect);
        if (!it)
            continue;
        REQUIRE(it->hello.leaving.size() == 1);
        // The word does not live longer for being passed on.
        CHECK(it->hello.leaving[0].remaining < milliseconds(3000));
    }
}

// A server leaves while this entry can't reach the store. The peer's list no longer has it.
TEST_CASE("ControlState: the server list is pulled when a peer knows a later change")
{
    Rig rig;
    rig.listBoth(7);
    rig.apply(StoreFailed { Topic::Servers });
    rig.apply(HelloReceived { rig.hello(7, 10) });
    CHECK(rig.count<Pull>() == 0);
    rig.apply(HelloReceived { rig.hello(7, 15) });
    REQUIRE(rig.count<Pull>() == 1);
    rig.apply(PullAnswered { Topic::Servers, { {}, 15 } });
    CHECK(rig.state.snapshot(rig.now).servers.empty());
}

TEST_CASE("ControlState: what this entry holds can be pulled, servers that only lapsed included")
{
    Rig rig;
    CHECK_FALSE(rig.state.published(Topic::Configuration).has_value());
    rig.listBoth(7);
    rig.apply(StoreFailed { Topic::Servers });
    rig.apply(StoreChanged { Topic::Servers, { { { "s1", "", 12, true } }, 12 } });
    auto items = rig.state.published(Topic::Servers);
    REQUIRE(items.has_value());
    CHECK(items->items.size() == 1);
    CHECK(rig.state.published(Topic::Configuration)->items[0].document == "7");
}

TEST_CASE("ControlState: an entry that was told to stop is not ready and says so at once")
{
    Rig rig;
    rig.listBoth(7);
    rig.now += milliseconds(1);
    rig.apply(StopRequested {});
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    // One to the own data centre, one to the others.
    REQUIRE(rig.count<SendHello>() == 2);
    for (auto& effect : rig.last) {
        if (auto* it = std::get_if<SendHello>(&effect))
            CHECK(it->hello.sender.state == EntryState::Leaving);
    }
}

// All racks lose power for a second. The servers are back with new ids, the list still holds the old ones, and drafts are
// refused after four tries at servers that are no more, though each address has a server that would take them.
TEST_CASE("ControlState: an address belongs to the server that was listed there last")
{
    Rig rig;
    auto idsInUse = [&] {
        std::vector<std::string> ids;
        for (auto& server : rig.state.snapshot(rig.now).servers)
            ids.push_back(server.id.value());
        return ids;
    };
    rig.list(Topic::Configuration, { { "", "1", 5, false } }, 10);
    rig.list(Topic::Servers, { { "z-old@3", "ready", 6, false }, { "b@4", "ready", 7, false } }, 10);
    rig.apply(StoreChanged { Topic::Servers, { { { "a-new@3", "ready", 12, false } }, 12 } });
    CHECK(idsInUse() == std::vector<std::string> { "a-new@3", "b@4" });
    // The old entry lapses later; that says nothing of the new one.
    rig.apply(StoreChanged { Topic::Servers, { { { "z-old@3", "", 14, true } }, 14 } });
    CHECK(idsInUse() == std::vector<std::string> { "a-new@3", "b@4" });
}

// The same loss of power: entries come up beside the agents and hear of closed groups only a second later.
// Another writer lists something at the address of a server that serves, under a service that does not exist. By its later
// revision the address would be its own, and the server would get no requests any more.
TEST_CASE("ControlState: an entry of the list of an unknown service takes no address from a server")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    rig.list(Topic::Servers, { { "a@5", "ready", 6, false } }, 10);
    rig.apply(StoreChanged { Topic::Servers, { { { "b@5", "ready elsewhere", 11, false } }, 11 } });
    auto snapshot = rig.state.snapshot(rig.now);
    REQUIRE(snapshot.servers.size() == 1);
    CHECK(snapshot.servers[0].id == BackendServerId("a@5"));
}

// Another writer overwrites the entry of a server with bytes that can't be read. What it names is no server; the others
// hold, and the next sound entry is taken again.
TEST_CASE("ControlState: an entry that can't be read any more names no server until it can")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    rig.list(Topic::Servers, { { "s1", "ready", 6, false }, { "s2", "ready", 7, false } }, 10);
    PublishedItem broken { "s1", "", 11, false, "a value is no base64 text" };
    rig.apply(StoreChanged { Topic::Servers, { { broken }, 11 } });
    REQUIRE(rig.state.snapshot(rig.now).servers.size() == 1);
    CHECK(rig.state.snapshot(rig.now).servers[0].id == BackendServerId("s2"));
    rig.apply(StoreChanged { Topic::Servers, { { { "s1", "ready", 12, false } }, 12 } });
    auto snapshot = rig.state.snapshot(rig.now);
    REQUIRE(snapshot.servers.size() == 2);
    CHECK(snapshot.servers[0].state == ServerState::Ready);
}

// A server was told to leave, ended and started again under its id. The word that it leaves is still on its way among the
// entries; held against the new process, it would stand idle for six seconds.
TEST_CASE("ControlState: word that a server leaves ends with the life that it was said of")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    rig.list(Topic::Servers, { { "s1", "draining from 1000", 6, false } }, 10);
    rig.apply(StoreChanged { Topic::Servers, { { { "s1", "draining from 1000", 11, false } }, 11 } });
    rig.apply(StoreChanged { Topic::Servers, { { { "s1", "ready from 2000", 12, false } }, 12 } });
    auto lateHello = rig.hello(7, 12);
    lateHello.leaving = { { hashOf(ServerIncarnation { BackendServerId("s1"), ServerStartTime(1000) }), milliseconds(3000) } };
    rig.apply(HelloReceived { lateHello });
    auto snapshot = rig.state.snapshot(rig.now);
    REQUIRE(snapshot.servers.size() == 1);
    CHECK(snapshot.servers[0].state == ServerState::Ready);
    CHECK(snapshot.servers[0].startedAt == ServerStartTime(2000));
}

// A peer that has not heard of a restart answers a pull, or a late write of the ended process comes last. Requests would be
// counted against a process that is gone.
TEST_CASE("ControlState: the latest life of a server stays, whoever speaks of an earlier one")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    rig.list(Topic::Servers, { { "s1", "ready from 2000", 6, false } }, 10);
    rig.apply(PullAnswered { Topic::Servers, { { { "s1", "draining from 1000", 12, false } }, 12 } });
    REQUIRE(rig.state.snapshot(rig.now).servers.size() == 1);
    CHECK(rig.state.snapshot(rig.now).servers[0].startedAt == ServerStartTime(2000));
    rig.apply(StoreChanged { Topic::Servers, { { { "s1", "draining from 1000", 13, false } }, 13 } });
    CHECK(rig.state.snapshot(rig.now).servers[0].startedAt == ServerStartTime(2000));
    // What is passed on says so too.
    CHECK(rig.state.published(Topic::Servers)->items.at(0).document == "ready from 2000");
}

// A datagram of the agent says that the rank's group is broken; it was sent before the engine started again and arrives
// after the word that the new one is open.
TEST_CASE("ControlState: news of a rank of an ended life changes nothing")
{
    Rig rig;
    rig.listBoth(7);
    RankStatus status { endpoint(5), EngineGroupName("g"), GroupEpoch(2), RankIndex(0), 1, true, 1, ServerStartTime(2000) };
    rig.apply(RankStatusReceived { status });
    status.isOpen = false;
    status.startedAt = ServerStartTime(1000);
    rig.apply(RankStatusReceived { status });
    REQUIRE(rig.state.snapshot(rig.now).ranks.size() == 1);
    CHECK(rig.state.snapshot(rig.now).ranks[0].status.isOpen);
}

TEST_CASE("ControlState: agents are spoken to as soon as configuration and servers are known")
{
    Rig rig;
    rig.apply(Ticked {});
    CHECK(rig.count<SendBrief>() == 0);
    rig.now += ControlState::startupBriefDelay;
    rig.list(Topic::Configuration, { { "", "1", 5, false } }, 10);
    rig.list(Topic::Servers, { { "a@3", "ready", 6, false } }, 10);
    CHECK(rig.count<SendBrief>() == 1);
    rig.now += ControlState::tickInterval;
    rig.apply(Ticked {});
    CHECK(rig.count<SendBrief>() == 0);
}

// Data centres tell each other what their servers have to do. Word of one that has been cut off since must not draw requests to
// it for good.
TEST_CASE("ControlState: the load that another data centre tells counts for a while")
{
    Rig rig;
    rig.listBoth(7);
    auto hello = rig.hello(7, 6);
    hello.loads = { { ServiceName("model"), 3, 0 } };
    rig.apply(HelloReceived { hello });
    CHECK(rig.state.snapshot(rig.now).remoteLoads.empty());
    hello.sender.dataCentre = DataCentreName("b");
    hello.sender.control = endpoint(9);
    rig.apply(HelloReceived { hello });
    auto remoteLoads = rig.state.snapshot(rig.now).remoteLoads;
    REQUIRE(remoteLoads.size() == 1);
    CHECK(remoteLoads[0].dataCentre == DataCentreName("b"));
    CHECK(remoteLoads[0].load.running == 3);
    CHECK(rig.state.snapshot(rig.now + ControlState::remoteLoadLifetime).remoteLoads.empty());
}

// Failure: what the store says after its return from an older copy is taken for old, and servers that leave go on to get work.
TEST_CASE("ControlState: a server that leaves after the store has come back from an older copy gets no work")
{
    auto state = GENERATE("gone", "draining");
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 35);
    rig.list(Topic::Servers, { { "s1", "ready", 6, false }, { "s2", "ready", 7, false } }, 35);
    rig.now += seconds(5);
    rig.apply(StoreListed { Topic::Servers, { { { "s1", "ready", 6, false }, { "s2", "ready", 7, false } }, 30, StoreEra(1) } });
    rig.now += seconds(3);
    PublishedItem change { "s1", std::string(state) == "gone" ? "" : state, 31, std::string(state) == "gone" };
    change.era = StoreEra(1);
    rig.apply(StoreChanged { Topic::Servers, { { change }, 31, StoreEra(1) } });
    rig.now += 2 * Departures::propagationTime;
    rig.apply(Ticked {});
    auto servers = rig.state.snapshot(rig.now).servers;
    auto isReady = [](auto& it) { return it.id == BackendServerId("s1") && it.state == ServerState::Ready; };
    INFO("state: " << state);
    CHECK(std::none_of(servers.begin(), servers.end(), isReady));
}

// Failure: an entry does not follow the store, and takes the list of one that has heard of its return for older than its own.
TEST_CASE("ControlState: the list of a later era is pulled, whatever its revision")
{
    Rig rig;
    rig.listBoth(7);
    auto hello = rig.hello(7, 4);
    hello.servers.era = StoreEra(1);
    rig.apply(HelloReceived { hello });
    REQUIRE(rig.count<Pull>() == 1);
    rig.apply(PullAnswered { Topic::Servers, { { { "s2", "ready", 3, false, {}, StoreEra(1) } }, 4, StoreEra(1) } });
    auto servers = rig.state.snapshot(rig.now).servers;
    REQUIRE(servers.size() == 1);
    CHECK(servers[0].id == BackendServerId("s2"));
    // And what it holds itself says so.
    CHECK(rig.state.published(Topic::Servers)->position() == StorePosition { StoreEra(1), 4 });
    rig.apply(StoreChanged { Topic::Servers, { { { "s2", "", 12, true } }, 12 } });
    CHECK(rig.state.snapshot(rig.now).servers.size() == 1);
}

// Failure: an address stays with the server that had it before the return, by a higher revision of an earlier era.
TEST_CASE("ControlState: an address belongs to the server that was listed there in the latest era")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 40);
    rig.list(Topic::Servers, { { "old@5", "ready", 39, false } }, 40);
    rig.apply(StoreListed { Topic::Servers, { { { "new@5", "ready", 31, false, {}, StoreEra(1) } }, 31, StoreEra(1) } });
    auto servers = rig.state.snapshot(rig.now).servers;
    REQUIRE(servers.size() == 1);
    CHECK(servers[0].id == BackendServerId("new@5"));
}

// Failure: after the return the operator's newest configuration is missing for a moment, and an older one is taken instead.
TEST_CASE("ControlState: no configuration reverts when the store comes back from an older copy")
{
    Rig rig;
    rig.listBoth(9);
    rig.apply(StoreListed { Topic::Configuration, { { { "", "7", 3, false, {}, StoreEra(1) } }, 4, StoreEra(1) } });
    CHECK(rig.version() == 9);
    rig.apply(StoreChanged { Topic::Configuration, { { { "", "10", 5, false, {}, StoreEra(1) } }, 5, StoreEra(1) } });
    CHECK(rig.version() == 10);
}

// Failure: one entry has heard from a server that it leaves, and the others learn of it from the list only, or not at all.
TEST_CASE("ControlState: that a server says that it leaves is told to all entries at once")
{
    Rig rig;
    rig.apply(HelloReceived { rig.hello(0, 0) });
    rig.listBoth(7);
    rig.apply(LeavingReported { { BackendServerId("s1"), {} } });
    CHECK(rig.state.snapshot(rig.now).servers.at(0).state == ServerState::Draining);
    REQUIRE(rig.count<SendHello>() == 1);
    auto* hello = std::get_if<SendHello>(&rig.last.front());
    REQUIRE(hello);
    REQUIRE(hello->hello.leaving.size() == 1);
    CHECK(hello->hello.leaving[0].server == hashOf(ServerIncarnation { BackendServerId("s1"), {} }));
}
