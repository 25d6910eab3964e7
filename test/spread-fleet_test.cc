#include "test/fake-fleet.h"

#include <catch2/catch.hpp>

namespace swiftloft::test {

namespace {

void startReady(FakeFleet& fleet)
{
    fleet.startAll();
    REQUIRE(fleet.runUntil(seconds(15), [&] { return fleet.allReady(); }));
    fleet.run(seconds(5));
}

std::string tree(int n)
{
    return fmt::format("[tree]\nrevision = {}\n", n);
}

/// True when no process has ever put an older revision in force after a newer one.
bool neverFell(FakeFleet& fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        auto& taken = fleet.node(i).inForce;
        for (std::size_t k = 1; k < taken.size(); ++k) {
            if (taken[k].second <= taken[k - 1].second)
                return false;
        }
    }
    return true;
}

std::vector<std::size_t> watchers(FakeFleet& fleet, Topic topic)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!fleet.node(i).isDown && fleet.control(i).isWatcher(topic))
            found.push_back(i);
    }
    return found;
}

/// Replaces process `i`. For its first second it reaches the platform and no peer, so that the platform's word comes first.
void replaceSlowly(FakeFleet& fleet, std::size_t i)
{
    fleet.kill(i);
    fleet.run(seconds(1));
    fleet.start(i);
    auto drops = fleet.drops;
    auto* node = &fleet.node(i);
    fleet.drops = [&](auto& from, auto& to) { return &from == node || &to == node || (drops && drops(from, to)); };
    fleet.run(seconds(1));
    fleet.drops = drops;
    REQUIRE(fleet.runUntil(seconds(20), [&] { return fleet.control(i).isReady(); }));
}

} // namespace

TEST_CASE("A change is in force everywhere within 4 s by few calls to the platform", "[spread]")
{
    FakeFleetOptions options;
    options.entriesPerDataCentre = 5;
    options.agentsPerDataCentre = 15;
    FakeFleet fleet(options);
    startReady(fleet);
    CHECK(watchers(fleet, Topic::Settings).size() == 6);
    fleet.platform.calls.clear();
    for (int n = 2; n <= 6; ++n) {
        fleet.platform.publish(Topic::Settings, tree(n));
        auto took = fleet.runUntil(seconds(4), [&] { return fleet.allHold(Topic::Settings, static_cast<std::uint64_t>(n)); });
        REQUIRE(took);
        fleet.run(seconds(5));
    }
    CHECK(fleet.platform.mostCallsInASecond() <= 2 * 12);
    CHECK(fleet.platform.totalCalls() <= 80);
    CHECK(neverFell(fleet));
}

TEST_CASE("All processes replaced one by one while the platform is stale keep the newest settings", "[spread]")
{
    // An operator's change is in force everywhere. The platform falls back to an older copy, and a rolling update
    // replaces every process. Each new process reads the old tree, and when the last old one is gone the change has
    // silently reverted. Cause: a new process that trusts the platform over its peers.
    FakeFleetOptions options;
    options.control.spread.startJitter = milliseconds(0); // the stale platform answers before any peer can
    FakeFleet fleet(options);
    startReady(fleet);
    for (int n = 2; n <= 4; ++n)
        fleet.platform.publish(Topic::Settings, tree(n));
    REQUIRE(fleet.runUntil(seconds(4), [&] { return fleet.allHold(Topic::Settings, 4); }));
    fleet.platform.documents[0].pinned = 2;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        replaceSlowly(fleet, i);
        REQUIRE(fleet.node(i).inForce.size() == 1);
        CHECK(fleet.node(i).inForce[0].second == Revision(4));
    }
    CHECK(fleet.allHold(Topic::Settings, 4));
}

TEST_CASE("A process is not ready while it knows of settings newer than its own", "[spread]")
{
    // A process restarts while the platform is stale and its peers are busy: they announce the newest revision but can't
    // serve it yet. Taking traffic now would serve callers by the old tree.
    FakeFleet fleet({});
    startReady(fleet);
    fleet.platform.publish(Topic::Settings, tree(2));
    REQUIRE(fleet.runUntil(seconds(4), [&] { return fleet.allHold(Topic::Settings, 2); }));
    fleet.platform.documents[0].pinned = 1;
    fleet.kill(0);
    fleet.run(seconds(1));
    fleet.start(0);
    fleet.dropsPulls = true;
    fleet.run(seconds(25));
    CHECK(fleet.control(0).spreader(Topic::Settings).revision() == Revision(1));
    CHECK_FALSE(fleet.control(0).isReady());
    CHECK(fleet.node(0).inForce.empty());
    fleet.dropsPulls = false;
    REQUIRE(fleet.runUntil(seconds(10), [&] { return fleet.control(0).isReady(); }));
    CHECK(fleet.control(0).spreader(Topic::Settings).revision() == Revision(2));
}

TEST_CASE("A stale replica behind a watch changes nothing", "[spread]")
{
    // The platform answers watches from a replica that is some revisions behind, even when asked past them. A node that
    // takes what it is given would put an old tree back into force.
    spread::Spreader spreader(Topic::Settings, {}, nullptr, 1);
    auto now = TimePoint(std::chrono::hours(1));
    auto answer = [&](std::uint64_t revision) {
        spread::SpreadEffects effects;
        spread::PlatformAnswer reply { spread::PlatformOutcome::Body, Revision(revision), tree(static_cast<int>(revision)), "" };
        spreader.step(spread::PlatformAnswered { reply, now }, effects);
    };
    answer(5);
    answer(3);
    CHECK(spreader.revision() == Revision(5));
    CHECK(spreader.counters().staleAnswers == 1);
}

TEST_CASE("A late waker takes the newest settings and gives nobody its old ones", "[spread]")
{
    // A process stands still for a minute while the tree changes. It wakes, announces what it held before and answers
    // what lay in its sockets. Nobody may go back, and it must catch up at once.
    FakeFleet fleet({});
    startReady(fleet);
    fleet.pause(1, seconds(60));
    for (int n = 2; n <= 5; ++n) {
        fleet.platform.publish(Topic::Settings, tree(n));
        fleet.run(seconds(10));
    }
    fleet.run(seconds(20) + milliseconds(100));
    auto took = fleet.runUntil(seconds(4), [&] { return fleet.allHold(Topic::Settings, 5); });
    CHECK(took);
    CHECK(neverFell(fleet));
}

TEST_CASE("A healed partition takes the newer side's settings", "[spread]")
{
    // One data centre sees a stale replica and is cut off from the others, which go on to newer trees. When the cut
    // heals, both announce; only the newer may win, and within seconds.
    FakeFleet fleet({});
    startReady(fleet);
    auto isInside = [](const FakeNode& it) { return it.row.dataCentre.value() == "dc0"; };
    fleet.drops = [&](auto& from, auto& to) { return isInside(from) != isInside(to); };
    fleet.platform.isReachable = [&](auto& node) { return !isInside(node); };
    fleet.platform.publish(Topic::Settings, tree(2));
    fleet.platform.publish(Topic::Settings, tree(3));
    fleet.run(seconds(60));
    CHECK(fleet.control(0).spreader(Topic::Settings).revision() == Revision(1));
    CHECK(fleet.control(fleet.size() - 1).spreader(Topic::Settings).revision() == Revision(3));
    fleet.drops = nullptr;
    CHECK(fleet.runUntil(seconds(8), [&] { return fleet.allHold(Topic::Settings, 3); }));
    CHECK(neverFell(fleet));
}

TEST_CASE("A process starts while the platform is down", "[spread]")
{
    // The platform is down when a process is replaced. It knows no peer and can read nothing. Its peers still probe the
    // address; from them it learns the fleet and the settings.
    FakeFleet fleet({});
    startReady(fleet);
    fleet.platform.publish(Topic::Settings, tree(2));
    REQUIRE(fleet.runUntil(seconds(4), [&] { return fleet.allHold(Topic::Settings, 2); }));
    fleet.platform.isDown = true;
    fleet.kill(2);
    fleet.run(seconds(1));
    fleet.start(2);
    REQUIRE(fleet.runUntil(seconds(30), [&] { return fleet.control(2).isReady(); }));
    CHECK(fleet.control(2).spreader(Topic::Settings).revision() == Revision(2));
}

TEST_CASE("When all watchers die at once others take over within the platform's rate", "[spread]")
{
    // The processes that watch the platform for the fleet die together. If nobody takes over, changes stop being in
    // force; if everybody asks at once, the service refuses the calls of all.
    FakeFleetOptions options;
    options.entriesPerDataCentre = 5;
    options.agentsPerDataCentre = 35;
    options.control.spread.fleetCallsPerSecond = 8; // a small fleet with a budget as tight as that of a large one
    FakeFleet fleet(options);
    startReady(fleet);
    for (auto topic : membership::allTopics) {
        for (auto i : watchers(fleet, topic))
            fleet.kill(i);
    }
    fleet.platform.calls.clear();
    fleet.platform.publish(Topic::Settings, tree(2));
    auto took = fleet.runUntil(seconds(40), [&] { return fleet.allHold(Topic::Settings, 2); });
    REQUIRE(took);
    CHECK(*took < seconds(15)); // by the new watchers, not by polls that begin after 30 s
    fleet.run(seconds(60));
    CHECK(fleet.platform.mostCallsInASecond() <= 24);
}

TEST_CASE("The polls of a fleet that hears nothing stay under its budget", "[spread]")
{
    // The platform is down for five minutes and comes back. All processes poll it meanwhile, and at its return the
    // waiting thousands would knock it over once more.
    FakeFleetOptions options;
    options.entriesPerDataCentre = 5;
    options.agentsPerDataCentre = 35;
    options.control.spread.fleetCallsPerSecond = 8;
    FakeFleet fleet(options);
    startReady(fleet);
    fleet.platform.isDown = true;
    fleet.run(seconds(60));
    fleet.platform.calls.clear();
    fleet.run(seconds(240));
    CHECK(fleet.platform.totalCalls() <= 240 * (8 + 12));
    fleet.platform.isDown = false;
    fleet.platform.publish(Topic::Settings, tree(2));
    CHECK(fleet.runUntil(seconds(40), [&] { return fleet.allHold(Topic::Settings, 2); }));
    CHECK(fleet.platform.mostCallsInASecond() <= 36);
}

TEST_CASE("When gossip is blocked everywhere the fleet still stays under its budget", "[spread]")
{
    // A change of firewall rules blocks the peer port in the whole fleet. Every process hears nobody: each takes itself
    // for the last one, watches the platform, and all of them together ask again after each change.
    FakeFleetOptions options;
    options.entriesPerDataCentre = 5;
    options.agentsPerDataCentre = 35;
    options.control.spread.fleetCallsPerSecond = 8;
    FakeFleet fleet(options);
    startReady(fleet);
    fleet.drops = [](auto&, auto&) { return true; };
    fleet.run(seconds(60));
    fleet.platform.calls.clear();
    for (int n = 2; n < 14; ++n) {
        fleet.platform.publish(Topic::Settings, tree(n));
        fleet.run(seconds(20));
    }
    CHECK(fleet.platform.totalCalls() <= 240 * 9);
    fleet.run(seconds(60));
    CHECK(fleet.allHold(Topic::Settings, 13));
}

TEST_CASE("A tree that is not valid is refused by all and the last good one stays", "[spread]")
{
    // An operator publishes a broken tree. Every node must refuse it alike; the watchers must not ask for it over and
    // over, and a process that restarts must get the last good tree from its peers.
    FakeFleet fleet({});
    fleet.checkSettings = [](std::string_view body) { return spread::Validity { body.find("broken") == std::string_view::npos, "broken" }; };
    startReady(fleet);
    fleet.platform.publish(Topic::Settings, "broken");
    fleet.platform.calls.clear();
    fleet.run(seconds(30));
    CHECK(fleet.allHold(Topic::Settings, 1));
    CHECK(fleet.platform.mostCallsInASecond() <= 12);
    fleet.kill(0);
    fleet.run(seconds(1));
    fleet.start(0);
    REQUIRE(fleet.runUntil(seconds(15), [&] { return fleet.control(0).isReady(); }));
    CHECK(fleet.control(0).spreader(Topic::Settings).revision() == Revision(1));
    fleet.platform.publish(Topic::Settings, tree(3));
    CHECK(fleet.runUntil(seconds(4), [&] { return fleet.allHold(Topic::Settings, 3); }));
}

TEST_CASE("An announced revision that nobody has does not shut out the real ones", "[spread]")
{
    // A damaged datagram names a revision far ahead. A node that waits for it alone would never take another change.
    FakeFleet fleet({});
    startReady(fleet);
    Message damaged;
    damaged.from = membership::keyOf(fleet.node(1).row.id);
    damaged.announcements = { { Topic::Settings, Revision(1'000'000), membership::Digest { 1, 2 }, milliseconds(0) } };
    fleet.inject(0, fleet.node(1).row.peer, damaged);
    fleet.run(seconds(8));
    fleet.platform.publish(Topic::Settings, tree(2));
    CHECK(fleet.runUntil(seconds(4), [&] { return fleet.allHold(Topic::Settings, 2); }));
}

TEST_CASE("A partition and a rolling replacement together lose no settings", "[spread]")
{
    // The platform is stale, regions lose each other, and meanwhile a side's processes are replaced one by one. Each
    // side has only itself to remember by. After the heal all must hold the newest revision either side had.
    FakeFleetOptions options;
    options.dataCentres = 4;
    options.regions = 2;
    options.control.spread.startJitter = milliseconds(0);
    FakeFleet fleet(options);
    startReady(fleet);
    fleet.platform.publish(Topic::Settings, tree(2));
    REQUIRE(fleet.runUntil(seconds(4), [&] { return fleet.allHold(Topic::Settings, 2); }));
    fleet.platform.documents[0].pinned = 1;
    auto isInside = [](const FakeNode& it) { return it.row.dataCentre.value() < "dc2"; };
    fleet.drops = [&](auto& from, auto& to) { return isInside(from) != isInside(to); };
    fleet.run(seconds(10));
    for (std::size_t i = 0; i < fleet.size() / 2; ++i) {
        replaceSlowly(fleet, i);
        REQUIRE(fleet.node(i).inForce.size() == 1);
        CHECK(fleet.node(i).inForce[0].second == Revision(2));
    }
    fleet.drops = nullptr;
    fleet.run(seconds(30));
    CHECK(fleet.allHold(Topic::Settings, 2));
}

} // namespace swiftloft::test
