#include "src/gateway/rank-board.h"

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

RankStatus news(unsigned rank, std::uint64_t epoch = 1, bool isOpen = true, bool knowsGroup = false)
{
    return { endpoint(rank), EngineGroupName("g"), GroupEpoch(epoch), RankIndex(rank), 64, isOpen, 1, ServerStart(1000), knowsGroup };
}

} // namespace

// 149 entries sent each of 192 agents the addresses of its whole group every second, 370 KB a second to a slot with a link of
// 750 KB; orders to change the map waited behind them, and demand had shifted when they came.
TEST_CASE("RankBoard: an agent is told of its group when that changes, and while it says that it does not know it")
{
    RankBoard board;
    EngineTraits traits;
    CHECK(board.nextBrief(start, endpoint(0), traits, true).ranks.empty());
    for (unsigned rank = 0; rank < 63; ++rank)
        board.onNews(start, news(rank));
    CHECK(board.nextBrief(start, endpoint(0), traits, true).ranks.size() == 63);
    // The datagram was lost: the agent still says that it does not know.
    CHECK(board.nextBrief(start, endpoint(0), traits, true).ranks.size() == 63);
    board.onNews(start, news(63));
    CHECK(board.nextBrief(start, endpoint(0), traits, true).ranks.size() == 64);
    board.onNews(start, news(0, 1, true, true));
    CHECK(board.nextBrief(start, endpoint(0), traits, true).ranks.empty());
    board.onNews(start + milliseconds(1), news(0, 2, true, true));
    CHECK(board.nextBrief(start + milliseconds(1), endpoint(0), traits, true).epoch == GroupEpoch(2));
    auto later = start + RankBoard::toldAgainAfter + milliseconds(1);
    board.onNews(later, news(0, 2, true, true));
    CHECK(board.nextBrief(later, endpoint(0), traits, true).ranks.size() == 1);
}

// A rank is lost and its group turns requests away until it has formed again. Agents tell two entries of a data centre; an
// entry that sent on to the group would have its requests refused one after the other.
TEST_CASE("RankBoard: closed ranks are known by the word of another entry, as long as their agents say so")
{
    RankBoard relay;
    RankBoard entry;
    relay.onNews(start, news(0, 1, false));
    relay.onNews(start, news(1, 1, true));
    auto told = relay.degraded(start + milliseconds(300));
    REQUIRE(told.size() == 1);
    CHECK(told[0].address == endpoint(0));
    CHECK(told[0].age == milliseconds(300));
    CHECK(entry.onDegradedTold(start + milliseconds(300), endpoint(200), told));
    CHECK_FALSE(entry.onDegradedTold(start + milliseconds(300), endpoint(200), told));
    CHECK(entry.degradedElsewhere(start + milliseconds(300)).size() == 1);
    // The relay is cut off from the agents and goes on saying what it heard last: that ages with its source.
    auto late = start + RankBoard::degradedToldFor;
    entry.onDegradedTold(late, endpoint(200), told);
    CHECK(entry.degradedElsewhere(late + milliseconds(901)).empty());
    CHECK(relay.degraded(late).empty());
}

// An engine turns slow. Entries that its agent does not tell go on placing work there, and every step of the group gets
// longer; when it is well again, they leave it idle.
TEST_CASE("RankBoard: that a rank is slow, and that it is well again, is passed on")
{
    RankBoard relay;
    RankBoard entry;
    auto slow = news(0);
    slow.pace = 3;
    relay.onNews(start, news(0));
    CHECK(relay.degraded(start).empty());
    CHECK(relay.onNews(start + milliseconds(40), slow).isChange);
    CHECK_FALSE(relay.onNews(start + milliseconds(440), slow).isChange);
    auto told = relay.degraded(start + milliseconds(450));
    REQUIRE(told.size() == 1);
    CHECK(told[0].isOpen);
    CHECK(told[0].pace == 3);
    CHECK(entry.onDegradedTold(start + milliseconds(450), endpoint(200), told));
    auto known = entry.degradedElsewhere(start + milliseconds(450));
    REQUIRE(known.size() == 1);
    CHECK(known[0].pace == 3);
    CHECK(relay.onNews(start + milliseconds(500), news(0)).isChange);
    CHECK(entry.onDegradedTold(start + milliseconds(510), endpoint(200), relay.degraded(start + milliseconds(510))));
    CHECK(entry.degradedElsewhere(start + milliseconds(510)).empty());
}

TEST_CASE("RankBoard: open again by the relay's word, or by the agent's own")
{
    RankBoard entry;
    std::vector<DegradedRank> closed { { endpoint(0), milliseconds(100), false, 1 } };
    entry.onDegradedTold(start, endpoint(200), closed);
    entry.onNews(start, news(0));
    CHECK(entry.degradedElsewhere(start).empty());
    entry.onDegradedTold(start + milliseconds(50), endpoint(200), closed);
    entry.onDegradedTold(start + milliseconds(60), endpoint(200), {});
    CHECK(entry.degradedElsewhere(start + milliseconds(60)).empty());
}

// After a loss of power the 64 ranks of a group open in one moment, and their agents say so one after the other. For a tenth of
// a second the first one was the only server with room for all that waited in 149 entries; it turned most of it away.
TEST_CASE("RankBoard: a group that one rank shows open is open at all of its ranks")
{
    RankBoard board;
    for (unsigned rank = 0; rank < 64; ++rank)
        board.onNews(start, news(rank, 1, false));
    CHECK(board.degraded(start).size() == 64);
    CHECK(board.onNews(start + milliseconds(5), news(17, 2, true)).isChange);
    CHECK(board.degraded(start + milliseconds(5)).empty());
    auto ranks = board.ranks();
    CHECK(std::all_of(ranks.begin(), ranks.end(), [](auto& it) { return it.news.isOpen; }));
    // The group loses a rank again: those that say so are closed in this epoch.
    board.onNews(start + milliseconds(90), news(17, 2, false));
    CHECK(board.degraded(start + milliseconds(90)).size() == 1);
}

// All engines come up together. Told by every entry that it speaks to, each agent gets its group ten times over, and its orders
// wait behind that. Entries of other data centres step in only where the near ones are gone.
TEST_CASE("RankBoard: an agent of another data centre is told when nobody else has told it")
{
    RankBoard board;
    EngineTraits traits;
    for (unsigned rank = 0; rank < 64; ++rank)
        board.onNews(start, news(rank));
    CHECK(board.nextBrief(start, endpoint(0), traits, false).ranks.empty());
    auto later = start + RankBoard::nearToldWithin;
    CHECK(board.nextBrief(later, endpoint(0), traits, false).ranks.size() == 64);
    board.onNews(later, news(1, 1, true, true));
    CHECK(board.nextBrief(later, endpoint(1), traits, false).ranks.empty());
}
