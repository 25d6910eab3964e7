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

/// Waits until a backend server has logged the request with `body`.
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
    FAIL("no backend server is running a request");
    return fleet.engine(0);
}

HttpCall withHeader(HttpCall request, const std::string& name, const std::string& value)
{
    request.headers.emplace_back(name, value);
    return request;
}

} // namespace

TEST_CASE("Requests: model and plain responses arrive complete through entry and agent")
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

// Guards against a connection that no longer responds: a device between entry and agent loses the connection's state,
// so that neither bytes nor errors arrive, while new connections work. The stream must resume with no word missing or
// repeated, and the engine must run the request once.
TEST_CASE("Requests: a stream continues on a new connection when the old one goes silent")
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

// Guards against running a non-repeatable order twice: the connection to the agent is cut while the order runs. The
// caller must still get the response of that single run.
TEST_CASE("Requests: a non-repeatable order runs once when its connection is cut")
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

// Guards against running a non-repeatable order again after an agent crash: the agent is killed while the order runs, and
// a new agent starts in its slot. The caller must get the verdict "may have run".
TEST_CASE("Requests: an order whose agent is killed does not run again")
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

// Guards against running an order twice when its caller resends it: the order has the caller's own key, its entry is
// killed while the order runs, and the caller resends it through another entry, which does not know it. The caller must
// get the response of the single run.
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

// Guards against running an order twice after its record is lost: all agents that know the order are killed while the
// order runs, and new agents start in their slots without any state. When the caller resends the order, the caller must
// get the verdict "may have run".
TEST_CASE("Requests: an order with a key does not run again when every agent has lost its record")
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

// Guards against a request that crashes every engine that runs it, while its caller resends it through all entries, with a
// new key each time. At most two engines may crash, and other requests must succeed.
TEST_CASE("Requests: a request that crashes its engines crashes at most two of them")
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

// Guards against failing a repeatable request: the engine is killed before the first token. Another engine must run the
// request, and the caller must get one complete response.
TEST_CASE("Requests: a repeatable request whose engine is killed is answered by another engine")
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

// Guards against a truncated stream that looks complete: the engine is killed in the middle of a streamed response. The
// response must have no end mark, and its last event must carry the reason.
TEST_CASE("Requests: a stream whose engine is killed midway is visibly truncated")
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

// Guards against an agent that freezes, as when its machine stalls. It stops while an order runs, and resumes without
// noticing the pause after the caller got the verdict "may have run". The order must have run at most once, and new
// requests must have been sent to the other server.
TEST_CASE("Requests: an agent that freezes and resumes late runs nothing twice")
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

// Guards against a shutdown that loses requests: an agent gets a stop signal while it streams a response. The response
// must complete, new requests must be sent to the other engine at once, and the agent must then exit. The signal is sent
// after the response has started, because before that another engine could have run the request.
TEST_CASE("Shutdown: an agent with a stop signal completes its responses and accepts no new requests")
{
    Fleet fleet({ .engines = 2 });
    REQUIRE(fleet.waitUntilReady());
    auto request = completion(fleet.entry(), "the last draft", 300, true);
    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    auto& leaving = serverThatRuns(fleet);
    std::this_thread::sleep_for(milliseconds(300));
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
    CHECK(fleet.runsOf(request.body) == 1);
    CHECK(leaving.agent->waitForExit(Clock::now() + seconds(10)) == 0);
}

// Guards against a shutdown that refuses clients: an entry gets a stop signal while it streams a response to one caller.
// A second caller uses an address that it got a moment ago. A third caller connects when all peers know of the stop, but
// address lists sent before may still be cached. All callers must be served, and the entry must then exit.
TEST_CASE("Shutdown: an entry with a stop signal serves late callers and truncates no response")
{
    Fleet fleet({ .engines = 1, .keepTime = "4s" });
    REQUIRE(fleet.waitUntilReady());
    auto request = completion(fleet.entry(), "a draft in progress", 500, true);
    auto answer = callLater(request);
    REQUIRE(waitUntilRunning(fleet, request.body));
    fleet.entry().process->terminate();
    auto leftAt = Clock::now();
    std::this_thread::sleep_for(milliseconds(500));

    auto late = call(completion(fleet.entry(), "a late caller", 3));
    CHECK(late.head.result_int() == 200);
    CHECK(std::string(late.head["Swiftloft-Ask-Again"]) == "yes");
    CHECK(call({ fleet.entry().address(), "GET", "/readyz" }).head.result_int() == 503);
    auto got = answer.get();
    INFO("failure: " << got.failure << "; end of body: " << got.body.substr(got.body.size() - std::min<std::size_t>(got.body.size(), 200)));
    CHECK(got.end == replay::ExchangeEnd::Whole);
    CHECK(textOf(got) == expectedText("a draft in progress", 500));
    std::this_thread::sleep_until(leftAt + milliseconds(6500));
    CHECK(call(completion(fleet.entry(), "the last caller", 3)).head.result_int() == 200);
    CHECK(fleet.entry().process->waitForExit(Clock::now() + seconds(10)) == 0);
}

// Guards against a dependency of requests on the platform: the platform stays down and an engine is killed meanwhile. All
// requests must succeed on the other engine.
TEST_CASE("Requests: a platform outage affects no request, even when an engine is killed meanwhile")
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

// Guards against ignoring the published list: operators mark a healthy backend server as leaving, and its agent does not
// know of the mark. Within two seconds the server must get no new requests.
TEST_CASE("Leaving: a backend server marked as leaving in the list gets no new requests after two seconds")
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

// Guards against entries that don't lend their unused shares of a limit, and against a sum over the entries that
// exceeds the limit. An organisation may send 20 requests per second. When it sends them to one of three entries, the
// other two lend their shares, so the organisation is not limited to a third. When it sends three times as much to all
// entries, it gets no more than its limit plus its burst.
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
