#include "test/list-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using swiftloft::gateway::EntryRegistry;
using swiftloft::test::ListFleet;

namespace {

constexpr int dataCentres = 3;
/// Lists of both topics by the entries that watch the store in a healthy fleet.
constexpr int listsOfWatchers = 2 * dataCentres * static_cast<int>(EntryRegistry::watchersPerDataCentre);

} // namespace

// Guards against this failure: each of hundreds of entries that start together lists all servers from the store, in
// eight pages, and the calls cost more than all other control traffic.
TEST_CASE("Store calls: a fleet that starts together lists the servers a few times, whatever its size")
{
    auto entries = GENERATE(30, 120, 255);
    ListFleet fleet(entries, 1, 0);
    fleet.run(seconds(3));
    INFO(entries << " entries, " << fleet.lists() << " lists");
    CHECK(fleet.readyEntries() == static_cast<std::size_t>(entries));
    CHECK(fleet.lists() <= 4 * listsOfWatchers);
}

// Guards against this failure: all entries are killed while thousands of servers are listed. The first lists take long,
// all other entries take that for a failure and list the servers too, and the store's read limit lets no list end.
TEST_CASE("Store calls: entries wait for a list that takes long")
{
    constexpr int entries = 120;
    ListFleet fleet(entries, 1, 0);
    fleet.setListTime(seconds(2));
    fleet.run(seconds(4));
    INFO(fleet.lists() << " lists");
    CHECK(fleet.readyEntries() == static_cast<std::size_t>(entries));
    CHECK(fleet.lists() <= 4 * listsOfWatchers);
}

// Guards against this failure: an entry that starts in a running fleet calls the store, though its neighbours have all
// that it needs.
TEST_CASE("Store calls: entries that restart in a running fleet don't call the store")
{
    ListFleet fleet(60, 1, 0);
    fleet.run(seconds(4));
    auto before = fleet.lists();
    for (int n = 20; n < 50; ++n)
        fleet.restartEntry(n);
    fleet.run(milliseconds(600));
    CHECK(fleet.readyEntries() == 60);
    CHECK(fleet.lists() == before);
}

// Guards against this failure: the store rejects some entries, all others take that for too few watchers, and each of
// them lists everything and calls the store again and again.
TEST_CASE("Store calls: a store that rejects a third of the entries is called by few")
{
    constexpr int entries = 120;
    constexpr int rejectedSeconds = 8;
    ListFleet fleet(entries, 1, 0);
    fleet.run(seconds(4));
    auto before = fleet.lists();
    // The first entries of all data centres, which watch.
    for (int n = 0; n < entries / 3; ++n)
        fleet.disconnectEntry(n, seconds(rejectedSeconds));
    fleet.run(seconds(rejectedSeconds));
    INFO(fleet.lists() - before << " lists, " << fleet.failedCalls() << " failed calls");
    CHECK(fleet.lists() - before <= 2 * listsOfWatchers);
    // For each topic, the first two of each data centre every 0.4 s, the other rejected ones every 4 s.
    constexpr int first = dataCentres * static_cast<int>(EntryRegistry::watchersPerDataCentre);
    CHECK(fleet.failedCalls() <= 2 * (first * rejectedSeconds * 10 / 4 + entries / 3 * (rejectedSeconds / 4 + 1)));
}

// Guards against this failure: the store is down, and all entries of the fleet call it several times a second.
TEST_CASE("Store calls: a store that is down is called more often by a few entries only")
{
    constexpr int entries = 255;
    constexpr int downSeconds = 5;
    ListFleet fleet(entries, 1, 0);
    fleet.run(seconds(4));
    fleet.disconnectStore(seconds(downSeconds));
    fleet.run(seconds(downSeconds));
    INFO(fleet.failedCalls() << " failed calls in " << downSeconds << " s");
    // For each topic, the first two of each data centre every 0.4 s, the others every 4 s.
    constexpr int first = dataCentres * static_cast<int>(EntryRegistry::watchersPerDataCentre);
    CHECK(fleet.failedCalls() <= 2 * (first * downSeconds * 10 / 4 + entries * (downSeconds / 4 + 1)));
    fleet.run(seconds(2));
    CHECK(fleet.recoveryProblem().empty());
}
