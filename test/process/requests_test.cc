#include "test/process/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>
#include <set>
#include <thread>

using namespace swiftloft;
using namespace swiftloft::process_test;

namespace {

std::future<replay::ExchangeResult> callLater(HttpCall request)
{
    return std::async(std::launch::async, [request = std::move(request)] { return call(request); });
}

/// Waits until the request with `body` has been logged by some backend server.
bool waitUntilRunning(Fleet& fleet, const std::string& body)
{
    return waitUntil(Clock::now() + seconds(10), [&] { return fleet.runsOf(body) > 0; });
}

Fleet::Server& serverThatRuns(Fleet& fleet)
{
    for (auto& server : fleet.servers()) {
        if (fleet.runsAt(server) > 0)
            return server;
    }
    FAIL("no backend server runs anything");
    return fleet.engine(0);
}

HttpCall withHeader(HttpCall request, const std::string& name, const std::string& value)
{
    request.headers.emplace_back(name, value);
    return request;
}

} // namespace

TEST_CASE("Requests: answers of both kinds come back whole through entry and agent")
{
    Fleet fleet({ .entries = 2, .engines = 2, .plainServers = 1 });
    REQUIRE(fleet.waitUntilReady());

    auto answer = call(completion(fleet.entry(0), "a letter", 20));
    CHECK(textOf(answer) == expectedText("a letter", 20));
    CHECK(verdictOf(answer) == "ran");
    auto stream = call(completion(fleet.entry(1), "a notice", 20, true));
    INFO(stream.failure << ": " << stream.body);
    CHECK(textOf(stream) == expectedText("a notice", 20));
    CHECK_THAT(stream.body, Catch::Matchers::EndsWith("data: [DONE]\n\nevent: swiftloft\ndata: {\"verdict\":\"ran\"}\n\n"));
    auto plain = call(order(fleet.entry(0), "two vans"));
    CHECK(plain.head.result_int() == 200);
    CHECK(fleet.runsOf("two vans") == 1);
}

// An owner reads a draft as it is written. Something between entry and agent forgets the connection: no byte and no
// error come any more, while new connections work. The draft goes on after a moment, with no word missing or doubled,
// and the engine wrote it once.
TEST_CASE("Requests: a stream goes on over a new connection when the old one goes silent")
{
    Fleet fleet({ .engines = 1, .hasRelays = true });
    REQUIRE(fleet.waitUntilReady());
    auto request = withHeader(completion(fleet.entry(), "a long draft", 400, true), "Swiftloft-Repeatable", "no");

    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    std::this_thread::sleep_for(milliseconds(300));
    fleet.engine(0).relay->silenceConnections();

    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(got.end == replay::ExchangeEnd::Whole);
    CHECK(textOf(got) == expectedText("a long draft", 400));
    CHECK(fleet.runsOf(request.body) == 1);
}

// A caterer's order for two vans may not be placed twice. The connection to the agent is cut while the order is being
// placed; the caller still gets the answer of that one order.
TEST_CASE("Requests: an order that may not repeat runs once when its connection is cut")
{
    Fleet fleet({ .engines = 0, .plainServers = 2, .hasRelays = true });
    REQUIRE(fleet.waitUntilReady());
    auto request = order(fleet.entry(), "a wedding", 1500);

    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    for (auto& server : fleet.servers())
        server.relay->cutConnections();

    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(got.head.result_int() == 200);
    CHECK(verdictOf(got) == "ran");
    CHECK(fleet.runsOf(request.body) == 1);
}

// The agent that took an order is killed while the order is being placed, and another starts in its slot. The caller is
// told that the order may have run; nobody places it a second time.
TEST_CASE("Requests: an order whose agent dies is not placed again")
{
    Fleet fleet({ .engines = 0, .plainServers = 2 });
    REQUIRE(fleet.waitUntilReady());
    auto request = order(fleet.entry(), "one van", 1500);

    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    auto& server = serverThatRuns(fleet);
    server.agent->kill();
    fleet.startAgent(server);

    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(got.head.result_int() == 502);
    CHECK(verdictOf(got) == "may-have-run");
    CHECK(fleet.runsOf(request.body) == 1);
}

// A caller sends an order under a key of its own. Its entry is killed while the order is being placed, and the caller
// sends the same order again through another entry, which has never heard of it. It gets the answer of the one order.
TEST_CASE("Requests: an order resent under its key through another entry runs once")
{
    Fleet fleet({ .entries = 2, .engines = 0, .plainServers = 4 });
    REQUIRE(fleet.waitUntilReady());
    auto first = withHeader(order(fleet.entry(0), "a banquet", 1500), "Idempotency-Key", "order-7");
    auto answer = callLater(first);
    REQUIRE(waitUntilRunning(fleet, first.body));
    fleet.entry(0).process->kill();
    answer.get();

    auto second = withHeader(order(fleet.entry(1), "a banquet", 1500), "Idempotency-Key", "order-7");
    auto got = call(second);
    INFO(got.body);
    CHECK(got.head.result_int() == 200);
    CHECK(fleet.runsOf(first.body) == 1);
}

// All agents that know of an order are killed while it is being placed, and new ones start in their slots, with no
// memory. The caller sends the order again: it is told "may have run"; the order is not placed twice.
TEST_CASE("Requests: an order under a key is not placed again when every agent has forgotten it")
{
    Fleet fleet({ .entries = 2, .engines = 0, .plainServers = 3 });
    REQUIRE(fleet.waitUntilReady());
    auto first = withHeader(order(fleet.entry(0), "a feast", 1500), "Idempotency-Key", "order-8");
    auto answer = callLater(first);
    REQUIRE(waitUntilRunning(fleet, first.body));
    for (auto& server : fleet.servers()) {
        server.agent->kill();
        fleet.startAgent(server);
    }
    CHECK(verdictOf(answer.get()) == "may-have-run");
    REQUIRE(fleet.waitUntilReady());

    auto got = call(withHeader(order(fleet.entry(1), "a feast", 1500), "Idempotency-Key", "order-8"));
    INFO(got.body);
    CHECK(got.head.result_int() == 503);
    CHECK(verdictOf(got) == "may-have-run");
    CHECK(fleet.runsOf(first.body) == 1);
}

// One request crashes whatever runs it, and its caller sends it again and again through any entry, under a new key each
// time. At most two engines die of it; the requests of others go on.
TEST_CASE("Requests: a request that crashes its engines kills at most two of them")
{
    Fleet fleet({ .entries = 2, .engines = 5, .engineOptions = { "--crash-marker", "poison" } });
    REQUIRE(fleet.waitUntilReady());
    for (int n = 0; n < 12; ++n) {
        auto poison = withHeader(completion(fleet.entry(n % 2), "a poison draft", 5), "Idempotency-Key", fmt::format("try-{}", n));
        CHECK(call(poison).head.result_int() >= 400);
        CHECK(call(completion(fleet.entry(n % 2), fmt::format("an innocent draft {}", n), 5)).head.result_int() == 200);
    }
    std::size_t dead = 0;
    for (auto& server : fleet.servers())
        dead += !server.backend->isRunning();
    CHECK(dead == 2);
}

// A draft is asked for; before its first word the engine dies. A draft may be made again, so another engine makes it and
// the caller sees only one whole answer.
TEST_CASE("Requests: a repeatable request whose engine dies is answered by another")
{
    Fleet fleet({ .engines = 2, .engineOptions = { "--prompt-ms-per-1k", "20000" } });
    REQUIRE(fleet.waitUntilReady());
    std::string prompt(400, 'x');
    auto request = completion(fleet.entry(), prompt, 5);

    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    serverThatRuns(fleet).backend->kill();

    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(got.head.result_int() == 200);
    CHECK(textOf(got) == expectedText(prompt, 5));
}

// An engine dies in the middle of a streamed answer. What the caller got must not look whole: no end mark, and the last
// event says why.
TEST_CASE("Requests: a stream whose engine dies midway is visibly cut")
{
    Fleet fleet({ .engines = 1 });
    REQUIRE(fleet.waitUntilReady());
    auto request = completion(fleet.entry(), "a cut draft", 2000, true);

    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    std::this_thread::sleep_for(milliseconds(300));
    fleet.engine(0).backend->kill();

    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(got.end == replay::ExchangeEnd::Cut);
    CHECK(got.body.find("[DONE]") == std::string::npos);
    CHECK_THAT(got.body, Catch::Matchers::Contains("event: swiftloft\ndata: {\"reason\":10"));
}

// An agent is frozen, as when its machine stalls, with an order in its hands, and wakes up later still believing that
// all is well. Meanwhile the caller has been told "may have run". The order must have run once at most, and new work
// must have gone to the other server.
TEST_CASE("Requests: an agent that freezes and wakes late doubles nothing")
{
    Fleet fleet({ .engines = 0, .plainServers = 2 });
    REQUIRE(fleet.waitUntilReady());
    auto request = order(fleet.entry(), "a frozen order", 500);
    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    auto& frozen = serverThatRuns(fleet);
    frozen.agent->pause();

    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(verdictOf(got) == "may-have-run");
    CHECK(waitUntil(Clock::now() + seconds(5), [&] { return fleet.stateOf(fleet.entry(), frozen.id) == "unreachable"; }));
    CHECK(call(order(fleet.entry(), "the next order")).head.result_int() == 200);
    frozen.agent->resume();
    CHECK(waitUntil(Clock::now() + seconds(5), [&] { return fleet.stateOf(fleet.entry(), frozen.id) == "up"; }));
    CHECK(fleet.runsOf(request.body) == 1);
    CHECK(fleet.runsOf("the next order") == 1);
}

// An agent is told to stop while it streams an answer. The answer goes on to its end, new requests go elsewhere at once,
// and then the agent ends by itself.
TEST_CASE("Shutdown: an agent told to stop finishes its answers and takes no new work")
{
    Fleet fleet({ .engines = 2 });
    REQUIRE(fleet.waitUntilReady());
    auto request = completion(fleet.entry(), "the last draft", 300, true);
    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    auto& leaving = serverThatRuns(fleet);
    leaving.agent->terminate();
    std::this_thread::sleep_for(milliseconds(100));

    auto before = fleet.runsAt(leaving);
    for (int n = 0; n < 10; ++n)
        CHECK(call(completion(fleet.entry(), fmt::format("after {}", n), 3)).head.result_int() == 200);
    CHECK(fleet.runsAt(leaving) == before);
    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(got.end == replay::ExchangeEnd::Whole);
    CHECK(textOf(got) == expectedText("the last draft", 300));
    CHECK(leaving.agent->waitForExit(Clock::now() + seconds(10)) == 0);
}

// An entry is told to stop while it streams an answer to one caller, and another caller comes with an address it was
// given a moment ago. Both are served; then the entry ends by itself.
TEST_CASE("Shutdown: an entry told to stop serves late callers and cuts nothing")
{
    Fleet fleet({ .engines = 1, .keepTime = "2s" });
    REQUIRE(fleet.waitUntilReady());
    auto request = completion(fleet.entry(), "a draft in progress", 500, true);
    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    fleet.entry().process->terminate();
    std::this_thread::sleep_for(milliseconds(500));

    auto late = call(completion(fleet.entry(), "a late caller", 3));
    CHECK(late.head.result_int() == 200);
    CHECK(std::string(late.head["Swiftloft-Ask-Again"]) == "yes");
    CHECK(call({ fleet.entry().address(), "GET", "/readyz" }).head.result_int() == 503);
    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(got.end == replay::ExchangeEnd::Whole);
    CHECK(textOf(got) == expectedText("a draft in progress", 500));
    CHECK(fleet.entry().process->waitForExit(Clock::now() + seconds(10)) == 0);
}

// The platform is down for long. Requests are served as before, and a backend server that dies meanwhile is avoided.
TEST_CASE("Requests: a platform that is down disturbs no request, also when an engine dies meanwhile")
{
    Fleet fleet({ .engines = 2 });
    REQUIRE(fleet.waitUntilReady());
    fleet.platform().kill();
    fleet.engine(0).backend->kill();
    for (int n = 0; n < 20; ++n) {
        auto answer = call(completion(fleet.entry(), fmt::format("without platform {}", n), 3));
        CHECK(answer.head.result_int() == 200);
        CHECK(textOf(answer) == expectedText(fmt::format("without platform {}", n), 3));
    }
}

// Operators mark a backend server as leaving in the published list. Two seconds later it gets no new work, though it
// is well and its agent knows nothing.
TEST_CASE("Leaving: a backend server marked in the list gets no new work within two seconds")
{
    Fleet fleet({ .engines = 2 });
    REQUIRE(fleet.waitUntilReady());
    callJson({ fleet.platformAddress(), "PATCH", "/admin/instances/engine-1", R"({"state":"leaving"})" });
    REQUIRE(waitUntil(Clock::now() + seconds(2), [&] { return fleet.stateOf(fleet.entry(), "engine-1") == "leaving"; }));
    auto before = fleet.runsAt(fleet.engine(0));
    for (int n = 0; n < 10; ++n)
        CHECK(call(completion(fleet.entry(), fmt::format("after the mark {}", n), 3)).head.result_int() == 200);
    CHECK(fleet.runsAt(fleet.engine(0)) == before);
}

// An organisation may send 20 requests a second. It sends all of them to one of three entries: the others lend their
// shares, so it is not held to a third. Sending three times as much to all entries at once, it gets no more than its
// limit and its saved-up burst.
TEST_CASE("Limits: unused shares are lent, and the sum over entries keeps the limit")
{
    Fleet fleet({ .entries = 3, .engines = 0, .plainServers = 2, .settings = "[organisation limited]\nrequests-per-second = 20/s\nburst = 1s\nmax-in-flight = 1000\n" });
    REQUIRE(fleet.waitUntilReady());
    auto send = [&](std::size_t entry) {
        auto request = order(fleet.entry(entry), "counted");
        request.headers[1].second = "limited";
        return call(request).head.result_int();
    };
    auto sendFor = [&](milliseconds length, std::size_t entries, milliseconds gap) {
        std::size_t answered = 0;
        auto until = Clock::now() + length;
        for (std::size_t n = 0; Clock::now() < until; ++n) {
            answered += send(n % entries) == 200;
            std::this_thread::sleep_for(gap);
        }
        return answered;
    };

    auto atOne = sendFor(milliseconds(3000), 1, milliseconds(100));
    INFO("answered at one entry, of about 30 sent in 3 s: " << atOne);
    CHECK(atOne >= 24);
    auto startedAt = Clock::now();
    auto atAll = sendFor(milliseconds(3000), 3, milliseconds(10));
    auto allowed = 20 * std::chrono::duration<double>(Clock::now() - startedAt).count() + 20;
    INFO("answered at all entries: " << atAll << ", allowed: " << allowed);
    CHECK(static_cast<double>(atAll) <= allowed);
}
