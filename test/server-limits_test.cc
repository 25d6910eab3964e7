#include "src/gateway/server-limits.h"
#include "src/gateway/snapshot.h"
#include "test/gateway-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;
using Catch::Matchers::Equals;
using swiftloft::test::FleetOptions;
using swiftloft::test::GatewayFleet;

namespace {

const TimePoint start { seconds(100) };
constexpr ServerHash server { 7 };
const std::optional<AdvertisedLimit> noLimit;

std::optional<AdvertisedLimit> advertised(double rate)
{
    return AdvertisedLimit { RequestRate(rate) };
}

Endpoint entryAt(unsigned n)
{
    return { boost::asio::ip::address_v4(0x0a000000U + n), 7000 };
}

EntryMember member(unsigned n)
{
    return { entryAt(n), Incarnation(n + 1), 1, entryAt(n), DataCentreName(std::string(1, static_cast<char>('a' + n % 3))), EntryState::Serving };
}

/// The snapshot of entry `self` in a fleet of `entries`.
Snapshot fleetOf(unsigned self, unsigned entries, std::size_t maxEntries = 0)
{
    Snapshot snapshot;
    snapshot.self = member(self);
    snapshot.isReady = true;
    snapshot.maxEntries = maxEntries ? maxEntries : entries;
    for (unsigned n = 0; n < entries; ++n) {
        if (n != self)
            snapshot.entries.push_back(member(n));
    }
    return snapshot;
}

/// Limits of an entry that has each limit to itself.
ServerLimits singleEntryLimits()
{
    ServerLimits limits;
    limits.setFleet(start, fleetOf(0, 1));
    return limits;
}

} // namespace

// Guards against this failure: each entry sends as if it were the only one, and an overloaded server gets more than it
// accepts from all of them together.
TEST_CASE("Server limits: entries together send no more than the advertised limit")
{
    auto rate = GENERATE(0.0, 0.5, 1.0, 3.0);
    FleetOptions options;
    options.seed = GENERATE(1U, 2U, 3U);
    GatewayFleet fleet(options);
    fleet.at(seconds(8), [&] { fleet.setLimit(3, rate); });
    fleet.at(seconds(30), [&] { fleet.setLimit(3, std::nullopt); });
    fleet.runUntil(seconds(40));
    INFO("limit " << rate << ", seed " << options.seed);
    CHECK_THAT(fleet.violation(), Equals(""));
    CHECK(fleet.served() > 0.97 * fleet.requested() - 200);
}

// Guards against this failure: with more entries than a limit allows requests, one request per entry already exceeds
// the limit.
TEST_CASE("Server limits: a fleet of 150 entries keeps a limit of few requests")
{
    auto rate = GENERATE(0.0, 0.1, 1.0, 10.0);
    GatewayFleet fleet({ .entries = 150, .dataCentres = 5, .servers = 30, .demand = 200, .maxEntries = 150 });
    fleet.at(seconds(2), [&] { fleet.setLimit(3, rate); });
    fleet.runUntil(seconds(20));
    INFO("limit " << rate);
    CHECK_THAT(fleet.violation(), Equals(""));
}

// Guards against this failure: all servers are overloaded, and an entry with queued requests sends to all of them as
// soon as it may.
TEST_CASE("Server limits: all servers of a service advertise limits")
{
    FleetOptions options;
    options.servers = 4;
    options.seed = GENERATE(1U, 2U);
    GatewayFleet fleet(options);
    fleet.at(seconds(5), [&] {
        for (int n = 0; n < 4; ++n)
            fleet.setLimit(n, 2);
    });
    fleet.runUntil(seconds(65));
    CHECK_THAT(fleet.violation(), Equals(""));
    int ran = 0;
    for (int n = 0; n < 4; ++n)
        ran += fleet.ranAt(n);
    constexpr double allowed = 4 * 2 * 60;
    INFO("ran " << ran << " of " << allowed << " requests that the limits allow, plus those before the limits");
    CHECK(ran > 0.8 * allowed * 7 / 9);
    // No data centre is starved.
    for (int n = 0; n < 3; ++n)
        CHECK(fleet.servedIn(n) > 0.5 * fleet.served() * fleet.requestedIn(n) / fleet.requested());
}

// Guards against this failure: a request that can't be served stays queued until its time is up, and its client retries
// together with all the others.
TEST_CASE("Server limits: a request that no server may get in time is refused at once, with jittered retry times")
{
    GatewayFleet fleet({ .servers = 2 });
    fleet.at(seconds(5), [&] {
        fleet.setLimit(0, 0);
        fleet.setLimit(1, 0);
    });
    fleet.runUntil(seconds(6));
    auto before = fleet.refusals().size();
    fleet.runUntil(seconds(8));
    std::vector<GatewayFleet::Refusal> refusals(fleet.refusals().begin() + static_cast<std::ptrdiff_t>(before), fleet.refusals().end());
    REQUIRE(refusals.size() > 50);
    std::set<milliseconds> times;
    for (auto& it : refusals) {
        CHECK(it.queuedFor <= milliseconds(1));
        CHECK(it.retryAfter > milliseconds(100));
        CHECK(it.retryAfter <= milliseconds(2400));
        times.insert(it.retryAfter);
    }
    CHECK(times.size() > refusals.size() / 2);
}

// Guards against this failure: a limit changes while it is in force, and permits accumulated under the higher limit are
// spent under the lower one.
TEST_CASE("Server limits: a limit that changes while it is in force")
{
    FleetOptions options;
    options.seed = GENERATE(1U, 2U, 3U);
    GatewayFleet fleet(options);
    const double rates[] = { 4, 1, 0, 2, 0.5, 1.1 };
    for (int n = 0; n < 6; ++n)
        fleet.at(seconds(4 + 5 * n), [&fleet, rate = rates[n]] { fleet.setLimit(2, rate); });
    fleet.runUntil(seconds(40));
    CHECK_THAT(fleet.violation(), Equals(""));
}

// Guards against this failure: a limit stays in force after its server has stopped advertising it, because no entry
// sends a request that would show it.
TEST_CASE("Server limits: a limit ends once its server stops advertising it")
{
    auto rate = GENERATE(0.0, 1.0);
    GatewayFleet fleet({ .servers = 3 });
    fleet.at(seconds(5), [&] { fleet.setLimit(0, rate); });
    fleet.at(seconds(20), [&] { fleet.setLimit(0, std::nullopt); });
    fleet.runUntil(seconds(26));
    auto before = fleet.ranAt(0);
    auto otherBefore = fleet.ranAt(1);
    fleet.runUntil(seconds(30));
    INFO("limit " << rate);
    CHECK(fleet.ranAt(0) - before > 0.7 * (fleet.ranAt(1) - otherBefore));
}

// Guards against this failure: state of a server's old incarnation keeps requests from the new one.
TEST_CASE("Server limits: a restarted server has no limit")
{
    GatewayFleet fleet({ .servers = 3 });
    fleet.at(seconds(5), [&] { fleet.setLimit(0, 0); });
    fleet.at(seconds(10), [&] { fleet.restartServer(0); });
    fleet.runUntil(seconds(10));
    auto before = fleet.ranAt(0);
    fleet.runUntil(milliseconds(10'500));
    INFO("requests in half a second at a server with twelve slots and more demand than that");
    CHECK(fleet.ranAt(0) - before >= 12);
}

// Guards against this failure: entries start, stall, are disconnected or end while a limit is in force, and the
// remaining ones compute wrong shares.
TEST_CASE("Server limits: the other entries keep a limit while some fail")
{
    FleetOptions options;
    options.seed = GENERATE(range(1U, 21U));
    options.loss = 0.03;
    GatewayFleet fleet(options);
    std::mt19937_64 random(options.seed);
    auto pick = [&](int least, int most) { return std::uniform_int_distribution<int>(least, most)(random); };
    auto rate = 0.5 * pick(0, 6);
    fleet.at(seconds(5), [&] { fleet.setLimit(1, rate); });
    for (int n = 0; n < 4; ++n) {
        auto entry = pick(0, 3);
        auto at = milliseconds(pick(4000, 25'000));
        switch (pick(0, 3)) {
        case 0:
            fleet.at(at, [&fleet, entry] { fleet.restartEntry(entry); });
            break;
        case 1:
            fleet.at(at, [&fleet, entry] { fleet.freezeEntry(entry, seconds(4)); });
            break;
        case 2:
            fleet.at(at, [&fleet, entry] { fleet.disconnectEntry(entry); });
            fleet.at(at + seconds(4), [&fleet, entry] { fleet.reconnectEntry(entry); });
            break;
        default:
            fleet.at(at, [&fleet, entry] { fleet.killEntry(entry); });
        }
    }
    fleet.runUntil(seconds(35));
    INFO("limit " << rate << ", seed " << options.seed);
    CHECK_THAT(fleet.violation(), Equals(""));
}

// Guards against this failure: a network partition splits the fleet in two, and each half distributes the whole limit.
TEST_CASE("Server limits: the halves of a split fleet send no more than their shares")
{
    std::vector<ServerLimits> entries(8);
    for (unsigned n = 0; n < 8; ++n) {
        entries[n].setFleet(start, fleetOf(n % 4, 4, 8));
        entries[n].onResponse(start, server, start, advertised(16));
    }
    int sent = 0;
    for (auto now = start + seconds(2); now < start + seconds(6); now += milliseconds(10)) {
        for (auto& it : entries) {
            it.onResponse(now, server, now, advertised(16));
            if (it.nextSendTime(now, server) > now)
                continue;
            it.onSend(now, server);
            ++sent;
        }
    }
    CHECK(sent <= 1.5 * 16 * 4 + 5);
    CHECK(sent >= 16 * 4 * 0.9);
}

// Guards against this failure: a server advertises a limit, and a response without one, to an earlier request on
// another connection, arrives after it.
TEST_CASE("Server limits: only the response to a later request ends a limit")
{
    auto limits = singleEntryLimits();
    limits.onResponse(start, server, start, advertised(1));
    CHECK_FALSE(limits.onResponse(start + milliseconds(5), server, start - milliseconds(300), noLimit));
    CHECK(limits.limitOf(server) == RequestRate(1));
    CHECK(limits.onResponse(start + milliseconds(400), server, start + milliseconds(100), noLimit));
    CHECK_FALSE(limits.limitOf(server).has_value());
    CHECK(limits.nextSendTime(start + milliseconds(400), server) == start + milliseconds(400));
}

// Guards against this failure: an entry forwards an old report after the server has advertised something newer.
TEST_CASE("Server limits: the newest report of a server counts, whichever entry sends it")
{
    auto limits = singleEntryLimits();
    auto now = start + seconds(3);
    limits.onPeerReport(now, { server, RequestRate(2), milliseconds(500) });
    CHECK(limits.limitOf(server) == RequestRate(2));
    CHECK(limits.onPeerReport(now, { server, std::nullopt, milliseconds(100) }));
    CHECK_FALSE(limits.onPeerReport(now, { server, RequestRate(2), milliseconds(300) }));
    CHECK_FALSE(limits.limitOf(server).has_value());
    CHECK(limits.reports(now).size() == 1);
    CHECK(limits.reports(now + ServerLimits::endPropagationTime).empty());
}

TEST_CASE("Server limits: a limit that can't be parsed leaves the last one in force")
{
    auto limits = singleEntryLimits();
    CHECK_FALSE(limits.onResponse(start, server, start, AdvertisedLimit {}));
    CHECK_FALSE(limits.limitOf(server).has_value());
    limits.onResponse(start, server, start, advertised(1));
    limits.onResponse(start + seconds(1), server, start + milliseconds(500), AdvertisedLimit {});
    CHECK(limits.limitOf(server) == RequestRate(1));
}

TEST_CASE("Server limits: extremely large and extremely small limits are applied")
{
    auto limits = singleEntryLimits();
    limits.onResponse(start, server, start, advertised(1.7e308));
    CHECK(limits.nextSendTime(start + milliseconds(1), server) == start + milliseconds(1));
    limits.onResponse(start, server, start, advertised(1e-300));
    CHECK(limits.nextSendTime(start + seconds(1), server) > start + seconds(1));
    CHECK(limits.nextSendTime(start + seconds(4), server) == start + seconds(4));
}

// Guards against this failure: the server list expires and comes back, and the entry has forgotten the server's limit
// in the meantime.
TEST_CASE("Server limits: an expired server list does not end a limit")
{
    auto limits = singleEntryLimits();
    limits.onResponse(start, server, start, advertised(1));
    limits.setFleet(start + seconds(20), fleetOf(0, 1));
    CHECK(limits.limitOf(server) == RequestRate(1));
    limits.setFleet(start + ServerLimits::unlistedRetention, fleetOf(0, 1));
    CHECK_FALSE(limits.limitOf(server).has_value());
}

TEST_CASE("Server limits: every entry computes the same order, with an entry of each data centre first")
{
    auto isV6 = GENERATE(false, true);
    auto fleetOf = [isV6](unsigned self, unsigned entries) {
        auto snapshot = ::fleetOf(self, entries);
        auto readdress = [isV6](EntryMember& entry) {
            if (isV6)
                entry.control.address(boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, entry.control.address().to_v4()));
        };
        readdress(snapshot.self);
        for (auto& entry : snapshot.entries)
            readdress(entry);
        return snapshot;
    };
    for (std::uint64_t hash = 1; hash < 40; ++hash) {
        std::set<DataCentreName> first;
        std::set<TimePoint> turns;
        for (unsigned n = 0; n < 9; ++n) {
            ServerLimits limits;
            limits.setFleet(start, fleetOf(n, 9));
            limits.onResponse(start, ServerHash(hash), start, advertised(0));
            auto turn = limits.nextSendTime(start, ServerHash(hash));
            turns.insert(turn);
            if (turn < start + ServerLimits::probeDelay + 3 * ServerLimits::probeInterval)
                first.insert(member(n).dataCentre);
        }
        CHECK(turns.size() == 9);
        CHECK(first.size() == 3);
    }
}
