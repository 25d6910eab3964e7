#include "src/gateway/control-state.h"
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

/// One of a fleet spread over so many data centres.
EntryMember memberIn(unsigned n, unsigned dataCentres)
{
    auto out = member(n);
    out.dataCentre = DataCentreName(std::string(1, static_cast<char>('a' + n % dataCentres)));
    return out;
}

Hello helloOf(const EntryMember& sender, std::vector<EntryMember> others = {})
{
    return { sender, 0, {}, std::move(others), {} };
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
    CHECK(targets.far == std::vector { endpoint(8), endpoint(9) });
    CHECK(targets.near.empty());
    book.onHello(helloOf(member(8)), start);
    targets = book.nextTargets(start + milliseconds(1), generator);
    CHECK(targets.near == std::vector { endpoint(8) });
    CHECK(targets.far == std::vector { endpoint(9) });
}

TEST_CASE("EntryBook: what a hello costs does not grow with the fleet")
{
    policy::Generator generator(1);
    for (unsigned dataCentres : { 1U, 9U }) {
        EntryBook book(memberIn(1, dataCentres), {});
        for (unsigned n = 2; n < 700; ++n)
            book.onHello(helloOf(memberIn(n, dataCentres)), start);
        CHECK(book.hello(EntryBook::membersPerHello, generator).members.size() == EntryBook::membersPerHello);
        auto targets = book.nextTargets(start, generator);
        CHECK(targets.near.size() == EntryBook::neighboursPerRound);
        CHECK(targets.far.size() == (dataCentres == 1 ? 0 : EntryBook::farHellosPerRound));
    }
}

// 149 entries in five data centres told each other of all the others, 130 KB a second each; beside the agents' news that
// filled their links, and requests came late.
TEST_CASE("EntryBook: hellos of hundreds of entries take a part of what control may send")
{
    policy::Generator generator(1);
    EntryBook book(memberIn(1, 5), {});
    for (unsigned n = 2; n <= 149; ++n)
        book.onHello(helloOf(memberIn(n, 5)), start);
    auto targets = book.nextTargets(start, generator);
    auto bytesOf = [&](std::size_t members) {
        constexpr std::size_t headers = 28;
        return encode(NewsMessage(book.hello(members, generator))).size() + headers;
    };
    auto bytes = targets.near.size() * bytesOf(0) + targets.far.size() * bytesOf(EntryBook::membersPerHello);
    auto bytesPerSecond = bytes * 1000 / static_cast<std::size_t>(ControlState::helloEvery.count());
    CHECK(bytesPerSecond < 25'000);
}

// One entry of a fleet of 149 dies. Its own data centre hands it to no client two seconds later; the others hear its count
// from others, and must not lose sight of those that live.
TEST_CASE("EntryBook: entries of five data centres know each other, and their own dead, while hellos are few")
{
    constexpr unsigned entries = 149;
    constexpr unsigned dataCentres = 5;
    policy::Generator generator(5);
    std::vector<EntryBook> books;
    std::map<Endpoint, std::size_t> indexOf;
    for (unsigned n = 0; n < entries; ++n) {
        books.emplace_back(memberIn(n, dataCentres), std::vector { endpoint(0), endpoint(1), endpoint(2) });
        indexOf[endpoint(n)] = n;
    }
    auto now = start;
    std::size_t dead = entries;
    auto round = [&] {
        for (std::size_t n = 0; n < entries; ++n) {
            if (n == dead)
                continue;
            books[n].beginRound();
            auto targets = books[n].nextTargets(now, generator);
            auto send = [&](auto& list, std::size_t members) {
                auto hello = books[n].hello(members, generator);
                for (auto& target : list) {
                    auto& receiver = books[indexOf.at(target)];
                    if (indexOf.at(target) == dead)
                        continue;
                    bool isNewcomer = receiver.isNewcomer(hello);
                    receiver.onHello(hello, now);
                    if (isNewcomer)
                        books[n].onHello(receiver.welcome(books[n].self(), generator), now);
                }
            };
            send(targets.near, 0);
            send(targets.far, EntryBook::membersPerHello);
        }
        now += ControlState::helloEvery;
    };
    for (int n = 0; n < 5; ++n)
        round();
    for (auto& book : books) {
        auto alive = book.alive(now);
        auto near = std::count_if(alive.begin(), alive.end(), [&](auto& it) { return book.isNear(it.dataCentre); });
        // 29 or 30 entries a data centre, this one left out.
        CHECK(near >= 28);
    }
    for (int n = 0; n < 50; ++n)
        round();
    // Of the others one in a hundred may be out of sight for a moment: clients are sent to them only in need.
    for (auto& book : books)
        CHECK(book.alive(now).size() >= entries - 3);
    dead = 10;
    for (int n = 0; n < 5; ++n)
        round();
    for (std::size_t n = 0; n < entries; ++n) {
        if (n == dead || n % dataCentres != dead % dataCentres)
            continue;
        auto alive = books[n].alive(now);
        CHECK(std::none_of(alive.begin(), alive.end(), [&](auto& it) { return it.control == endpoint(10); }));
    }
}

// Agents told each of 149 entries of their ranks. Two of each data centre are enough, and when these die the next two step in
// without a word.
TEST_CASE("EntryBook: the first two of a data centre are its relays, the next ones when those are silent")
{
    EntryBook book(memberIn(13, 5), {});
    CHECK(book.isRelay(start));
    book.onHello(helloOf(memberIn(3, 5)), start);
    book.onHello(helloOf(memberIn(4, 5)), start);
    book.onHello(helloOf(memberIn(5, 5)), start);
    CHECK(book.isRelay(start));
    book.onHello(helloOf(memberIn(8, 5)), start + seconds(1));
    CHECK_FALSE(book.isRelay(start + seconds(1)));
    CHECK(book.isRelay(start + EntryBook::silentAfter));
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
