#include "src/gateway/entry-book.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };

Endpoint endpoint(unsigned n, unsigned short port = 7000)
{
    return { boost::asio::ip::address_v4(0x0a000000 + n), port };
}

EntryMember member(unsigned n, std::uint64_t incarnation = 1, std::uint64_t heartbeat = 1)
{
    return { endpoint(n), Incarnation(incarnation), heartbeat, endpoint(n, 8000), DataCentreName("a"), EntryState::Serving };
}

Hello helloOf(const EntryMember& sender, std::vector<EntryMember> others = {})
{
    return { sender, 0, 0, std::move(others), {} };
}

std::size_t aliveAt(const EntryBook& book, TimePoint time)
{
    return book.alive(time).size();
}

} // namespace

TEST_CASE("EntryBook: members are learnt from others, and go when their heartbeat stands")
{
    EntryBook book(member(1), {});
    book.onHello(helloOf(member(2), { member(3) }), start);
    CHECK(aliveAt(book, start) == 2);
    // Entry 2 goes on saying what it last heard of entry 3.
    book.onHello(helloOf(member(2, 1, 2), { member(3) }), start + seconds(1));
    CHECK(aliveAt(book, start + EntryBook::silentAfter) == 1);
    CHECK(book.mostKnown() == 3);
}

// An entry is killed and starts again at its address. Word of its first life, with a high count, still goes round; taken
// as newer, it would hide the second life, whose count begins anew.
TEST_CASE("EntryBook: a new life replaces the old one, and hearsay of the old one doesn't undo it")
{
    EntryBook book(member(1), {});
    book.onHello(helloOf(member(2, 1, 900)), start);
    book.onHello(helloOf(member(2, 2, 1)), start + seconds(1));
    book.onHello(helloOf(member(3), { member(2, 1, 901) }), start + seconds(1));
    auto alive = book.alive(start + seconds(1));
    auto it = std::find_if(alive.begin(), alive.end(), [](auto& entry) { return entry.control == endpoint(2); });
    REQUIRE(it != alive.end());
    CHECK(it->incarnation == Incarnation(2));
}

// All entries are restarted while the seeds in their settings are stale. One seed lives; through it all find each other.
TEST_CASE("EntryBook: seeds that are not heard are asked for ever, others in random turns")
{
    policy::Generator generator(1);
    EntryBook book(member(1), { endpoint(1), endpoint(8), endpoint(9) });
    auto targets = book.nextTargets(start, generator);
    CHECK(targets == std::vector { endpoint(8), endpoint(9) });
    book.onHello(helloOf(member(8)), start);
    targets = book.nextTargets(start + milliseconds(1), generator);
    std::sort(targets.begin(), targets.end());
    CHECK(targets == std::vector { endpoint(8), endpoint(9) });
}

TEST_CASE("EntryBook: what a hello costs does not grow with the fleet")
{
    policy::Generator generator(1);
    EntryBook book(member(1), {});
    for (unsigned n = 2; n < 700; ++n)
        book.onHello(helloOf(member(n)), start);
    CHECK(book.nextHello(generator).members.size() == EntryBook::membersPerHello);
    CHECK(book.nextTargets(start, generator).size() == EntryBook::hellosPerRound);
}

// A fleet of hundreds of entries that each watch the store would use up its reads. The first two of a data centre watch
// for the others, and the others begin when too few are left whom the store answers.
TEST_CASE("EntryBook: two entries of a data centre follow the store, more when those can't")
{
    EntryBook book(member(9), {});
    CHECK(book.shouldWatch(start));
    auto watching = [](unsigned n, const std::string& dataCentre, bool isWatching) {
        auto out = member(n);
        out.dataCentre = DataCentreName(dataCentre);
        out.isWatching = isWatching;
        return out;
    };
    book.onHello(helloOf(watching(1, "a", true)), start);
    CHECK(book.shouldWatch(start));
    book.onHello(helloOf(watching(2, "a", true)), start);
    book.onHello(helloOf(watching(20, "b", true)), start);
    CHECK_FALSE(book.shouldWatch(start));
    // The store turns one of them away.
    auto turnedAway = watching(2, "a", false);
    turnedAway.heartbeat = 2;
    book.onHello(helloOf(turnedAway), start + milliseconds(1));
    CHECK(book.shouldWatch(start + milliseconds(1)));
}
