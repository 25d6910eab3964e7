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

// Guards against this failure: the change of the list does not arrive, the report of another entry expires, and the
// server gets requests again.
TEST_CASE("Departures: a departure applies as long as the list shows the server as ready")
{
    auto removedAt = GENERATE(std::optional<StorePosition>(), std::optional<StorePosition>(at(20)));
    auto departures = listing(at(6));
    CHECK(departures.onPeerReport(start, { server, milliseconds(900), removedAt }));
    for (auto now = start; now < start + seconds(120); now += seconds(1))
        departures.tick(now);
    CHECK(departures.isLeaving(start + seconds(120), server));
    // An entry that has just started gets the report too.
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

// Guards against this failure: a server was cut off from the store and its list entry expired. The server has written
// its entry again and still gets no requests.
TEST_CASE("Departures: a server whose entry was removed is back once a later write lists it")
{
    auto departures = listing(at(6));
    departures.onRemoved(start, server, at(20));
    CHECK(departures.isLeaving(start, server));
    departures.setList(start, at(21), { { server, { at(21), true } } });
    CHECK_FALSE(departures.isLeaving(start, server));
    departures.tick(start);
    CHECK(departures.reports(start).empty());
    // A report of the removal that is still in circulation changes nothing.
    CHECK_FALSE(departures.onPeerReport(start, { server, milliseconds(3000), at(20) }));
    CHECK_FALSE(departures.isLeaving(start, server));
}

// Guards against this failure: the store is restored from a copy that shows a server as ready which has since reported
// that it is leaving.
TEST_CASE("Departures: no list brings back a server that has reported that it is leaving")
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

// Guards against this failure: the store is restored from a copy that lists a server whose entry had been removed, and
// the server gets requests again.
TEST_CASE("Departures: a list entry from an older copy does not bring a server back")
{
    auto departures = listing(at(6));
    departures.onRemoved(start, server, at(20));
    departures.onStoreRestored(start);
    departures.setList(start, at(10, 2), { { server, { at(6, 2), true } } });
    CHECK(departures.isLeaving(start + Departures::restoredCopyExpiry - milliseconds(1), server));
    // Entries expire later while the store is unreachable.
    departures.onStoreUnreachable(start + seconds(5));
    departures.tick(start + Departures::restoredCopyExpiry);
    CHECK(departures.isLeaving(start + Departures::restoredCopyExpiry, server));
    // A server that is still listed then renews its entry, so it is alive.
    CHECK_FALSE(departures.isLeaving(start + seconds(5) + Departures::restoredCopyExpiry, server));
}

// Guards against this failure: a server was missing from the list, the store is restored from a copy that contains it,
// and it gets requests again.
TEST_CASE("Departures: a server that is missing from the list is gone, and no copy brings it back")
{
    auto departures = listing(at(6));
    departures.setList(start, at(20), {});
    auto later = start + seconds(10);
    departures.tick(later);
    CHECK(departures.reports(later).empty());
    departures.onStoreRestored(later);
    CHECK(departures.setList(later, at(10, 2), { { server, { at(6, 2), true } } }));
    CHECK(departures.isLeaving(later, server));
    // An entry that does not know the server would accept it from the copy.
    CHECK(departures.reports(later).size() == 1);
}

// Guards against this failure: an entry takes the list from one that still waits for servers whose entries expired, and
// is not informed when the other entry stops waiting.
TEST_CASE("Departures: a missing server is reported, but not at once")
{
    auto departures = listing(at(6));
    CHECK_FALSE(departures.setList(start, at(20), {}));
    REQUIRE(departures.reports(start).size() == 1);
    CHECK(departures.reports(start)[0].removedAt == at(20));
}

// Guards against this failure: the list entries of thousands of servers expire at once, and the reports exceed the size
// of a datagram.
TEST_CASE("Departures: the number of reports in a message is limited")
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

TEST_CASE("Departures: a permanent departure replaces the removal of the list entry")
{
    auto departures = listing(at(6));
    CHECK(departures.onRemoved(start, server, at(20)));
    CHECK_FALSE(departures.onPeerReport(start, { server, milliseconds(3000), at(20) }));
    CHECK(departures.onPeerReport(start, { server, milliseconds(3000) }));
    CHECK_FALSE(departures.onPeerReport(start, { server, milliseconds(3000) }));
    CHECK_FALSE(departures.reports(start)[0].removedAt.has_value());
}
