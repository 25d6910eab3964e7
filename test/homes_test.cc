#include "src/gateway/control-state.h"
#include "src/gateway/dispatcher.h"
#include "src/gateway/homes.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <random>

using namespace swiftloft;
using namespace swiftloft::gateway;
using namespace swiftloft::gateway::dispatch;
using Catch::Matchers::Equals;

namespace {

const TimePoint start { seconds(100) };
const ServiceName model { "model" };
const std::string key { "homes" };
using Homes = std::vector<RegionName>;

Homes homes(const std::vector<std::string>& names)
{
    return { names.begin(), names.end() };
}

/// Data centre dX1 and dX2 lie in region X, for X from a to c.
DataCentreRegions regions()
{
    std::map<DataCentreName, RegionName> out;
    for (const auto* region : { "a", "b", "c" }) {
        for (int n : { 1, 2 })
            out.emplace(fmt::format("d{}{}", region, n), region);
    }
    return DataCentreRegions::create(out).value();
}

BackendServer server(const std::string& id, const std::string& dataCentre, ServerState state = ServerState::Ready)
{
    return { BackendServerId(id), model, { boost::asio::ip::address_v4(0x0a000001), 8000 }, DataCentreName(dataCentre), 1, state };
}

/// A dispatcher with one service in virtual time.
struct HomesRig {
    explicit HomesRig(std::vector<BackendServer> servers, Homes routeHomes = {})
    {
        route.name = "r";
        route.isIdempotent = true;
        route.isStream = true;
        route.timeout = seconds(8);
        route.objective = milliseconds(400);
        route.maximumServers = 3;
        route.services = { { model, 1 } };
        route.homes = std::move(routeHomes);
        open.name = "open";
        open.timeout = seconds(8);
        open.objective = milliseconds(400);
        open.services = route.services;
        setServers(std::move(servers));
    }

    void setServers(std::vector<BackendServer> servers)
    {
        auto snapshot = std::make_shared<Snapshot>();
        ConfigurationParts parts;
        parts.services.push_back({ model, "/health", 0, EngineTraits { .layers = 1 } });
        snapshot->configuration = Configuration::create(parts).value();
        snapshot->servers = std::move(servers);
        apply(SnapshotChanged { snapshot });
    }

    void apply(const Event& event)
    {
        last = dispatcher.apply(now, event);
        hasOffered |= std::any_of(last.begin(), last.end(), [](auto& it) { return std::holds_alternative<StartTakeover>(it); });
    }

    void arrive(std::uint64_t id, const Homes& organisation = {}) { arrive(id, route, organisation); }
    void arrive(std::uint64_t id, const Route& at, const Homes& organisation = {})
    {
        CallRequest request { nullptr, &at, 1, now, now + at.timeout, Tokens(100), Tokens(50) };
        request.organisationHomes = organisation;
        apply(RequestArrived { CallId(id), request });
    }

    /// What the last event did to the request: the server that got it, "refused REASON", or "nothing".
    std::string outcome(std::uint64_t id) const
    {
        for (auto& effect : last) {
            if (auto* it = std::get_if<StartAttempt>(&effect); it && it->call == CallId(id))
                return it->server.id.value();
            if (auto* it = std::get_if<Refuse>(&effect); it && it->call == CallId(id))
                return std::string("refused ") + std::string(toString(it->reason)) + (it->verdict == Verdict::NotRun ? "" : ", may have run") + (it->retryAt ? ", retry" : "") + (it->homes ? ", homes " + *it->homes : "");
        }
        return "nothing";
    }

    static DispatcherOptions options()
    {
        DispatcherOptions out;
        out.retries.slack = 1000;
        out.regions = regions();
        return out;
    }

    TimePoint now { start };
    Route route;
    Route open;
    Dispatcher dispatcher { options(), policy::Generator(3) };
    Effects last;
    bool hasOffered { false };
};

std::shared_ptr<const Configuration> configurationOf(const Homes& route, const Homes& organisation)
{
    ConfigurationParts parts;
    parts.version = ConfigurationVersion(1);
    Route it;
    it.name = "draft";
    it.host = "a.example";
    it.prefix = "/";
    it.timeout = seconds(1);
    it.services = { { model, 1 } };
    it.homes = route;
    parts.routes = { it };
    parts.organisations = { { OrganisationName("cafe"), { "k1" }, {}, organisation } };
    return Configuration::create(parts).value();
}

} // namespace

TEST_CASE("Homes: those of route and organisation both bind")
{
    auto known = regions();
    auto allowed = [&](const Homes& route, const Homes& organisation) {
        std::string out;
        for (std::string dataCentre : { "da1", "db2", "dc1", "elsewhere" })
            out += homesOf(route, organisation, known).allows(known.bitOf(DataCentreName(dataCentre))) ? dataCentre + " " : "";
        return out;
    };
    CHECK(allowed({}, {}) == "da1 db2 dc1 elsewhere ");
    CHECK(allowed(homes({ "a", "b" }), {}) == "da1 db2 ");
    CHECK(allowed({}, homes({ "c" })) == "dc1 ");
    CHECK(allowed(homes({ "a", "b" }), homes({ "b", "c" })) == "db2 ");
    CHECK(allowed(homes({ "a" }), homes({ "b" })).empty());
    CHECK(homesOf(homes({ "a" }), homes({ "b" }), known).isEmpty());
}

TEST_CASE("Homes: a configuration with an unknown region is refused with owner, key and region")
{
    CHECK(checkHomes(*configurationOf(homes({ "a" }), homes({ "b", "c" })), regions(), key).has_value());
    CHECK(checkHomes(*configurationOf({}, {}), {}, key).has_value());
    CHECK_THAT(checkHomes(*configurationOf(homes({ "a", "x" }), {}), regions(), key).error().message, Equals("route draft: key 'homes' names the unknown region 'x'; known regions are a, b, c"));
    CHECK_THAT(checkHomes(*configurationOf({}, homes({ "y" })), regions(), key).error().message, Equals("organisation cafe: key 'homes' names the unknown region 'y'; known regions are a, b, c"));
    CHECK_THAT(checkHomes(*configurationOf(homes({ "a" }), {}), {}, key).error().message, Equals("route draft: key 'homes' names the unknown region 'a'; the settings name no regions"));
}

// Guards against this failure: an entry drops the configuration in force for one that it refuses, or an entry that was
// restarted takes a refused configuration because it has no other.
TEST_CASE("Homes: a refused configuration leaves the one in force, and an entry without one is not ready")
{
    Protocol protocol;
    protocol.decodeConfiguration = withCheckedHomes([](std::string_view document) -> Result<std::shared_ptr<const Configuration>> {
        ConfigurationParts parts;
        parts.version = ConfigurationVersion(std::stoull(std::string(document.substr(0, 1))));
        parts.organisations = { { OrganisationName("cafe"), { "k1" }, {}, homes({ std::string(document.substr(1)) }) } };
        return Configuration::create(parts);
    },
        regions(), key);
    EntryMember self { { boost::asio::ip::address_v4(0x0a000001), 7000 }, Incarnation(1), 0, {}, DataCentreName("da1"), EntryState::Starting };
    ControlState state(self, {}, 1, protocol, policy::Generator(1), start);
    auto publish = [&](const std::string& document, std::uint64_t revision) {
        PublishedItems items { { { "", document, revision } }, revision };
        state.apply(start, control::StoreListed { Topic::Configuration, items });
        auto snapshot = state.snapshot(start);
        return snapshot.configuration ? static_cast<int>(snapshot.configuration->version().value()) : 0;
    };
    state.apply(start, control::StoreListed { Topic::Servers, {} });
    CHECK(publish("1x", 11) == 0);
    CHECK_FALSE(state.snapshot(start).isReady);
    CHECK(publish("2a", 12) == 2);
    CHECK(state.snapshot(start).isReady);
    CHECK(publish("3x", 13) == 2);
    CHECK(state.published(Topic::Configuration)->items.front().document == "2a");
    CHECK(publish("4b", 14) == 4);
}

TEST_CASE("Homes: a request goes only to servers in the homes of its route and organisation")
{
    HomesRig rig({ server("a", "da1"), server("b", "db1"), server("c", "dc1"), server("x", "elsewhere") }, homes({ "a", "b" }));
    rig.arrive(1, homes({ "b", "c" }));
    CHECK(rig.outcome(1) == "b");
    rig.arrive(2);
    CHECK(rig.outcome(2) == "a");
    rig.arrive(3, rig.open, homes({ "c" }));
    CHECK(rig.outcome(3) == "c");
    rig.arrive(4, rig.open);
    CHECK(rig.outcome(4) == "x");
}

TEST_CASE("Homes: a request whose route and organisation share no home is refused at once and not told to retry")
{
    HomesRig rig({ server("a", "da1"), server("b", "db1") }, homes({ "a" }));
    rig.arrive(1, homes({ "b" }));
    CHECK(rig.outcome(1) == "refused no-common-home, homes ");
}

// Guards against these failures: all servers of the home are lost, or its data centre is evacuated, and the requests wait
// for nothing or are sent to a region that may not have them.
TEST_CASE("Homes: without a usable server in its homes a request is refused at once, with a time to retry")
{
    HomesRig rig({ server("a", "da1"), server("b", "db1") }, homes({ "a" }));
    rig.arrive(1);
    REQUIRE(rig.outcome(1) == "a");
    rig.arrive(2);
    REQUIRE(rig.outcome(2) == "nothing");
    SECTION("the servers are lost") { rig.setServers({ server("b", "db1") }); }
    SECTION("the data centre is evacuated") { rig.setServers({ server("a", "da1", ServerState::Draining), server("b", "db1") }); }
    CHECK(rig.outcome(2) == "refused no-home-server, retry, homes a");
    rig.apply(CallClosed { CallId(2) });
    rig.arrive(3);
    CHECK(rig.outcome(3) == "refused no-home-server, retry, homes a");
    rig.arrive(4, rig.open);
    CHECK(rig.outcome(4) == "b");
    rig.setServers({ server("a2", "da2"), server("b", "db1") });
    rig.arrive(5);
    CHECK(rig.outcome(5) == "a2");
}

// Guards against this failure: a request that waits for its full home holds up all requests of the service.
TEST_CASE("Homes: a request that waits for its homes delays no request that other servers may run")
{
    HomesRig rig({ server("a", "da1"), server("b", "db1") }, homes({ "a" }));
    rig.arrive(1);
    rig.arrive(2);
    CHECK(rig.outcome(2) == "nothing");
    rig.arrive(3, rig.open);
    CHECK(rig.outcome(3) == "b");
    rig.apply(AttemptEnded { CallId(1), AttemptOutcome::Answered });
    CHECK(rig.outcome(2) == "a");
}

// Guards against this failure: a stream is cancelled at its silent server, and no server of its homes can take it.
TEST_CASE("Homes: a stream is not cancelled for a server outside its homes")
{
    for (bool hasSecondHome : { false, true }) {
        HomesRig rig({ server("a", "da1"), server("b", hasSecondHome ? "da2" : "db1"), server("c", "dc1") }, homes({ "a" }));
        rig.setServers({ server("a", "da1") });
        rig.arrive(1);
        rig.apply(ResponseStarted { CallId(1) });
        rig.setServers({ server("a", "da1"), server("b", hasSecondHome ? "da2" : "db1"), server("c", "dc1") });
        for (int n = 0; n < 10; ++n) {
            rig.now += milliseconds(200);
            // Other requests come and go, so that the other servers are active.
            for (std::uint64_t id = 2; id <= 3; ++id) {
                rig.arrive(id, rig.open);
                rig.apply(ResponseStarted { CallId(id) });
                rig.apply(AttemptEnded { CallId(id), AttemptOutcome::Answered });
                rig.apply(CallClosed { CallId(id) });
            }
            rig.apply(Ticked {});
        }
        INFO("a second server of the home: " << hasSecondHome);
        CHECK(rig.hasOffered == hasSecondHome);
    }
}

// Guards against this failure: a repeat, a wait or a change of the server list carries a request out of its homes.
TEST_CASE("Homes: no attempt leaves the homes while servers are lost, fail, and return")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        auto pick = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
        HomesRig rig({});
        std::vector<Homes> choices { {}, homes({ "a" }), homes({ "b" }), homes({ "a", "c" }), homes({ "b", "c" }) };
        std::vector<Route> routes(choices.size(), rig.route);
        std::map<CallId, HomeSet> calls;
        std::vector<CallId> running;
        auto known = regions();
        for (auto& homesOfRoute : choices)
            routes[static_cast<std::size_t>(&homesOfRoute - choices.data())].homes = homesOfRoute;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            rig.now += milliseconds(pick(120));
            auto kind = pick(4);
            if (kind == 0) {
                std::vector<BackendServer> servers;
                for (std::string dataCentre : { "da1", "da2", "db1", "db2", "dc1", "dc2" }) {
                    if (pick(3) > 0)
                        servers.push_back(server("s" + dataCentre, dataCentre, pick(4) == 0 ? ServerState::Draining : ServerState::Ready));
                }
                rig.setServers(servers);
            } else if (kind == 1 && !running.empty()) {
                auto outcomes = { AttemptOutcome::Answered, AttemptOutcome::Lost, AttemptOutcome::NotRun, AttemptOutcome::ServerError, AttemptOutcome::NotSent };
                auto call = running.back();
                running.pop_back();
                rig.apply(AttemptEnded { call, outcomes.begin()[pick(5)] });
            } else if (kind == 2)
                rig.apply(Ticked {});
            else {
                auto& route = routes[static_cast<std::size_t>(pick(5))];
                auto& organisation = choices[static_cast<std::size_t>(pick(5))];
                calls[CallId(id)] = homesOf(route.homes, organisation, known);
                rig.arrive(id, route, organisation);
            }
            for (auto& effect : rig.last) {
                auto* sent = std::get_if<StartAttempt>(&effect);
                if (!sent)
                    continue;
                running.push_back(sent->call);
                INFO("seed " << seed << ", call " << sent->call.value() << ", server in " << sent->server.dataCentre.value());
                REQUIRE(calls.at(sent->call).allows(known.bitOf(sent->server.dataCentre)));
            }
        }
    }
}
