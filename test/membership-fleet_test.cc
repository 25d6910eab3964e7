#include "test/fake-fleet.h"

#include <catch2/catch.hpp>

namespace swiftloft::test {

namespace {

using membership::Health;

std::size_t positionOf(FakeFleet& fleet, const std::string& dataCentre, membership::Role role)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.node(i).row.dataCentre.value() == dataCentre && fleet.node(i).row.role == role)
            return i;
    }
    return 0;
}

std::size_t countLeaving(FakeFleet& fleet, std::size_t i)
{
    std::size_t n = 0;
    for (std::size_t j = 0; j < fleet.size(); ++j) {
        auto* member = fleet.node(j).isDown ? nullptr : fleet.control(j).view()->find(fleet.node(i).row.id);
        n += member && member->isLeaving;
    }
    return n;
}

std::size_t countRunning(FakeFleet& fleet)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        n += !fleet.node(i).isDown;
    return n;
}

void startReady(FakeFleet& fleet)
{
    fleet.startAll();
    REQUIRE(fleet.runUntil(seconds(15), [&] { return fleet.allReady(); }));
    fleet.run(seconds(10));
}

} // namespace

TEST_CASE("All nodes declare a failed member dead within seconds", "[membership]")
{
    // An entry's machine loses power. Clients that receive its address would hang until every other entry has removed
    // it from its address answers. Nothing announces such a failure; only probes detect it.
    FakeFleet fleet({});
    startReady(fleet);
    fleet.kill(3);
    auto elapsed = fleet.runUntil(seconds(20), [&] { return fleet.countHealth(3, Health::Dead) == countRunning(fleet); });
    REQUIRE(elapsed);
    CHECK(*elapsed < seconds(12));
    CHECK(fleet.sumCounters().deathsRefuted == 0);
}

TEST_CASE("A leaving mark reaches all nodes quickly although the list is stale", "[membership]")
{
    // An operator stops an agent. The published list lags and still reports the agent as live, so entries that rely on
    // the list alone keep sending work to a process that is shutting down.
    FakeFleetOptions options;
    options.agentsPerDataCentre = 30;
    FakeFleet fleet(options);
    startReady(fleet);
    fleet.platform.documents[1].pinned = fleet.platform.documents[1].revision();
    auto leaving = positionOf(fleet, "dc1", membership::Role::Agent);
    fleet.leave(leaving);
    fleet.run(milliseconds(500));
    // Immediate notifications reach nearly all nodes, the next probes reach the rest.
    CHECK(countLeaving(fleet, leaving) > countRunning(fleet) * 8 / 10);
    CHECK(fleet.runUntil(seconds(3), [&] { return countLeaving(fleet, leaving) == countRunning(fleet); }));
}

TEST_CASE("A member that the list marks leaving stays leaving when a stale list says live", "[membership]")
{
    // The list marks an instance as leaving. A later revision, written from a lagging replica of the list, reports it
    // live again. Its process has begun to shut down in the meantime, so new work sent to it would be aborted.
    FakeFleet fleet({});
    startReady(fleet);
    auto& row = fleet.node(4).row;
    row.state = membership::ListedState::Leaving;
    fleet.publishList();
    REQUIRE(fleet.runUntil(seconds(5), [&] { return countLeaving(fleet, 4) == countRunning(fleet); }));
    CHECK(fleet.control(4).isLeaving());
    row.state = membership::ListedState::Live;
    fleet.publishList();
    fleet.run(seconds(10));
    CHECK(countLeaving(fleet, 4) == countRunning(fleet));
}

TEST_CASE("A new process at the address of one that left is live", "[membership]")
{
    // An agent leaves and its replacement starts in the same slot. If the leaving mark were kept by address, the new
    // process would never receive work: its capacity would be lost permanently, without any trace in the logs.
    FakeFleet fleet({});
    startReady(fleet);
    fleet.leave(4);
    fleet.run(seconds(3));
    REQUIRE(countLeaving(fleet, 4) == countRunning(fleet));
    fleet.kill(4);
    fleet.run(seconds(1));
    fleet.start(4);
    auto elapsed = fleet.runUntil(seconds(20), [&] { return countLeaving(fleet, 4) == 0 && fleet.countHealth(4, Health::Alive) == countRunning(fleet) - 1; });
    CHECK(elapsed);
}

TEST_CASE("A one-way network fault between two members causes no false deaths", "[membership]")
{
    // A firewall drops what one entry sends to one agent, in that direction only. The entry's pings are lost while all
    // others reach the agent. If the entry declared the agent dead, a healthy backend server would lose all its work.
    FakeFleet fleet({});
    startReady(fleet);
    fleet.drops = [&](auto& from, auto& to) { return &from == &fleet.node(0) && &to == &fleet.node(2); };
    fleet.run(seconds(60));
    CHECK(fleet.sumCounters().deathsDeclared == 0);
    CHECK(fleet.countHealth(2, Health::Dead) == 0);
    CHECK_FALSE(fleet.control(0).view()->find(fleet.node(2).row.id)->isDirectlyReachable);
    CHECK(fleet.control(1).view()->find(fleet.node(2).row.id)->isDirectlyReachable);
}

TEST_CASE("A process that receives no messages does not make others suspect", "[membership]")
{
    // The inbound path of one process breaks, but it can still send. None of its pings is answered. If the process
    // mistook its own fault for the death of the others, its suspicions would reach the fleet, which would then drop
    // healthy members.
    FakeFleet fleet({});
    startReady(fleet);
    auto before = fleet.sumCounters();
    fleet.drops = [&](auto&, auto& to) { return &to == &fleet.node(3); };
    fleet.run(seconds(60));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != 3)
            CHECK(fleet.countHealth(i, Health::Dead) <= 1); // at most in the view of the isolated process
    }
    auto after = fleet.sumCounters();
    CHECK(after.suspicionsRefuted - before.suspicionsRefuted == 0);
    CHECK(fleet.countHealth(3, Health::Dead) == fleet.size() - 1);
}

TEST_CASE("A process that was paused does not suspect others when it resumes", "[membership]")
{
    // A host swaps and a process is paused for 30 s. When it resumes, its pings seem unanswered and its suspicions seem
    // unrefuted, so it would declare healthy members dead and gossip that.
    FakeFleet fleet({});
    startReady(fleet);
    fleet.kill(5); // so that a suspicion is pending when the pause begins
    fleet.run(milliseconds(2500));
    fleet.start(5);
    fleet.pause(1, seconds(30));
    fleet.run(seconds(31));
    auto before = fleet.sumCounters();
    fleet.run(seconds(20));
    auto after = fleet.sumCounters();
    CHECK(fleet.control(1).detector().counters().pausesDetected == 1);
    CHECK(after.deathsDeclared - before.deathsDeclared == 0);
    CHECK(after.suspicionsRaised - before.suspicionsRaised == 0);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK(fleet.countHealth(i, Health::Alive) == fleet.size() - 1);
}

TEST_CASE("Both sides of a partition keep working and recover when it heals", "[membership]")
{
    // A data centre is partitioned off for a minute. Each side must keep working with the members that it reaches, and
    // afterwards all nodes must see all members alive again. The risk is that deaths declared on both sides outlast the
    // partition.
    FakeFleet fleet({});
    startReady(fleet);
    auto isInside = [](const FakeNode& it) { return it.row.dataCentre.value() == "dc0"; };
    fleet.drops = [&](auto& from, auto& to) { return isInside(from) != isInside(to); };
    fleet.run(seconds(60));
    auto& inside = *fleet.control(0).view();
    for (auto& member : inside.members)
        CHECK((member.health == Health::Dead) == (member.listed->dataCentre.value() != "dc0"));
    fleet.drops = nullptr;
    auto isAllAlive = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.countHealth(i, Health::Alive) != fleet.size() - 1)
                return false;
        }
        return true;
    };
    auto elapsed = fleet.runUntil(seconds(60), isAllAlive);
    REQUIRE(elapsed);
    CHECK(*elapsed < seconds(10));
}

TEST_CASE("Regions that lose contact mark data centres, not single members, as dead", "[membership]")
{
    // Two regions lose contact for a while. Thousands of suspicions about the other side would fill every datagram and
    // displace updates about the own side. So only data centres are marked unreachable, until they respond again.
    FakeFleetOptions options;
    options.dataCentres = 4;
    options.regions = 2;
    FakeFleet fleet(options);
    startReady(fleet);
    auto isInside = [](const FakeNode& it) { return it.row.dataCentre.value() < "dc2"; };
    fleet.drops = [&](auto& from, auto& to) { return isInside(from) != isInside(to); };
    fleet.run(seconds(120));
    CHECK(fleet.sumCounters().suspicionsRaised == 0);
    auto last = fleet.size() - 1;
    CHECK(fleet.countHealth(last, Health::Dead) == fleet.size() / 2);
    fleet.drops = nullptr;
    CHECK(fleet.runUntil(seconds(60), [&] { return fleet.countHealth(last, Health::Alive) == last; }));
}

TEST_CASE("A process whose id was reassigned to another address starts leaving", "[membership]")
{
    // An instance is considered lost and its id is assigned to a new one elsewhere. Then the old process resumes. If it
    // kept the id, the two would replace each other in every view forever, and clients would reach either of them.
    FakeFleet fleet({});
    startReady(fleet);
    auto oldRow = fleet.node(2).row;
    membership::OrderedIncarnation incarnation { 1, Incarnation(7) };
    membership::Detector detector(oldRow, incarnation, {}, {}, 1);
    membership::InstanceList list { Revision(9), { fleet.node(0).row, oldRow } };
    list.instances[1].peer = PeerAddress("10.9.9.9:7000");
    membership::DetectorEffects effects;
    detector.step(membership::InstanceListReceived { std::make_shared<membership::InstanceList>(list), fleet.now() }, effects);
    Message message;
    message.from = membership::keyOf(fleet.node(0).row.id);
    membership::MemberUpdate update;
    update.member = membership::keyOf(oldRow.id);
    update.incarnation = membership::OrderedIncarnation { 2, Incarnation(8) };
    message.updates = { update };
    detector.step(membership::MessageReceived { fleet.node(0).row.peer, message, fleet.now() }, effects);
    CHECK(detector.isLeaving());
}

} // namespace swiftloft::test
