#include "test/process/http-call.h"
#include "test/process/process-harness.h"
#include "test/process/relay.h"

#include "standin/answer-text.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>

using namespace swiftloft;
using namespace swiftloft::process_test;

namespace json = boost::json;

namespace {

constexpr seconds patience { 10 };

std::unique_ptr<ChildProcess> startStandin(const std::string& name, std::vector<std::string> options = {})
{
    options.insert(options.begin(), builtProgram("standin/standin-" + name));
    return ChildProcess::start(std::move(options), {}).value();
}

HttpCall completion(const std::string& address, const std::string& prompt, int tokens, bool isStream = false)
{
    json::object body { { "prompt", prompt }, { "max_tokens", tokens }, { "stream", isStream } };
    return { address, "POST", "/v1/completions", json::serialize(body) };
}

std::string textOf(const json::value& answer)
{
    return json::value_to<std::string>(answer.at("choices").at(0).at("text"));
}

std::string outcomeOfRun(const std::string& address, std::size_t n)
{
    return json::value_to<std::string>(callJson({ address, "GET", "/admin/runs" }).at(n).at("outcome"));
}

} // namespace

TEST_CASE("Platform stand-in: a watch ends when the next revision is published")
{
    auto platform = startStandin("platform");
    callJson({ platform->address(), "PUT", "/admin/settings", "first" });
    auto watch = std::async(std::launch::async, [&] { return call({ platform->address(), "GET", "/v1/settings?watch=1" }); });
    callJson({ platform->address(), "PUT", "/admin/settings", "second" });
    auto seen = watch.get();
    CHECK(seen.body == "second");
    CHECK(seen.head["Swiftloft-Revision"] == "2");
}

TEST_CASE("Platform stand-in: a stale replica serves an older revision until it recovers")
{
    auto platform = startStandin("platform");
    callJson({ platform->address(), "PUT", "/admin/settings", "first" });
    callJson({ platform->address(), "PUT", "/admin/settings", "second" });
    callJson({ platform->address(), "POST", "/admin/fault", R"({"kind":"stale","revision":1})" });
    CHECK(call({ platform->address(), "GET", "/v1/settings" }).body == "first");
    callJson({ platform->address(), "POST", "/admin/fault", R"({"kind":"none"})" });
    CHECK(call({ platform->address(), "GET", "/v1/settings" }).body == "second");
}

TEST_CASE("Platform stand-in: calls over the rate are refused and counted")
{
    auto platform = startStandin("platform", { "--calls-per-second", "1" });
    int refused = 0;
    for (int n = 0; n < 10; ++n)
        refused += call({ platform->address(), "GET", "/v1/settings" }).head.result_int() == 429;
    CHECK(refused > 0);
    CHECK(callJson({ platform->address(), "GET", "/admin/calls" }).at("refused").to_number<int>() == refused);
}

TEST_CASE("Engine stand-in: an answer resumed at a token goes on where the first one would have")
{
    auto engine = startStandin("engine", { "--step-ms", "0" });
    auto resumed = completion(engine->address(), "a letter", 6);
    resumed.headers = { { "Swiftloft-Resume-From", "4" } };
    CHECK(textOf(callJson(resumed)) == standin::answerText(4, 6, standin::promptHash("a letter")));
}

TEST_CASE("Engine stand-in: a caller that goes away frees its place")
{
    auto engine = startStandin("engine", { "--batch", "1" });
    auto abandoned = completion(engine->address(), "long", 50'000);
    abandoned.allowed = milliseconds(100);
    CHECK(call(abandoned).end == replay::ExchangeEnd::TimedOut);
    CHECK(textOf(callJson(completion(engine->address(), "short", 1))) == standin::answerText(0, 1, standin::promptHash("short")));
    CHECK(outcomeOfRun(engine->address(), 0) == "cancelled");
}

TEST_CASE("Engine stand-in: the run log outlives a crash")
{
    TemporaryFolder folder;
    auto file = folder.path() + "/runs";
    auto engine = startStandin("engine", { "--crash-marker", "poison", "--run-log", file });
    CHECK(call(completion(engine->address(), "a poison prompt", 4)).end == replay::ExchangeEnd::Cut);
    CHECK(engine->waitForExit(Clock::now() + patience) == 1);
    auto next = startStandin("engine", { "--run-log", file });
    CHECK(outcomeOfRun(next->address(), 0) == "lost");
}

TEST_CASE("Engine stand-in: an order with an old fencing number is refused, unless the engine does not check")
{
    auto checksFencing = GENERATE(true, false);
    auto engine = startStandin("engine", { "--check-fencing", checksFencing ? "yes" : "no" });
    auto order = [&](int fencing) { return call({ engine->address(), "POST", "/orders", fmt::format(R"({{"fencing":{}}})", fencing) }).head.result_int(); };
    CHECK(order(5) == 200);
    CHECK(order(4) == (checksFencing ? 409 : 200));
}

TEST_CASE("Plain stand-in: counts how often a request ran")
{
    auto plain = startStandin("plain");
    HttpCall write { plain->address(), "POST", "/slots/7", "book", { { "Idempotency-Key", "k" } } };
    CHECK(callJson(write).at("runs").to_number<int>() == 1);
    CHECK(callJson(write).at("runs").to_number<int>() == 2);
}

TEST_CASE("ChildProcess: a paused process answers nothing and goes on when it is resumed")
{
    auto engine = startStandin("engine");
    engine->pause();
    HttpCall load { engine->address(), "GET", "/load" };
    load.allowed = milliseconds(100);
    CHECK(call(load).end == replay::ExchangeEnd::TimedOut);
    engine->resume();
    CHECK(callJson({ engine->address(), "GET", "/load" }).at("running").to_number<int>() == 0);
    engine->kill();
    CHECK_FALSE(engine->isRunning());
}

TEST_CASE("Relay: an open connection goes silent while new ones work, and a cut one breaks")
{
    auto engine = startStandin("engine");
    Relay relay(engine->address());
    auto openLong = [&] {
        auto request = completion(relay.address(), "long", 50'000, true);
        request.allowed = milliseconds(1'000);
        return call(request);
    };
    auto silent = std::async(std::launch::async, openLong);
    REQUIRE(waitUntil(Clock::now() + patience, [&] { return relay.openConnections() == 1; }));
    relay.silenceConnections();
    CHECK(callJson({ relay.address(), "GET", "/load" }).is_object());
    CHECK(silent.get().end == replay::ExchangeEnd::TimedOut);

    auto cut = std::async(std::launch::async, openLong);
    REQUIRE(waitUntil(Clock::now() + patience, [&] { return relay.acceptedConnections() == 3; }));
    relay.cutConnections();
    CHECK(cut.get().end == replay::ExchangeEnd::Cut);
}
