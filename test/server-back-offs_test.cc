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

// Guards against this failure: responses arrive out of order, and the back-off requested by one ends with that of
// another.
TEST_CASE("Server back-offs: of several back-offs the one that ends last applies")
{
    auto isLongFirst = GENERATE(true, false);
    ServerBackOffs backOffs;
    CHECK(backOffs.onRequested(start, server, backOffOf(isLongFirst ? seconds(3) : seconds(1))));
    CHECK_FALSE(backOffs.onRequested(start, server, backOffOf(isLongFirst ? seconds(1) : seconds(3))));
    CHECK(backOffs.endOf(server, start) >= start + seconds(3));
    CHECK(backOffs.endOf(server, start) <= start + milliseconds(3300));
    CHECK_FALSE(backOffs.endOf(server, start + milliseconds(3300)).has_value());
}

TEST_CASE("Server back-offs: a back-off of zero length is ignored, one that can't be parsed is short")
{
    ServerBackOffs backOffs;
    CHECK_FALSE(backOffs.onRequested(start, server, backOffOf(milliseconds(0))));
    CHECK_FALSE(backOffs.endOf(server, start).has_value());
    CHECK(backOffs.onRequested(start, server, RequestedBackOff {}));
    CHECK(backOffs.endOf(server, start) >= start + ServerBackOffs::defaultBackOff);
}

// Guards against this failure: a server's back-off ends, the server looks idle to hundreds of entries at the same
// moment, and all of them send it their next request.
TEST_CASE("Server back-offs: the same back-off ends at different times on different entries")
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
    INFO("back-off " << backOff.count() << " ms, end times within " << std::chrono::duration_cast<milliseconds>(*ends.rbegin() - *ends.begin()).count() << " ms");
    CHECK(ends.size() == 100);
    CHECK(*ends.begin() >= start + backOff);
    CHECK(*ends.rbegin() <= start + backOff + maxJitter);
    CHECK(*ends.rbegin() - *ends.begin() > maxJitter * 8 / 10);
}

TEST_CASE("Server back-offs: expired back-offs are removed")
{
    ServerBackOffs backOffs;
    backOffs.onRequested(start, server, backOffOf(seconds(1)));
    backOffs.onRequested(start, ServerHash(8), backOffOf(seconds(2)));
    backOffs.removeExpired(start + milliseconds(1100));
    CHECK_FALSE(backOffs.isEmpty());
    backOffs.removeExpired(start + milliseconds(2200));
    CHECK(backOffs.isEmpty());
}

// Guards against this failure: a server that rejects all requests looks idle, attracts most of them, and gets more
// while it requests a back-off.
TEST_CASE("Server back-offs: a server gets no requests from an entry from which it requested a back-off")
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
    INFO("back-off " << backOff.count() << " ms, seed " << options.seed);
    CHECK_THAT(fleet.violation(), Equals(""));
    // The other eight servers have capacity for all.
    CHECK(fleet.served() > 0.97 * fleet.requested() - 200);
}

// Guards against this failure: all servers have requested back-offs, requests stay queued until their time is up, and
// clients retry too soon or all at the same moment.
TEST_CASE("Server back-offs: a request that no server accepts in time is refused at once, with jittered retry times after the back-off")
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

// Guards against this failure: servers reject some of their requests, each with a back-off, and the healthy servers are
// overloaded with the rest.
TEST_CASE("Server back-offs: servers that reject a share of their requests")
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
    // Between back-offs the servers get requests.
    CHECK(fleet.ranAt(3) > 10);
}

// Guards against this failure: entries end, stall, are disconnected or restart while servers have requested back-offs,
// and lose or miss a back-off.
TEST_CASE("Server back-offs: back-offs stay in force while entries fail")
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
