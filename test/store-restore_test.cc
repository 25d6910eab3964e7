#include "test/list-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using Catch::Matchers::Equals;
using swiftloft::test::ListFleet;

namespace {

constexpr int entries = 7;

int pick(std::mt19937_64& random, int min, int max)
{
    return std::uniform_int_distribution<int>(min, max)(random);
}

void injectFault(ListFleet& fleet, std::mt19937_64& random)
{
    switch (pick(random, 0, 8)) {
    case 0:
    case 1:
        return fleet.leave(true);
    case 2:
    case 3:
        return fleet.leave(false);
    case 4:
        return fleet.reportLeaving();
    case 5:
        return fleet.restoreStore(milliseconds(pick(random, 500, 6000)), milliseconds(pick(random, 0, 2500)));
    case 6:
        return pick(random, 0, 1) ? fleet.disconnectEntry(pick(random, 0, entries - 1), milliseconds(pick(random, 500, 8000))) : fleet.restartEntry(pick(random, 0, entries - 1));
    case 7:
        return pick(random, 0, 3) ? fleet.publish() : fleet.disconnectStore(milliseconds(pick(random, 100, 6000)));
    default:
        return fleet.addServer();
    }
}

} // namespace

// Guards against this failure: after a restore of the store a server that has left gets requests, one that is alive
// gets none, or a configuration reverts.
TEST_CASE("Store restore: servers that have left get no requests, and live ones get them, whatever state is restored")
{
    auto seed = GENERATE(range(1U, 301U));
    ListFleet fleet(entries, seed, 0.03);
    std::mt19937_64 random(seed);
    fleet.run(seconds(4));
    for (int n = 0; n < 30; ++n) {
        injectFault(fleet, random);
        fleet.run(milliseconds(pick(random, 50, 1500)));
    }
    INFO("seed " << seed);
    CHECK_THAT(fleet.violation(), Equals(""));
    // Until entries of the older copy have expired and disconnected entries are back.
    fleet.run(seconds(16));
    CHECK_THAT(fleet.violation(), Equals(""));
    CHECK_THAT(fleet.recoveryProblem(), Equals(""));
}

// Guards against this failure: a server leaves some seconds after the restore, and entries ignore its removal as older
// than what they know.
TEST_CASE("Store restore: entries know within two seconds of a server that leaves after it")
{
    auto isDraining = GENERATE(true, false);
    auto away = GENERATE(milliseconds(0), milliseconds(200), milliseconds(2700));
    ListFleet fleet(entries, 5, 0.03);
    fleet.run(seconds(8));
    for (int n = 0; n < 4; ++n)
        fleet.publish();
    fleet.run(seconds(2));
    fleet.restoreStore(seconds(4), away);
    fleet.run(away + seconds(3));
    fleet.leave(isDraining);
    fleet.run(seconds(8));
    INFO("store unreachable for " << away.count() << " ms, " << (isDraining ? "draining" : "removed"));
    CHECK_THAT(fleet.violation(), Equals(""));
}
