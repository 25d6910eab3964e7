#include "src/gateway/rank-registry.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };

Endpoint endpoint(unsigned n)
{
    return { boost::asio::ip::address_v4(0x0a000000 + n), 7000 };
}

RankStatus status(unsigned rank, std::uint64_t epoch = 1, bool isOpen = true, bool knowsGroup = false)
{
    return { endpoint(rank), EngineGroupName("g"), GroupEpoch(epoch), RankIndex(rank), 64, isOpen, 1, ServerStartTime(1000), knowsGroup };
}

} // namespace

// Guards against this failure: 149 entries sent each of 192 agents the addresses of its whole group every second, 370
// KB per second to an instance with a link of 750 KB per second; map change orders queued behind them, and demand had
// shifted when they arrived.
TEST_CASE("RankRegistry: an agent gets its group's brief when the group changes, and while the agent reports that it does not know it")
{
    RankRegistry registry;
    EngineTraits traits;
    CHECK(registry.nextBrief(start, endpoint(0), traits, true).ranks.empty());
    for (unsigned rank = 0; rank < 63; ++rank)
        registry.onStatus(start, status(rank));
    CHECK(registry.nextBrief(start, endpoint(0), traits, true).ranks.size() == 63);
    // The datagram was lost: the agent still reports that it does not know its group.
    CHECK(registry.nextBrief(start, endpoint(0), traits, true).ranks.size() == 63);
    registry.onStatus(start, status(63));
    CHECK(registry.nextBrief(start, endpoint(0), traits, true).ranks.size() == 64);
    registry.onStatus(start, status(0, 1, true, true));
    CHECK(registry.nextBrief(start, endpoint(0), traits, true).ranks.empty());
    registry.onStatus(start + milliseconds(1), status(0, 2, true, true));
    CHECK(registry.nextBrief(start + milliseconds(1), endpoint(0), traits, true).epoch == GroupEpoch(2));
    auto later = start + RankRegistry::briefRepeatInterval + milliseconds(1);
    registry.onStatus(later, status(0, 2, true, true));
    CHECK(registry.nextBrief(later, endpoint(0), traits, true).ranks.size() == 1);
}

// Guards against this failure: a rank is lost and its group rejects requests until it has re-formed. Agents report to
// two entries of a data centre; an entry that continued to send to the group would have its requests rejected one after
// the other.
TEST_CASE("RankRegistry: closed ranks are known from another entry's report, as long as their agents report it")
{
    RankRegistry relay;
    RankRegistry entry;
    relay.onStatus(start, status(0, 1, false));
    relay.onStatus(start, status(1, 1, true));
    auto sent = relay.degradedRanks(start + milliseconds(300));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].address == endpoint(0));
    CHECK(sent[0].age == milliseconds(300));
    CHECK(entry.onPeerDegradedRanks(start + milliseconds(300), endpoint(200), sent));
    CHECK_FALSE(entry.onPeerDegradedRanks(start + milliseconds(300), endpoint(200), sent));
    CHECK(entry.peerDegradedRanks(start + milliseconds(300)).size() == 1);
    // The relay is cut off from the agents and repeats its last report, which ages with the agent's status.
    auto late = start + RankRegistry::degradedPropagationTime;
    entry.onPeerDegradedRanks(late, endpoint(200), sent);
    CHECK(entry.peerDegradedRanks(late + milliseconds(901)).empty());
    CHECK(relay.degradedRanks(late).empty());
}

// Guards against this failure: an engine becomes slow. Entries that its agent does not report to continue to send it
// requests, and every step of the group takes longer; when it has recovered, they leave it idle.
TEST_CASE("RankRegistry: slowdown and recovery of a rank are forwarded")
{
    RankRegistry relay;
    RankRegistry entry;
    auto slow = status(0);
    slow.pace = 3;
    relay.onStatus(start, status(0));
    CHECK(relay.degradedRanks(start).empty());
    CHECK(relay.onStatus(start + milliseconds(40), slow).isChange);
    CHECK_FALSE(relay.onStatus(start + milliseconds(440), slow).isChange);
    auto sent = relay.degradedRanks(start + milliseconds(450));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].isOpen);
    CHECK(sent[0].pace == 3);
    CHECK(entry.onPeerDegradedRanks(start + milliseconds(450), endpoint(200), sent));
    auto known = entry.peerDegradedRanks(start + milliseconds(450));
    REQUIRE(known.size() == 1);
    CHECK(known[0].pace == 3);
    CHECK(relay.onStatus(start + milliseconds(500), status(0)).isChange);
    CHECK(entry.onPeerDegradedRanks(start + milliseconds(510), endpoint(200), relay.degradedRanks(start + milliseconds(510))));
    CHECK(entry.peerDegradedRanks(start + milliseconds(510)).empty());
}

TEST_CASE("RankRegistry: a rank is open again by the report of the relay or of its agent")
{
    RankRegistry entry;
    std::vector<DegradedRank> closed { { endpoint(0), milliseconds(100), false, 1 } };
    entry.onPeerDegradedRanks(start, endpoint(200), closed);
    entry.onStatus(start, status(0));
    CHECK(entry.peerDegradedRanks(start).empty());
    entry.onPeerDegradedRanks(start + milliseconds(50), endpoint(200), closed);
    entry.onPeerDegradedRanks(start + milliseconds(60), endpoint(200), {});
    CHECK(entry.peerDegradedRanks(start + milliseconds(60)).empty());
}

// Guards against this failure: after a power loss the 64 ranks of a group open at the same moment, and their agents
// report it one after the other. For a tenth of a second the first rank was the only server with capacity for all
// queued requests of 149 entries, and rejected most of them.
TEST_CASE("RankRegistry: if one rank of a group is open, all of its ranks are")
{
    RankRegistry registry;
    for (unsigned rank = 0; rank < 64; ++rank)
        registry.onStatus(start, status(rank, 1, false));
    CHECK(registry.degradedRanks(start).size() == 64);
    CHECK(registry.onStatus(start + milliseconds(5), status(17, 2, true)).isChange);
    CHECK(registry.degradedRanks(start + milliseconds(5)).empty());
    auto ranks = registry.ranks();
    CHECK(std::all_of(ranks.begin(), ranks.end(), [](auto& it) { return it.status.isOpen; }));
    // The group loses a rank again: the ranks that report it are closed in this epoch.
    registry.onStatus(start + milliseconds(90), status(17, 2, false));
    CHECK(registry.degradedRanks(start + milliseconds(90)).size() == 1);
}

// Guards against this failure: all engines come up together. If every entry that an agent reports to sent the brief,
// each agent would get its group ten times over, and its orders would queue behind that. Entries of other data centres
// send it only if the local ones have failed.
TEST_CASE("RankRegistry: an agent of another data centre gets the brief if no local entry has sent it")
{
    RankRegistry registry;
    EngineTraits traits;
    for (unsigned rank = 0; rank < 64; ++rank)
        registry.onStatus(start, status(rank));
    CHECK(registry.nextBrief(start, endpoint(0), traits, false).ranks.empty());
    auto later = start + RankRegistry::localBriefTimeout;
    CHECK(registry.nextBrief(later, endpoint(0), traits, false).ranks.size() == 64);
    registry.onStatus(later, status(1, 1, true, true));
    CHECK(registry.nextBrief(later, endpoint(1), traits, false).ranks.empty());
}

// Guards against this failure: entries send requests to an engine whose agent has found that its process has ended.
TEST_CASE("RankRegistry: a rank whose engine has ended is closed, also at the entries that agents do not report to")
{
    RankRegistry relay;
    RankRegistry entry;
    relay.onStatus(start, status(0, 1, true));
    CHECK(relay.degradedRanks(start).empty());
    auto ended = status(0, 1, false);
    ended.hasEngineEnded = true;
    CHECK(relay.onStatus(start + milliseconds(100), ended).isChange);
    CHECK_FALSE(relay.ranks().at(0).status.isOpen);
    auto sent = relay.degradedRanks(start + milliseconds(100));
    REQUIRE(sent.size() == 1);
    CHECK(entry.onPeerDegradedRanks(start + milliseconds(110), endpoint(200), sent));
    REQUIRE(entry.peerDegradedRanks(start + milliseconds(110)).size() == 1);
    CHECK(entry.peerDegradedRanks(start + milliseconds(110))[0].hasEngineEnded);
    CHECK(relay.onStatus(start + milliseconds(3000), status(0, 2, true)).isChange);
    CHECK(relay.degradedRanks(start + milliseconds(3000)).empty());
}
