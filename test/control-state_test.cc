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

/// Time for which the servers of the test service are cold.
constexpr milliseconds coldTime { 3000 };

/// Test documents: a configuration is its version, a server is "SERVICE ready" or "SERVICE draining".
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
        parts.services.push_back({ ServiceName("model"), "/health", 0, traits, coldTime });
        return Configuration::create(parts);
    };
    protocol.decodeServer = [](std::string_view id, std::string_view document, TimePoint) -> Result<BackendServer> {
        if (document == "broken")
            return Error { ErrorCode::MalformedInput, "broken" };
        BackendServer server;
        server.id = BackendServerId(std::string(id));
        server.service = ServiceName("model");
        // "ready from N" is a server whose process started at N.
        if (auto at = document.find(" from "); at != std::string_view::npos) {
            server.startedAt = ServerStartTime(std::stoull(std::string(document.substr(at + 6))));
            document = document.substr(0, at);
        }
        // "ready elsewhere" is a server of a service that no configuration names.
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

TEST_CASE("ControlState: ready once the store has returned configuration and servers")
{
    Rig rig;
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    rig.list(Topic::Servers, {}, 10);
    CHECK(rig.state.snapshot(rig.now).isReady);
}

// An entry starts while the store rejects one of its peers. A key in the configuration that this peer holds has been
// revoked since. If the entry used this configuration, the revoked key would work again.
TEST_CASE("ControlState: a starting entry relies on its peers only when the store does not answer")
{
    Rig rig;
    rig.apply(PullAnswered { Topic::Configuration, { { { "", "6", 4, false } }, 4 } });
    rig.apply(PullAnswered { Topic::Servers, { { { "s1", "ready", 3, false } }, 4 } });
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    rig.now += ControlState::startupStoreTimeout;
    rig.apply(Ticked {});
    CHECK(rig.state.snapshot(rig.now).isReady);
}

// The store's answer to an earlier read arrives after a newer configuration came from a peer. If it were applied, it
// would restore removed routes and keys.
TEST_CASE("ControlState: no older configuration replaces a newer one, whatever its source")
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

TEST_CASE("ControlState: a configuration that can't be read leaves the last valid one in force")
{
    Rig rig;
    rig.listBoth(7);
    rig.apply(StoreChanged { Topic::Configuration, { { { "", "broken", 11, false } }, 11 } });
    CHECK(rig.version() == 7);
    rig.apply(StoreChanged { Topic::Configuration, { { { "", "8", 12, false } }, 12 } });
    CHECK(rig.version() == 8);
}

TEST_CASE("ControlState: a malformed server entry is ignored, the others are kept")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    rig.list(Topic::Servers, { { "s1", "broken", 6, false }, { "s2", "ready", 7, false } }, 10);
    auto servers = rig.state.snapshot(rig.now).servers;
    REQUIRE(servers.size() == 1);
    CHECK(servers[0].id == BackendServerId("s2"));
}

// The store rejects this entry and serves the others, and a key is revoked just then. Without the hellos of its peers
// the entry would accept the key until the store serves it again.
TEST_CASE("ControlState: a newer configuration is pulled from the peer that has it")
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
    // A pull that never gets a response does not block the next one for ever.
    rig.now += PullSchedule::pullTimeout;
    rig.apply(HelloReceived { rig.hello(8, 0) });
    CHECK(rig.count<Pull>() == 1);
    rig.apply(PullAnswered { Topic::Configuration, { { { "", "8", 12, false } }, 12 } });
    rig.apply(HelloReceived { rig.hello(8, 0) });
    CHECK(rig.count<Pull>() == 0);
}

TEST_CASE("ControlState: a newer configuration is announced to peers at once")
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

// The store rejects all watching entries of a data centre. Entries that rely on them would accept a revoked key until
// the store serves them again.
TEST_CASE("ControlState: an entry starts to watch the store when the watching entries can't")
{
    Rig rig;
    rig.listBoth(7);
    rig.now += ControlState::startupNeighbourDelay;
    rig.apply(Ticked {});
    REQUIRE(rig.count<SetWatching>() == 1);
    bool isOn = true;
    auto receiveHellos = [&](milliseconds after, bool isWatching, std::uint64_t heartbeat) {
        rig.now += after;
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
    receiveHellos(ControlState::minWatchTime, true, 1);
    CHECK_FALSE(isOn);
    receiveHellos(ControlState::helloInterval, false, 2);
    // Of the four entries before this one, the first two watch, and the other two are backups that start earlier.
    CHECK_FALSE(isOn);
    rig.now += ControlState::backupWatchDelay + 3 * ControlState::backupWatchInterval;
    rig.apply(Ticked {});
    CHECK(rig.count<SetWatching>() == 1);
}

// A server is draining while half of the entries are restarted. An entry that learns of it only by pulling the list
// from peers that are about to stop sends it requests for seconds.
TEST_CASE("ControlState: the report that a server leaves comes with each hello and is passed on")
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
        // Passing the report on does not extend its lifetime.
        CHECK(it->hello.leaving[0].remaining < milliseconds(3000));
    }
}

// Guards against this failure: an entry that has just started does not learn which requests have crashed servers.
TEST_CASE("ControlState: suspects of the traffic thread go into every hello, and those of peers to the traffic thread")
{
    Rig rig;
    rig.listBoth(7);
    std::vector<policy::SuspicionMessage> suspicions { { Fingerprint(1), policy::CrashId(2), false, milliseconds(3000) } };
    rig.apply(LoadsMeasured { {}, {}, suspicions });
    rig.now += ControlState::helloInterval;
    rig.apply(Ticked {});
    REQUIRE(rig.count<SendHello>() > 0);
    for (auto& effect : rig.last) {
        if (auto* it = std::get_if<SendHello>(&effect))
            CHECK(it->hello.suspicions == suspicions);
    }
    auto hello = rig.hello(7, 10);
    hello.suspicions = suspicions;
    rig.apply(HelloReceived { hello });
    CHECK(rig.count<ForwardSuspicions>() == 1);
}

// A server leaves while this entry can't reach the store. The peer's list no longer contains it.
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

TEST_CASE("ControlState: the documents of this entry can be pulled, those of expired servers included")
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

TEST_CASE("ControlState: a stopping entry is not ready and announces it at once")
{
    Rig rig;
    rig.listBoth(7);
    rig.now += milliseconds(1);
    rig.apply(StopRequested { rig.now + seconds(3) });
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    CHECK(rig.state.snapshot(rig.now).servesWhileLeaving);
    REQUIRE(rig.state.snapshot(rig.now).leavers.size() == 1);
    CHECK(rig.state.snapshot(rig.now).leavers.front().acceptsUntil == rig.now + seconds(3));
    // One hello to the local entries, one to the remote ones.
    REQUIRE(rig.count<SendHello>() == 2);
    for (auto& effect : rig.last) {
        if (auto* it = std::get_if<SendHello>(&effect))
            CHECK((it->hello.sender.state == EntryState::Leaving && it->hello.sender.acceptsFor == seconds(3)));
    }
    rig.now += seconds(1);
    rig.apply(Ticked {});
    CHECK(rig.state.snapshot(rig.now + seconds(2)).leavers.empty());
    for (auto& effect : rig.last) {
        if (auto* it = std::get_if<SendHello>(&effect))
            CHECK(it->hello.sender.acceptsFor == seconds(2));
    }
}

// Guards against this failure: an entry that is stopped before it was ready is named to clients, and serves them with a
// configuration from a peer that may itself be cut off from the store, so that revoked keys are accepted.
TEST_CASE("ControlState: an entry that is stopped before it was ready accepts nothing")
{
    Rig rig;
    rig.apply(PullAnswered { Topic::Configuration, { { { "", "7", 5, false } }, 10 } });
    REQUIRE(rig.version() == 7);
    REQUIRE_FALSE(rig.state.snapshot(rig.now).isReady);
    rig.apply(StopRequested { rig.now + seconds(3) });
    CHECK_FALSE(rig.state.snapshot(rig.now).servesWhileLeaving);
    CHECK(rig.state.snapshot(rig.now).leavers.empty());
}

// All racks lose power for a second. The servers are back with new ids, and the list still holds the old ones. Draft
// requests are refused after four attempts at servers that no longer exist, though each address has a server that would
// accept them.
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
    // The old entry expires later, which does not affect the new one.
    rig.apply(StoreChanged { Topic::Servers, { { { "z-old@3", "", 14, true } }, 14 } });
    CHECK(idsInUse() == std::vector<std::string> { "a-new@3", "b@4" });
}

// Another writer lists an entry with the address of a working server and a service that does not exist. The later
// revision of that entry would give it the address, and the server would get no more requests.
TEST_CASE("ControlState: a list entry of an unknown service takes no address from a server")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    rig.list(Topic::Servers, { { "a@5", "ready", 6, false } }, 10);
    rig.apply(StoreChanged { Topic::Servers, { { { "b@5", "ready elsewhere", 11, false } }, 11 } });
    auto snapshot = rig.state.snapshot(rig.now);
    REQUIRE(snapshot.servers.size() == 1);
    CHECK(snapshot.servers[0].id == BackendServerId("a@5"));
}

// Another writer overwrites the entry of a server with bytes that can't be read. That entry names no server then, the
// others stay, and its next readable version is applied again.
TEST_CASE("ControlState: a list entry that becomes unreadable names no server until it can be read again")
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

// A server was draining, ended and started again under its id. Entries still pass on the report that it leaves. If the
// report applied to the new process, the server would be idle for six seconds.
TEST_CASE("ControlState: the report that a server leaves ends with the incarnation that it is about")
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

// A peer that does not know of a restart responds to a pull, or a late write of the ended process comes last. Requests
// would be counted against a process that no longer exists.
TEST_CASE("ControlState: the latest incarnation of a server stays, whoever reports an earlier one")
{
    Rig rig;
    rig.list(Topic::Configuration, { { "", "7", 5, false } }, 10);
    rig.list(Topic::Servers, { { "s1", "ready from 2000", 6, false } }, 10);
    rig.apply(PullAnswered { Topic::Servers, { { { "s1", "draining from 1000", 12, false } }, 12 } });
    REQUIRE(rig.state.snapshot(rig.now).servers.size() == 1);
    CHECK(rig.state.snapshot(rig.now).servers[0].startedAt == ServerStartTime(2000));
    rig.apply(StoreChanged { Topic::Servers, { { { "s1", "draining from 1000", 13, false } }, 13 } });
    CHECK(rig.state.snapshot(rig.now).servers[0].startedAt == ServerStartTime(2000));
    // The published list shows the latest incarnation too.
    CHECK(rig.state.published(Topic::Servers)->items.at(0).document == "ready from 2000");
}

// A datagram of the agent reports that the rank's group is broken. The datagram was sent before the engine restarted,
// and arrives after the report that the rank of the new engine is open.
TEST_CASE("ControlState: the status of a rank of an ended incarnation changes nothing")
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

// All racks lose power for a second. Entries start beside the agents, and without an early brief they learn of closed
// groups only a second later.
TEST_CASE("ControlState: briefs are sent as soon as configuration and servers are known")
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

// Data centres exchange the load of their servers. If a data centre is disconnected after its report, the report must
// not attract requests to it permanently.
TEST_CASE("ControlState: the load reported by another data centre counts for a limited time")
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

TEST_CASE("ControlState: the demand reported by another data centre counts until its next report, for a limited time")
{
    Rig rig;
    rig.listBoth(7);
    auto hello = rig.hello(7, 6);
    hello.sender.dataCentre = DataCentreName("b");
    hello.sender.control = endpoint(9);
    hello.loads = { { ServiceName("model"), 3, 0 } };
    hello.demands = { { ServiceName("model"), { { 0, 4 } }, {} } };
    rig.apply(HelloReceived { hello });
    auto demands = rig.state.snapshot(rig.now).remoteDemands;
    REQUIRE(demands.size() == 1);
    CHECK(demands[0].demand == hello.demands[0]);
    CHECK(rig.state.snapshot(rig.now + ControlState::remoteDemandLifetime).remoteDemands.empty());
    hello.demands.clear();
    rig.apply(HelloReceived { hello });
    CHECK(rig.state.snapshot(rig.now).remoteDemands.empty());
}

// Guards against this failure: changes in the store after its restore from an older copy are ignored as old, and
// leaving servers continue to get requests.
TEST_CASE("ControlState: a server that leaves after the store is restored from an older copy gets no requests")
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

// Guards against this failure: an entry that does not watch the store ignores the list of an entry that knows of the
// restore, because it takes that list for older than its own.
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
    // The published list has the new era too.
    CHECK(rig.state.published(Topic::Servers)->position() == StorePosition { StoreEra(1), 4 });
    rig.apply(StoreChanged { Topic::Servers, { { { "s2", "", 12, true } }, 12 } });
    CHECK(rig.state.snapshot(rig.now).servers.size() == 1);
}

// Guards against this failure: an address stays with the server that had it before the restore of the store, because
// that server was listed with a higher revision of an earlier era.
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

// Guards against this failure: after the restore the operator's newest configuration is missing for a moment, and an
// older one is applied instead.
TEST_CASE("ControlState: no configuration reverts when the store is restored from an older copy")
{
    Rig rig;
    rig.listBoth(9);
    rig.apply(StoreListed { Topic::Configuration, { { { "", "7", 3, false, {}, StoreEra(1) } }, 4, StoreEra(1) } });
    CHECK(rig.version() == 9);
    rig.apply(StoreChanged { Topic::Configuration, { { { "", "10", 5, false, {}, StoreEra(1) } }, 5, StoreEra(1) } });
    CHECK(rig.version() == 10);
}

// Guards against this failure: a server has reported to one entry that it leaves, and the other entries learn of it
// from the list only, or not at all.
TEST_CASE("ControlState: the report of a server that it leaves is sent to all entries at once")
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

// The watch of an entry that has started after the evacuation returns nothing of it, and its peers may be cut off from
// the store: the list alone must name the evacuation.
TEST_CASE("ControlState: servers of an evacuated data centre get no new requests until it ends")
{
    Rig rig;
    rig.listBoth(7);
    auto stateOf = [&] { return rig.state.snapshot(rig.now).servers.at(0).state; };
    CHECK(stateOf() == ServerState::Ready);
    rig.apply(StoreListed { Topic::Configuration, { {}, 12, {}, { { "", "{}", 11, false } } } });
    CHECK(stateOf() == ServerState::Draining);
    CHECK(rig.count<SendHello>() > 0);
    CHECK(rig.count<PublishSnapshot>() == 1);
    rig.apply(StoreChanged { Topic::Configuration, { {}, 14, {}, { { "", "", 13, true } } } });
    CHECK(stateOf() == ServerState::Ready);
}

// An entry that is cut off from the store hears of an evacuation from its peers only, and passes it on.
TEST_CASE("ControlState: an evacuation that a peer reports is in force and is reported to others")
{
    Rig rig;
    rig.listBoth(7);
    auto hello = rig.hello(7, 10);
    hello.evacuations = { { {}, 30 }, { { DataCentreName(""), { {}, 25 } } } };
    rig.apply(HelloReceived { hello });
    CHECK(rig.state.snapshot(rig.now).servers.at(0).state == ServerState::Draining);
    auto sent = std::find_if(rig.last.begin(), rig.last.end(), [](auto& it) { return std::holds_alternative<SendHello>(it); });
    REQUIRE(sent != rig.last.end());
    CHECK(std::get<SendHello>(*sent).hello.evacuations.asOf == StorePosition { {}, 30 });
}

// Servers become cold while their data centre is evacuated, and the list may show it only after they get requests again.
TEST_CASE("ControlState: after an evacuation the servers count as cold")
{
    Rig rig;
    rig.listBoth(7);
    rig.apply(StoreChanged { Topic::Configuration, { {}, 12, {}, { { "", "{}", 11, false } } } });
    rig.now += seconds(5);
    rig.apply(StoreChanged { Topic::Configuration, { {}, 14, {}, { { "", "", 13, true } } } });
    CHECK(rig.state.snapshot(rig.now).servers.at(0).coldUntil == rig.now + coldTime);
}

// An entry starts while its neighbours and the store are well. It must neither call the store nor wait until its
// timeout, and the list may change all the time.
TEST_CASE("ControlState: a starting entry is ready once it has the documents of an entry that the store responds to")
{
    Rig rig;
    auto hello = rig.hello(7, 10);
    hello.sender.isWatching = true;
    rig.apply(HelloReceived { hello });
    CHECK_FALSE(rig.state.snapshot(rig.now).isReady);
    rig.apply(PullAnswered { Topic::Configuration, { { { "", "7", 5, false } }, 5 } });
    hello.servers = { {}, 30 };
    hello.sender.heartbeat = 2;
    rig.apply(HelloReceived { hello });
    rig.apply(PullAnswered { Topic::Servers, { { { "s1", "ready", 6, false } }, 10 } });
    CHECK(rig.state.snapshot(rig.now).isReady);
}
