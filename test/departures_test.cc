#include "src/gateway/departures.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };
constexpr ServerHash server { 7 };

StorePosition at(std::uint64_t revision, std::uint64_t era = 1)
{
    return { StoreEra(era), revision };
}

Departures listing(StorePosition position)
{
    Departures departures;
    departures.setList(start, position, { { server, { position, true } } });
    return departures;
}

} // namespace

// Failure: the change of the list does not come, the word of another entry runs out, and the server gets requests again.
TEST_CASE("Departures: a word holds as long as the list shows the server ready")
{
    auto removedAt = GENERATE(std::optional<StorePosition>(), std::optional<StorePosition>(at(20)));
    auto departures = listing(at(6));
    CHECK(departures.onPeerReport(start, { server, milliseconds(900), removedAt }));
    for (auto now = start; now < start + seconds(120); now += seconds(1))
        departures.tick(now);
    CHECK(departures.isLeaving(start + seconds(120), server));
    // An entry that has just started is told too.
    CHECK(departures.reports(start + seconds(120)).empty());
    REQUIRE(departures.reportsForNewEntry(start + seconds(120)).size() == 1);
    auto unlistedAt = start + seconds(121);
    departures.setList(unlistedAt, at(30), {});
    departures.tick(unlistedAt + Departures::propagationTime);
    CHECK(departures.reportsForNewEntry(unlistedAt + Departures::propagationTime).empty());
    CHECK(departures.isLeaving(unlistedAt + Departures::propagationTime, server));
    departures.tick(unlistedAt + Departures::retentionTime);
    CHECK(departures.isEmpty());
}

// Failure: a server was cut off from the store, its entry lapsed, it has written again, and stands idle.
TEST_CASE("Departures: a server whose entry was removed is back once it is listed by a later write")
{
    auto departures = listing(at(6));
    departures.onRemoved(start, server, at(20));
    CHECK(departures.isLeaving(start, server));
    departures.setList(start, at(21), { { server, { at(21), true } } });
    CHECK_FALSE(departures.isLeaving(start, server));
    departures.tick(start);
    CHECK(departures.reports(start).empty());
    // Word of the removal that still goes round is no news.
    CHECK_FALSE(departures.onPeerReport(start, { server, milliseconds(3000), at(20) }));
    CHECK_FALSE(departures.isLeaving(start, server));
}

// Failure: the store is back from a copy in which a server is ready that has said since that it leaves.
TEST_CASE("Departures: no list brings a server back that has said that it leaves")
{
    auto departures = listing(at(6));
    departures.onAnnounced(start, server);
    departures.onStoreRestored(start);
    departures.setList(start, at(50, 2), { { server, { at(50, 2), true } } });
    departures.tick(start + seconds(30));
    CHECK(departures.isLeaving(start + seconds(30), server));
    CHECK_FALSE(departures.onRemoved(start + seconds(30), server, at(60, 2)));
    CHECK(departures.isLeaving(start + seconds(30), server));
}

// Failure: the store is back from a copy that lists a server whose entry had been removed, and the server gets requests again.
TEST_CASE("Departures: an entry of an older copy does not bring a server back")
{
    auto departures = listing(at(6));
    departures.onRemoved(start, server, at(20));
    departures.onStoreRestored(start);
    departures.setList(start, at(10, 2), { { server, { at(6, 2), true } } });
    CHECK(departures.isLeaving(start + Departures::restoredCopyExpiry - milliseconds(1), server));
    // Entries lapse later while the store is away.
    departures.onStoreUnreachable(start + seconds(5));
    departures.tick(start + Departures::restoredCopyExpiry);
    CHECK(departures.isLeaving(start + Departures::restoredCopyExpiry, server));
    // What is still listed then is kept up by a server that lives.
    CHECK_FALSE(departures.isLeaving(start + seconds(5) + Departures::restoredCopyExpiry, server));
}

// Failure: a server was missing from the list, the store is back from a copy that has it, and it gets requests again.
TEST_CASE("Departures: a server that is missing from the list has gone, and no copy brings it back")
{
    auto departures = listing(at(6));
    departures.setList(start, at(20), {});
    auto later = start + seconds(10);
    departures.tick(later);
    CHECK(departures.reports(later).empty());
    departures.onStoreRestored(later);
    CHECK(departures.setList(later, at(10, 2), { { server, { at(6, 2), true } } }));
    CHECK(departures.isLeaving(later, server));
    // An entry that has never heard of it takes it from the copy.
    CHECK(departures.reports(later).size() == 1);
}

// Failure: an entry takes the list from one that waits for lapsed servers to be back, and is not told when that has ceased to.
TEST_CASE("Departures: that a server is missing is told, but not at once")
{
    auto departures = listing(at(6));
    CHECK_FALSE(departures.setList(start, at(20), {}));
    REQUIRE(departures.reports(start).size() == 1);
    CHECK(departures.reports(start)[0].removedAt == at(20));
}

// Failure: thousands of servers lapse at once, and word of them exceeds what a datagram holds.
TEST_CASE("Departures: so many words go into one message")
{
    Departures departures;
    for (std::uint64_t n = 0; n < 5500; ++n)
        departures.onAnnounced(start + milliseconds(n < 5400 ? 0 : 5), ServerHash(n));
    auto reports = departures.reports(start + milliseconds(5));
    CHECK(reports.size() == Departures::maxReports);
    CHECK(std::count_if(reports.begin(), reports.end(), [](auto& it) { return it.server.value() >= 5400; }) == 100);
    Hello hello;
    hello.leaving = reports;
    CHECK(encode(ControlMessage(hello)).size() < 20'000);
}

TEST_CASE("Departures: that a server leaves for good takes the place of its removal")
{
    auto departures = listing(at(6));
    CHECK(departures.onRemoved(start, server, at(20)));
    CHECK_FALSE(departures.onPeerReport(start, { server, milliseconds(3000), at(20) }));
    CHECK(departures.onPeerReport(start, { server, milliseconds(3000) }));
    CHECK_FALSE(departures.onPeerReport(start, { server, milliseconds(3000) }));
    CHECK_FALSE(departures.reports(start)[0].removedAt.has_value());
}
