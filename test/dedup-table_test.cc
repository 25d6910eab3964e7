#include <swiftloft/policy/dedup-table.h>
#include <swiftloft/policy/random.h>

#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace swiftloft;
using namespace swiftloft::policy;

namespace {

const TimePoint start { seconds(1000) };
const BackendServerId self("engine-1");
constexpr Incarnation incarnation { 5 };

DedupTable makeTable(std::size_t capacity = 100)
{
    return DedupTable::create({ .capacity = capacity, .epochLength = seconds(60), .epochsKept = 3 }, self, incarnation, start).value();
}

Ticket ticketOf(std::uint64_t serial, std::uint64_t epoch = 1)
{
    return { self, incarnation, MintEpoch(epoch), Incarnation(77), serial };
}

} // namespace

TEST_CASE("DedupTable: a second copy attaches to the run or gets its outcome, and never runs")
{
    // An entry loses its connection after the request was written and sends the request again on a new connection. Both
    // copies arrive.
    auto table = makeTable();
    CHECK(table.start(ticketOf(1)).answer == StartAnswer::Run);
    CHECK(table.start(ticketOf(1)).answer == StartAnswer::AlreadyRunning);
    table.finish(ticketOf(1), Verdict::Ran);
    auto second = table.start(ticketOf(1));
    CHECK(second.answer == StartAnswer::AlreadyFinished);
    CHECK(second.verdict == Verdict::Ran);
}

TEST_CASE("DedupTable: a cancelled request is not run by a copy that arrives later")
{
    // The client got the verdict not-run while a copy of its request was still in a socket buffer. The connection
    // recovers and delivers the copy; if it ran, work that the client has since submitted again would run twice.
    auto table = makeTable();
    CHECK(table.cancel(ticketOf(1)) == Verdict::NotRun);
    auto late = table.start(ticketOf(1));
    CHECK(late.answer == StartAnswer::Cancelled);
    CHECK(late.verdict == Verdict::NotRun);
    table.start(ticketOf(2));
    CHECK(table.cancel(ticketOf(2)) == Verdict::MayHaveRun);
    table.finish(ticketOf(2), Verdict::Ran);
    CHECK(table.cancel(ticketOf(2)) == Verdict::Ran);
}

TEST_CASE("DedupTable: a restarted agent refuses what its previous incarnation may have run")
{
    // The agent runs a request, crashes and restarts within a second. The entry resends the request to the same
    // address, where the new process has no record of it.
    auto table = makeTable();
    auto old = ticketOf(1);
    old.agentIncarnation = Incarnation(4);
    CHECK(table.start(old).answer == StartAnswer::OtherIncarnation);
    CHECK(table.start(old).verdict == Verdict::MayHaveRun);
    CHECK(table.cancel(old) == Verdict::MayHaveRun);
    auto foreign = ticketOf(1);
    foreign.agent = BackendServerId("engine-2");
    CHECK(table.start(foreign).answer == StartAnswer::OtherIncarnation);
}

TEST_CASE("DedupTable: a copy that arrives after its record was dropped is refused, not run again")
{
    // A copy is held in a paused entry for an hour. The agent has long dropped its record of the request, so only the
    // ticket's epoch shows that the copy must not run.
    auto table = makeTable();
    table.start(ticketOf(1));
    table.finish(ticketOf(1), Verdict::Ran);
    table.cancel(ticketOf(2));
    for (int i = 1; i <= 4; ++i)
        table.tick(start + seconds(60 * i));
    CHECK(table.size() == 0);
    CHECK(table.start(ticketOf(1)).answer == StartAnswer::TooOld);
    CHECK(table.start(ticketOf(1)).verdict == Verdict::MayHaveRun);
    CHECK(table.cancel(ticketOf(2)) == Verdict::MayHaveRun);
    CHECK(table.start(ticketOf(3, 9)).answer == StartAnswer::NotYetMinted);
}

TEST_CASE("DedupTable: under a flood of requests old tickets are refused, but never run twice")
{
    // One entry floods the agent with requests. To accept new tickets the table drops old ones; copies of those must
    // not run.
    auto table = makeTable(10);
    for (std::uint64_t i = 0; i < 10; ++i) {
        table.start(ticketOf(i));
        table.finish(ticketOf(i), Verdict::Ran);
    }
    CHECK(table.start(ticketOf(10)).answer == StartAnswer::Full);
    CHECK(table.cancel(ticketOf(10)) == Verdict::MayHaveRun);
    table.tick(start + seconds(60));
    CHECK(table.start(ticketOf(11, 2)).answer == StartAnswer::Run);
    CHECK(table.start(ticketOf(0)).answer == StartAnswer::TooOld);
    CHECK(table.cancel(ticketOf(0)) == Verdict::MayHaveRun);
}

TEST_CASE("DedupTable: making room for a ticket can move the horizon past the ticket itself")
{
    // The table is full of tickets of the previous epoch when one more ticket of that epoch arrives. Dropping that
    // epoch makes room, but the ticket may be a copy of one that was just dropped.
    auto table = makeTable(2);
    auto fill = [&] {
        for (std::uint64_t i = 0; i < 2; ++i) {
            table.start(ticketOf(i));
            table.finish(ticketOf(i), Verdict::Ran);
        }
        table.tick(start + seconds(60));
    };
    fill();
    SECTION("start") { CHECK(table.start(ticketOf(7)).answer == StartAnswer::TooOld); }
    SECTION("cancel") { CHECK(table.cancel(ticketOf(7)) == Verdict::MayHaveRun); }
    CHECK(table.size() == 0);
}

TEST_CASE("DedupTable: copies attach to a run in progress however long it lasts")
{
    // A long run lasts beyond the epochs kept. Its connection breaks, and the entry attaches again with the same
    // ticket.
    auto table = makeTable();
    table.start(ticketOf(1));
    for (int i = 1; i <= 6; ++i)
        table.tick(start + seconds(60 * i));
    CHECK(table.start(ticketOf(1)).answer == StartAnswer::AlreadyRunning);
    table.finish(ticketOf(1), Verdict::Ran);
    CHECK(table.size() == 0);
    CHECK(table.start(ticketOf(1)).answer == StartAnswer::TooOld);
}

TEST_CASE("DedupTable: under random copies, cancels, epochs and floods no ticket runs twice or after not-run")
{
    Generator generator(4);
    boost::random::uniform_int_distribution<int> percent(0, 99);
    auto table = makeTable(40);
    auto now = start;
    std::vector<Ticket> minted;
    std::map<std::uint64_t, int> runs;
    std::map<std::uint64_t, bool> cancelled;
    std::vector<Ticket> running;
    for (int i = 0; i < 50000; ++i) {
        auto dice = percent(generator);
        if (dice < 20 || minted.empty())
            minted.push_back(ticketOf(minted.size(), table.epoch().value()));
        boost::random::uniform_int_distribution<std::size_t> recent(minted.size() > 200 ? minted.size() - 200 : 0, minted.size() - 1);
        auto ticket = minted[recent(generator)];
        if (dice < 60 && table.start(ticket).answer == StartAnswer::Run) {
            ++runs[ticket.serial];
            CHECK_FALSE(cancelled[ticket.serial]);
            running.push_back(ticket);
        } else if (dice < 75 && table.cancel(ticket) == Verdict::NotRun) {
            cancelled[ticket.serial] = true;
            CHECK(runs[ticket.serial] == 0);
        } else if (dice < 95 && !running.empty()) {
            table.finish(running.back(), Verdict::Ran);
            running.pop_back();
        } else if (dice >= 99) {
            now += seconds(60);
            table.tick(now);
        }
        REQUIRE(table.size() <= 40);
    }
    std::size_t ran = 0;
    for (auto& [serial, n] : runs) {
        CHECK(n <= 1);
        ran += static_cast<std::size_t>(n);
    }
    CHECK(ran > 1000);
}
