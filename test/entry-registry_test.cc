#include "src/gateway/control-state.h"
#include "src/gateway/entry-registry.h"

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

/// Returns a member of a fleet that is spread over `dataCentres` data centres.
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

std::size_t aliveAt(const EntryRegistry& registry, TimePoint time)
{
    return registry.alive(time).size();
}

} // namespace

TEST_CASE("EntryRegistry: members are learnt from other entries and expire when their heartbeat stops")
{
    EntryRegistry registry(member(1), {});
    registry.onHello(helloOf(member(2), { member(3) }), start);
    CHECK(aliveAt(registry, start) == 2);
    // Entry 2 continues to pass on the last heartbeat that it received from entry 3.
    registry.onHello(helloOf(member(2, 1, 2), { member(3) }), start + seconds(1));
    CHECK(aliveAt(registry, start + EntryRegistry::silenceTimeout) == 1);
    CHECK(registry.peakEntryCount() == 3);
}

// An entry is killed and starts again at its address. Reports of its first incarnation, with a high heartbeat, are
// still passed on. If they counted as newer, they would hide the second incarnation, whose heartbeat starts again from
// the beginning.
TEST_CASE("EntryRegistry: a new incarnation replaces the old one, and indirect reports of the old one don't undo it")
{
    EntryRegistry registry(member(1), {});
    registry.onHello(helloOf(member(2, 1, 900)), start);
    registry.onHello(helloOf(member(2, 2, 1)), start + seconds(1));
    registry.onHello(helloOf(member(3), { member(2, 1, 901) }), start + seconds(1));
    auto alive = registry.alive(start + seconds(1));
    auto it = std::find_if(alive.begin(), alive.end(), [](auto& entry) { return entry.control == endpoint(2); });
    REQUIRE(it != alive.end());
    CHECK(it->incarnation == Incarnation(2));
}

// All entries are restarted while the seeds in their settings are stale. One seed is alive, and through it all entries
// find each other.
TEST_CASE("EntryRegistry: silent seeds are contacted forever, other entries at random")
{
    policy::Generator generator(1);
    EntryRegistry registry(member(1), { endpoint(1), endpoint(8), endpoint(9) });
    auto targets = registry.nextTargets(start, generator);
    CHECK(targets.remote == std::vector { endpoint(8), endpoint(9) });
    CHECK(targets.local.empty());
    registry.onHello(helloOf(member(8)), start);
    targets = registry.nextTargets(start + milliseconds(1), generator);
    CHECK(targets.local == std::vector { endpoint(8) });
    CHECK(targets.remote == std::vector { endpoint(9) });
}

TEST_CASE("EntryRegistry: the cost of a hello does not grow with the fleet")
{
    policy::Generator generator(1);
    for (unsigned dataCentres : { 1U, 9U }) {
        EntryRegistry registry(memberIn(1, dataCentres), {});
        for (unsigned n = 2; n < 700; ++n)
            registry.onHello(helloOf(memberIn(n, dataCentres)), start);
        CHECK(registry.makeHello(EntryRegistry::membersPerHello, generator).members.size() == EntryRegistry::membersPerHello);
        auto targets = registry.nextTargets(start, generator);
        CHECK(targets.local.size() == EntryRegistry::maxLocalHellosPerRound);
        CHECK(targets.remote.size() == (dataCentres == 1 ? 0 : EntryRegistry::minRemoteHellosPerRound));
    }
}

// 149 entries in five data centres sent each other all members, 130 KB a second each. Together with the rank status of
// agents this filled their links, and requests were late.
TEST_CASE("EntryRegistry: hellos of hundreds of entries use only a part of the control traffic allowance")
{
    policy::Generator generator(1);
    EntryRegistry registry(memberIn(1, 5), {});
    for (unsigned n = 2; n <= 149; ++n)
        registry.onHello(helloOf(memberIn(n, 5)), start);
    auto targets = registry.nextTargets(start, generator);
    auto bytesOf = [&](std::size_t members) {
        constexpr std::size_t headers = 28;
        return encode(ControlMessage(registry.makeHello(members, generator))).size() + headers;
    };
    auto bytes = targets.local.size() * bytesOf(0) + targets.remote.size() * bytesOf(EntryRegistry::membersPerHello);
    auto bytesPerSecond = bytes * 1000 / static_cast<std::size_t>(ControlState::helloInterval.count());
    CHECK(bytesPerSecond < 25'000);
}

// One entry of a fleet of 149 dies. Two seconds later its local entries offer it to no client. The remote entries
// receive its heartbeat indirectly, and must not lose the entries that are alive.
TEST_CASE("EntryRegistry: entries of five data centres know each other, and which local ones are dead, with few hellos")
{
    constexpr unsigned entries = 149;
    constexpr unsigned dataCentres = 5;
    policy::Generator generator(5);
    std::vector<EntryRegistry> registries;
    std::map<Endpoint, std::size_t> indexOf;
    for (unsigned n = 0; n < entries; ++n) {
        registries.emplace_back(memberIn(n, dataCentres), std::vector { endpoint(0), endpoint(1), endpoint(2) });
        indexOf[endpoint(n)] = n;
    }
    auto now = start;
    std::size_t dead = entries;
    auto round = [&] {
        for (std::size_t n = 0; n < entries; ++n) {
            if (n == dead)
                continue;
            registries[n].beginRound();
            auto targets = registries[n].nextTargets(now, generator);
            auto send = [&](auto& list, std::size_t members) {
                auto hello = registries[n].makeHello(members, generator);
                for (auto& target : list) {
                    auto& receiver = registries[indexOf.at(target)];
                    if (indexOf.at(target) == dead)
                        continue;
                    bool isNewcomer = receiver.isNewcomer(hello);
                    receiver.onHello(hello, now);
                    if (isNewcomer)
                        registries[n].onHello(receiver.makeWelcome(registries[n].self(), generator), now);
                }
            };
            send(targets.local, 0);
            send(targets.remote, EntryRegistry::membersPerHello);
        }
        now += ControlState::helloInterval;
    };
    for (int n = 0; n < 5; ++n)
        round();
    for (auto& registry : registries) {
        auto alive = registry.alive(now);
        auto local = std::count_if(alive.begin(), alive.end(), [&](auto& it) { return registry.isLocal(it.dataCentre); });
        // 29 or 30 entries a data centre, without this one.
        CHECK(local >= 28);
    }
    for (int n = 0; n < 50; ++n)
        round();
    // One in a hundred of the remote entries may be missing for a moment: clients are sent to them only in an
    // emergency.
    for (auto& registry : registries)
        CHECK(registry.alive(now).size() >= entries - 3);
    dead = 10;
    for (int n = 0; n < 5; ++n)
        round();
    for (std::size_t n = 0; n < entries; ++n) {
        if (n == dead || n % dataCentres != dead % dataCentres)
            continue;
        auto alive = registries[n].alive(now);
        CHECK(std::none_of(alive.begin(), alive.end(), [&](auto& it) { return it.control == endpoint(10); }));
    }
}

// Agents sent their rank status to each of 149 entries. Two entries per data centre are enough. When these die, the
// next two replace them, and no message is needed for this.
TEST_CASE("EntryRegistry: the first two entries of a data centre are its relays, and the next ones when those are silent")
{
    EntryRegistry registry(memberIn(13, 5), {});
    CHECK(registry.isRelay(start));
    registry.onHello(helloOf(memberIn(3, 5)), start);
    registry.onHello(helloOf(memberIn(4, 5)), start);
    registry.onHello(helloOf(memberIn(5, 5)), start);
    CHECK(registry.isRelay(start));
    registry.onHello(helloOf(memberIn(8, 5)), start + seconds(1));
    CHECK_FALSE(registry.isRelay(start + seconds(1)));
    CHECK(registry.isRelay(start + EntryRegistry::silenceTimeout));
}

// A fleet of hundreds of entries that all watch the store would use up its read limit. The first two entries of a data
// centre watch for the others, and the others start to watch when the store answers too few entries.
TEST_CASE("EntryRegistry: two entries of a data centre watch the store, more when those can't")
{
    EntryRegistry registry(member(9), {});
    CHECK(registry.shouldWatch(start));
    auto watching = [](unsigned n, const std::string& dataCentre, bool isWatching) {
        auto out = member(n);
        out.dataCentre = DataCentreName(dataCentre);
        out.isWatching = isWatching;
        return out;
    };
    registry.onHello(helloOf(watching(1, "a", true)), start);
    CHECK(registry.shouldWatch(start));
    registry.onHello(helloOf(watching(2, "a", true)), start);
    registry.onHello(helloOf(watching(20, "b", true)), start);
    CHECK_FALSE(registry.shouldWatch(start));
    // The store rejects one of them.
    auto rejected = watching(2, "a", false);
    rejected.heartbeat = 2;
    registry.onHello(helloOf(rejected), start + milliseconds(1));
    CHECK(registry.shouldWatch(start + milliseconds(1)));
}

// A data centre has more entries than get a hello in one round. With a random choice in each round, some entry gets none
// of a neighbour for the whole silence timeout, takes it for dead and watches the store or hears agents in its place.
TEST_CASE("EntryRegistry: living entries of a large data centre stay in sight")
{
    constexpr unsigned entries = 145;
    policy::Generator generator(7);
    std::vector<EntryRegistry> registries;
    for (unsigned n = 0; n < entries; ++n) {
        registries.emplace_back(memberIn(n, 1), std::vector<Endpoint> {});
        for (unsigned other = 0; other < entries; ++other)
            registries.back().onHello(helloOf(memberIn(other, 1)), start);
    }
    auto now = start;
    std::size_t fewest = entries;
    for (int round = 0; round < 40; ++round) {
        now += ControlState::helloInterval;
        for (auto& registry : registries) {
            registry.beginRound();
            auto hello = registry.makeHello(0, generator);
            for (auto& to : registry.nextTargets(now, generator).local) {
                auto it = std::find_if(registries.begin(), registries.end(), [&](auto& other) { return other.self().control == to; });
                it->onHello(hello, now);
            }
        }
        for (auto& registry : registries)
            fewest = std::min(fewest, registry.alive(now).size());
    }
    CHECK(fewest == entries - 1);
}

TEST_CASE("EntryRegistry: a leaving entry accepts requests for the time that it has reported, unless it falls silent")
{
    EntryRegistry registry(member(1), {});
    auto leaver = member(2);
    leaver.state = EntryState::Leaving;
    leaver.acceptsFor = seconds(3);
    registry.onHello(helloOf(leaver), start);
    registry.onHello(helloOf(member(3)), start);
    auto leavers = registry.acceptingLeavers(start + seconds(1));
    REQUIRE(leavers.size() == 1);
    CHECK(leavers.front().clients == leaver.clients);
    CHECK(leavers.front().acceptsUntil == start + seconds(3));
    CHECK(registry.acceptingLeavers(start + seconds(2)).empty());
    leaver.heartbeat = 2;
    leaver.acceptsFor = milliseconds(500);
    registry.onHello(helloOf(leaver), start + milliseconds(2500));
    CHECK(registry.acceptingLeavers(start + milliseconds(2900)).size() == 1);
    CHECK(registry.acceptingLeavers(start + seconds(3)).empty());
}
