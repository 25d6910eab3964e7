#include "src/gateway/server-back-offs.h"
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

RequestedBackOff backOffOf(milliseconds length)
{
    return { start + length };
}

} // namespace

// Failure: answers overtake each other, and the rest that one asked for ends with that of another.
TEST_CASE("Server rests: of several rests the one that ends last holds")
{
    auto isLongFirst = GENERATE(true, false);
    ServerBackOffs backOffs;
    CHECK(backOffs.onRequested(start, server, backOffOf(isLongFirst ? seconds(3) : seconds(1))));
    CHECK_FALSE(backOffs.onRequested(start, server, backOffOf(isLongFirst ? seconds(1) : seconds(3))));
    CHECK(backOffs.endOf(server, start) >= start + seconds(3));
    CHECK(backOffs.endOf(server, start) <= start + milliseconds(3300));
    CHECK_FALSE(backOffs.endOf(server, start + milliseconds(3300)).has_value());
}

TEST_CASE("Server rests: a rest of no length is none, one that can't be read is short")
{
    ServerBackOffs backOffs;
    CHECK_FALSE(backOffs.onRequested(start, server, backOffOf(milliseconds(0))));
    CHECK_FALSE(backOffs.endOf(server, start).has_value());
    CHECK(backOffs.onRequested(start, server, RequestedBackOff {}));
    CHECK(backOffs.endOf(server, start) >= start + ServerBackOffs::defaultBackOff);
}

// Failure: a server has rested, looks idle to hundreds of entries in one moment, and all of them send it their next request.
TEST_CASE("Server rests: entries take the same rest to end at different moments")
{
    auto backOff = GENERATE(milliseconds(500), milliseconds(3000), milliseconds(3'600'000));
    auto maxJitter = std::min<milliseconds>(backOff / 10, ServerBackOffs::maxJitter);
    std::set<TimePoint> ends;
    for (unsigned n = 0; n < 100; ++n) {
        ServerBackOffs backOffs;
        backOffs.setEntry({ boost::asio::ip::address_v4(0x0a000000U + n), 7000 });
        backOffs.onRequested(start, server, backOffOf(backOff));
        ends.insert(*backOffs.endOf(server, start));
    }
    INFO("rest " << backOff.count() << " ms, ends within " << std::chrono::duration_cast<milliseconds>(*ends.rbegin() - *ends.begin()).count() << " ms");
    CHECK(ends.size() == 100);
    CHECK(*ends.begin() >= start + backOff);
    CHECK(*ends.rbegin() <= start + backOff + maxJitter);
    CHECK(*ends.rbegin() - *ends.begin() > maxJitter * 8 / 10);
}

TEST_CASE("Server rests: what is over is forgotten")
{
    ServerBackOffs backOffs;
    backOffs.onRequested(start, server, backOffOf(seconds(1)));
    backOffs.onRequested(start, ServerHash(8), backOffOf(seconds(2)));
    backOffs.removeExpired(start + milliseconds(1100));
    CHECK_FALSE(backOffs.isEmpty());
    backOffs.removeExpired(start + milliseconds(2200));
    CHECK(backOffs.isEmpty());
}

// Failure: a server that turns all requests away looks idle, attracts most of them, and is sent more while it asks for rest.
TEST_CASE("Server rests: a server gets nothing from an entry that it has asked for rest")
{
    auto backOff = GENERATE(milliseconds(700), milliseconds(3000), milliseconds(60'000));
    FleetOptions options;
    options.seed = GENERATE(1U, 2U, 3U);
    GatewayFleet fleet(options);
    fleet.at(seconds(6), [&] {
        for (int n = 0; n < 4; ++n)
            fleet.shed(n, backOff);
    });
    fleet.at(seconds(15), [&] {
        for (int n = 0; n < 4; ++n)
            fleet.shed(n, std::nullopt);
    });
    fleet.runUntil(seconds(20));
    INFO("rest " << backOff.count() << " ms, seed " << options.seed);
    CHECK_THAT(fleet.violation(), Equals(""));
    // The other eight have room for all.
    CHECK(fleet.served() > 0.97 * fleet.requested() - 200);
}

// Failure: all servers rest, requests are kept until their time is up, and clients return too soon or all in one moment.
TEST_CASE("Server rests: what no server takes in time is refused at once, with true times to return that are spread")
{
    constexpr milliseconds backOff { 3000 };
    GatewayFleet fleet({ .servers = 2 });
    fleet.at(seconds(5), [&] {
        fleet.shed(0, backOff);
        fleet.shed(1, backOff);
    });
    fleet.runUntil(milliseconds(5500));
    auto before = fleet.refusals().size();
    fleet.runUntil(milliseconds(6500));
    std::vector<GatewayFleet::Refusal> refusals(fleet.refusals().begin() + static_cast<std::ptrdiff_t>(before), fleet.refusals().end());
    REQUIRE(refusals.size() > 30);
    std::set<milliseconds> times;
    for (auto& it : refusals) {
        CHECK(it.queuedFor <= milliseconds(1));
        CHECK(it.retryAfter >= milliseconds(1500));
        CHECK(it.retryAfter <= milliseconds(5000));
        times.insert(it.retryAfter);
    }
    CHECK(times.size() > refusals.size() / 2);
    CHECK_THAT(fleet.violation(), Equals(""));
}

// Failure: servers turn a part of their requests away, each with a rest, and those that are well drown in what is left over.
TEST_CASE("Server rests: servers that turn a part of their requests away")
{
    FleetOptions options;
    options.seed = GENERATE(range(1U, 6U));
    options.loss = 0.02;
    GatewayFleet fleet(options);
    fleet.at(seconds(4), [&] {
        for (int n = 0; n < 5; ++n)
            fleet.shed(n, milliseconds(1500), 0.3);
    });
    fleet.at(seconds(9), [&] { fleet.restartServer(1); });
    fleet.at(seconds(11), [&] { fleet.setLimit(2, 1); });
    fleet.runUntil(seconds(20));
    INFO("seed " << options.seed);
    CHECK_THAT(fleet.violation(), Equals(""));
    CHECK(fleet.served() > 0.97 * fleet.requested() - 200);
    // Between their rests they get work.
    CHECK(fleet.ranAt(3) > 10);
}

// Failure: entries end, stand still, are cut off or start again while servers rest, and forget or miss a rest.
TEST_CASE("Server rests: rests hold while entries fail")
{
    FleetOptions options;
    options.seed = GENERATE(range(1U, 21U));
    options.loss = 0.03;
    GatewayFleet fleet(options);
    std::mt19937_64 random(options.seed);
    auto pick = [&](int least, int most) { return std::uniform_int_distribution<int>(least, most)(random); };
    for (int n = 0; n < 6; ++n) {
        auto server = pick(0, 11);
        auto at = milliseconds(pick(3000, 20'000));
        auto backOff = milliseconds(pick(0, 40) * 100);
        fleet.at(at, [&fleet, server, backOff] { fleet.shed(server, backOff); });
        fleet.at(at + milliseconds(pick(500, 6000)), [&fleet, server] { fleet.shed(server, std::nullopt); });
        auto entry = pick(0, 6);
        auto failsAt = milliseconds(pick(3000, 22'000));
        if (pick(0, 1) == 0)
            fleet.at(failsAt, [&fleet, entry] { fleet.restartEntry(entry); });
        else
            fleet.at(failsAt, [&fleet, entry] { fleet.freezeEntry(entry, seconds(2)); });
    }
    fleet.runUntil(seconds(30));
    INFO("seed " << options.seed);
    CHECK_THAT(fleet.violation(), Equals(""));
}
