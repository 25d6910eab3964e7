#include <swiftloft/policy/router.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

using namespace swiftloft;
using namespace swiftloft::policy;

namespace {

const TimePoint start { seconds(1000) };

struct RouterFixture {
    Router router = Router::create(options()).value();
    Generator generator { 17 };
    TimePoint now { start };

    static RouterOptions options()
    {
        RouterOptions options;
        options.dataCentre = DataCentreName("hoan-kiem");
        options.region = RegionName("hanoi");
        return options;
    }

    ServerHandle add(const std::string& id, const std::string& dataCentre = "hoan-kiem", const std::string& region = "hanoi")
    {
        return router.add({ BackendServerId(id), DataCentreName(dataCentre), RegionName(region) });
    }

    static RouteRequest request(std::int64_t prompt = 100)
    {
        RouteRequest request;
        request.promptTokens = Tokens(prompt);
        request.expectedOutput = Tokens(100);
        request.isRepeatable = true;
        return request;
    }

    RouteChoice choose(const RouteRequest& it) { return router.choose(it, now, generator).value(); }

    RouteChoice send(const RouteRequest& it)
    {
        auto choice = choose(it);
        router.onStart(choice, it, now);
        return choice;
    }

    /// How often each server is chosen over `n` choices that change nothing.
    std::map<ServerHandle, int> tally(const RouteRequest& it, int n = 100)
    {
        std::map<ServerHandle, int> counts;
        for (int i = 0; i < n; ++i)
            ++counts[choose(it).server];
        return counts;
    }
};

RouteChoice attemptAt(ServerHandle server)
{
    RouteChoice choice;
    choice.server = server;
    return choice;
}

} // namespace

TEST_CASE_METHOD(RouterFixture, "Router: between two load reports this entry's requests are spread, not all sent to the idlest server")
{
    // Reports lag by a second. If the requests sent since the last report were not counted, all requests of that second
    // would go to the server that was idle in the report and queue behind each other.
    for (int i = 0; i < 4; ++i)
        router.onReport(add(fmt::format("e{}", i)), { start, Tokens(90000 + i), 5000 });
    std::map<ServerHandle, int> sent;
    for (int i = 0; i < 40; ++i)
        ++sent[send(request()).server];
    CHECK(sent.size() == 4);
    for (auto& [server, n] : sent)
        CHECK(n == 10);
}

TEST_CASE_METHOD(RouterFixture, "Router: a report sampled before a request was sent does not hide that request")
{
    // The report arrives after the request was sent but was sampled before, so the server looks idle although work is
    // on the way to it.
    auto a = add("a");
    now += seconds(10);
    send(request());
    router.onReport(a, { now - milliseconds(500), Tokens(1000), 5000 });
    CHECK(router.explain(request(), now)[0].expectedWait == milliseconds(240));
    router.onReport(a, { now - milliseconds(900), Tokens(7000), 5000 });
    CHECK(router.explain(request(), now)[0].expectedWait == milliseconds(240));
}

TEST_CASE_METHOD(RouterFixture, "Router: own work that ended after a report was sampled is not counted as another entry's")
{
    // A report of 200 tokens arrives when the request that caused them has just been answered. If they were counted as
    // the work of other entries, the server that responds fastest would look the busiest.
    auto a = add("a");
    now += seconds(10);
    auto choice = send(request());
    now += milliseconds(300);
    router.onFirstByte(choice, milliseconds(20), now);
    router.onFinish(choice, now);
    router.onReport(a, { now - milliseconds(200), Tokens(200), 5000 });
    CHECK(router.explain(request(), now)[0].expectedWait == milliseconds(0));
}

TEST_CASE_METHOD(RouterFixture, "Router: an idle slow engine is not preferred for being idle")
{
    std::vector<ServerHandle> servers;
    servers.reserve(4);
    for (int i = 0; i < 4; ++i)
        servers.push_back(add(fmt::format("e{}", i)));
    for (int i = 0; i < 200; ++i)
        router.onTokenGap(servers[static_cast<std::size_t>(i % 4)], milliseconds(i % 4 ? 20 : 80), now);
    CHECK(tally(request()).count(servers[0]) == 0);
}

TEST_CASE_METHOD(RouterFixture, "Router: a single outlying report does not redirect the traffic")
{
    // Reports are snapshots that are half a second old: a server sampled between two bursts is not an idle server.
    auto busy = add("busy");
    auto other = add("other");
    for (int i = 0; i < 20; ++i) {
        router.onReport(busy, { now + milliseconds(i), Tokens(5000), 5000 });
        router.onReport(other, { now + milliseconds(i), Tokens(4500), 5000 });
    }
    router.onReport(busy, { now + milliseconds(20), Tokens(4000), 5000 });
    CHECK(tally(request()).count(busy) == 0);
}

TEST_CASE_METHOD(RouterFixture, "Router: an engine four times slower than the median gets fewer requests, and is tried again later")
{
    // One engine becomes four times slower, for example from overheating, while it reports the same backlog as the
    // others. Requests sent there are slow until the engine is weighted by the observed token gaps.
    std::vector<ServerHandle> servers;
    servers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        servers.push_back(add(fmt::format("e{}", i)));
        router.onReport(servers.back(), { start, Tokens(1000), 5000 });
    }
    for (int i = 0; i < 50; ++i) {
        for (auto server : servers)
            router.onTokenGap(server, milliseconds(server == servers[0] ? 80 : 20), now);
    }
    CHECK(tally(request()).count(servers[0]) == 0);
    now += seconds(21);
    CHECK(tally(request()).count(servers[0]) == 1);
}

TEST_CASE_METHOD(RouterFixture, "Router: a crashed server gets no requests until its ejection ends, then one request at a time")
{
    // An engine crashes and restarts in a faulty state. Without the limit of one probe, every request of that second
    // would fail on it.
    auto bad = add("bad");
    auto good = add("good");
    add("third");
    router.onFailure(attemptAt(bad), FailureKind::Crashed, now);
    CHECK(tally(request()).count(bad) == 0);
    now += milliseconds(1001);
    auto fixed = request();
    fixed.isRepeatable = false;
    CHECK(tally(fixed).count(bad) == 0);
    auto probe = send(request());
    CHECK(probe.server == bad);
    CHECK(probe.reason == RouteReason::Probe);
    CHECK(tally(request()).count(bad) == 0);
    router.onFailure(probe, FailureKind::Unreachable, now);
    now += milliseconds(1500);
    CHECK(tally(request()).count(bad) == 0);
    now += milliseconds(501);
    probe = send(request());
    CHECK(probe.server == bad);
    router.onFinish(probe, now);
    CHECK(tally(request()).count(bad) == 1);
    CHECK(tally(request()).count(good) == 1);
}

TEST_CASE_METHOD(RouterFixture, "Router: a server that fails every other request is ejected")
{
    auto flaky = add("flaky");
    add("good");
    add("third");
    for (int i = 0; i < 6; ++i) {
        router.onFailure(attemptAt(flaky), FailureKind::TimedOut, now);
        router.onFinish(attemptAt(flaky), now);
        router.onFailure(attemptAt(flaky), FailureKind::TimedOut, now);
    }
    CHECK(router.explain(request(), now).back().state == ServerState::Ejected);
}

TEST_CASE_METHOD(RouterFixture, "Router: when most servers fail, the remaining ones do not get the whole load")
{
    // A switch drops packets, so all servers appear faulty from this entry. If all were ejected, every request would be
    // refused; if all but one were, that one would be overloaded.
    std::vector<ServerHandle> servers;
    servers.reserve(4);
    for (int i = 0; i < 4; ++i)
        servers.push_back(add(fmt::format("e{}", i)));
    for (auto server : servers)
        router.onFailure(attemptAt(server), FailureKind::Crashed, now);
    CHECK(tally(request()).size() == 2);
}

TEST_CASE_METHOD(RouterFixture, "Router: a leaving or removed server is never chosen, whatever is reported for it")
{
    auto a = add("a");
    auto b = add("b");
    router.markLeaving(a);
    router.onReport(a, { now, Tokens(0), 9000 });
    router.onFailure(attemptAt(a), FailureKind::Crashed, now);
    now += seconds(100);
    router.onFinish(attemptAt(a), now);
    CHECK(tally(request()).count(a) == 0);
    router.remove(b);
    CHECK_FALSE(router.choose(request(), now, generator));
    auto c = add("c");
    router.onFailure(attemptAt(b), FailureKind::Crashed, now);
    CHECK(choose(request()).server == c);
    CHECK(router.idOf(b) == nullptr);
    CHECK(add("c") == c);
}

TEST_CASE_METHOD(RouterFixture, "Router: a request is not sent again to a server at which it was attempted")
{
    auto a = add("a");
    auto b = add("b");
    std::vector<ServerHandle> tried { a };
    auto it = request();
    it.triedServers = tried;
    CHECK(tally(it).count(a) == 0);
    tried.push_back(b);
    it.triedServers = tried;
    CHECK_FALSE(router.choose(it, now, generator));
}

TEST_CASE_METHOD(RouterFixture, "Router: requests with a shared prefix go where it is cached, and spread before they overload the server")
{
    // Many requests begin with the same prefix. Sent to one engine they share its cache, but if all of them were sent
    // there, they would queue up while the other engines are idle.
    for (int i = 0; i < 4; ++i)
        add(fmt::format("e{}", i));
    auto prefix = prefixBlocks(std::string(8192, 'x'), 1, {});
    auto it = request(2000);
    it.prefix = prefix;
    auto first = send(it);
    router.onFinish(first, now);
    auto second = send(it);
    CHECK(second.server == first.server);
    CHECK(second.reason == RouteReason::PrefixCached);
    CHECK(second.cachedBlocks == 8);
    std::map<ServerHandle, int> sent;
    for (int i = 0; i < 400; ++i)
        ++sent[send(it).server];
    CHECK(sent.size() == 4);
    auto rows = router.explain(it, now);
    auto [least, most] = std::minmax_element(rows.begin(), rows.end(), [](auto& a, auto& b) { return a.expectedWait < b.expectedWait; });
    // Allowed difference: twice the prefill of 400 ms that the cache saves (the default weight is 2), and one request.
    CHECK(most->expectedWait <= least->expectedWait + milliseconds(1220));
    router.onCacheLost(first.server);
    for (auto& row : router.explain(it, now))
        CHECK((row.id == *router.idOf(first.server)) == (row.cachedBlocks == 0));
}

TEST_CASE_METHOD(RouterFixture, "Router: the local data centre is left only when its wait exceeds the threshold")
{
    auto home = add("home");
    auto near = add("near", "ba-dinh");
    add("far", "surat", "gujarat");
    router.onReport(home, { now, Tokens(900), 5000 });
    CHECK(tally(request()).count(home) == 1);
    router.onReport(home, { now + seconds(1), Tokens(2000), 5000 });
    auto choice = choose(request());
    CHECK(choice.server == near);
    CHECK(choice.reason == RouteReason::Spilled);
}

TEST_CASE_METHOD(RouterFixture, "Router: explain ranks the server that a choice takes first")
{
    for (int i = 0; i < 8; ++i)
        router.onReport(add(fmt::format("e{}", i)), { now, Tokens(1000 - 100 * i), 5000 });
    CHECK(router.explain(request(), now)[0].id == *router.idOf(choose(request()).server));
}

TEST_CASE("PrefixIndex: evicted and expired prefixes are not found, also when their slot has a new server")
{
    auto index = PrefixIndex::create({ .capacity = 64, .expireAfter = seconds(300) }).value();
    auto blocks = prefixBlocks(std::string(3000, 'a') + "tail", 9, {});
    REQUIRE(blocks.size() == 2);
    PrefixIndex::Holders holders;
    ServerHandle server { 3, 1 };
    index.insert(blocks, server, start);
    CHECK(index.find(blocks, start, holders) == 1);
    CHECK(holders[0].server == server);
    CHECK(index.find(blocks, start + seconds(301), holders) == 0);
    index.evict(blocks[1], server);
    REQUIRE(index.find(blocks, start, holders) == 1);
    CHECK(holders[0].blocks == 1);
    index.insert({}, ServerHandle { 3, 2 }, start);
    CHECK(index.find(blocks, start, holders) == 0);
}

TEST_CASE("PrefixIndex: memory stays fixed and the newest prefixes are kept")
{
    auto index = PrefixIndex::create({ .capacity = 1024, .expireAfter = seconds(300) }).value();
    PrefixIndex::Holders holders;
    auto blocksOf = [](int n) { return prefixBlocks(fmt::format("{:01024}", n), 0, {}); };
    for (int i = 0; i < 10000; ++i)
        index.insert(blocksOf(i), { 0, 1 }, start + seconds(i / 100));
    int kept = 0;
    for (int i = 9800; i < 10000; ++i)
        kept += index.find(blocksOf(i), start + seconds(100), holders) ? 1 : 0;
    CHECK(kept >= 195);
}

TEST_CASE("prefixBlocks: equal starts give equal hashes, models are kept apart")
{
    auto a = prefixBlocks(std::string(2048, 'a') + std::string(1024, 'b'), 1, {});
    auto b = prefixBlocks(std::string(2048, 'a') + std::string(1024, 'c'), 1, {});
    REQUIRE(a.size() == 3);
    CHECK(a[1] == b[1]);
    CHECK(a[2] != b[2]);
    CHECK(prefixBlocks(std::string(2048, 'a'), 2, {})[0] != a[0]);
}
