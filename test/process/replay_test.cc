#include "test/process/fleet.h"

#include "src/replay/generator.h"
#include "src/replay/judge.h"
#include "src/replay/report.h"
#include "src/replay/runner.h"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace swiftloft;
using namespace swiftloft::process_test;
using namespace swiftloft::replay;

// Replays of a firm's recorded mix against a small fleet while something fails. Whatever fails, callers get whole answers
// or honest refusals; a fault comes after a number of answers, not at a time.

namespace {

struct Fault {
    /// Since the fault before.
    std::size_t afterAnswers;
    /// False when there was nothing to harm yet: it is tried again at the next answer.
    std::function<bool()> inject;
};

/// A fault that strikes at once.
Fault faultAfter(std::size_t answers, std::function<void()> inject)
{
    return { answers, [inject = std::move(inject)] {
                inject();
                return true;
            } };
}

/// The firm's mix for the fleet's services; `expected` holds for each request.
Trace mixOf(Firm firm, ExpectedOutcome expected)
{
    auto trace = generate({ firm, 5, seconds(4), 25 });
    for (auto& request : trace.requests) {
        request.service = ServiceName(request.kind == BackendKind::Model ? "model" : "plain");
        request.organisation = OrganisationName("caller");
        request.expected = expected;
    }
    return trace;
}

RunCounts countRuns(Fleet& fleet)
{
    std::vector<std::string> addresses;
    for (auto& server : fleet.servers())
        addresses.push_back(server.backendAddress());
    boost::asio::io_context io(1);
    HttpClient client(io);
    RunCounts counts;
    boost::asio::co_spawn(io, fetchRunCounts(client, addresses), [&](const std::exception_ptr&, RunCounts found) { counts = std::move(found); });
    io.run();
    return counts;
}

/// What a replay must reach, as shares of all requests.
struct LeastShares {
    double answered;
    /// Answered, or refused because an agent that has just started can't know whether a client's key has run.
    double answeredOrForgotten { 0 };
};

bool isForgotten(const Record& record)
{
    return record.fate == Fate::Refused && record.refusal.name == "home-unreachable";
}

/// Replays `trace` and checks its outcomes and that the shares are reached.
void checkReplay(Fleet& fleet, const Trace& trace, std::vector<Fault> faults, LeastShares least, int mostResends = SenderOptions().mostResends)
{
    RunnerOptions options;
    options.callers = 6;
    options.sender.mostResends = mostResends;
    for (std::size_t n = 0; n < fleet.entryCount(); ++n)
        options.sender.seeds.push_back(fleet.entry(n).address());
    boost::asio::io_context io(1);
    Runner runner(io, options);
    std::size_t answers = 0;
    auto nextFault = faults.begin();
    std::string notAnswered;
    std::size_t answeredOrForgotten = 0;
    runner.onRecord = [&](const Record& record) {
        if (record.fate != Fate::Answered)
            notAnswered += fmt::format("sent {} times: {}", record.sends, tableRow(record));
        answeredOrForgotten += record.fate == Fate::Answered || isForgotten(record);
        if (nextFault != faults.end() && ++answers >= nextFault->afterAnswers && nextFault->inject()) {
            answers = 0;
            ++nextFault;
        }
    };
    auto records = runner.run([&, n = std::size_t(0)]() mutable -> std::optional<TraceRequest> {
        return n == trace.requests.size() ? std::nullopt : std::optional(trace.requests[n++]);
    });
    auto counts = countRuns(fleet);
    auto summary = summarize(records, counts);
    INFO(summaryText(summary) << notAnswered);
    CHECK(nextFault == faults.end());
    CHECK(counts.unreachable.empty());
    for (auto& failure : judge(summary, withDefaults({ { Measure::AnsweredShare, Bound::AtLeast, least.answered } })))
        FAIL_CHECK(failure.what);
    CHECK(static_cast<double>(answeredOrForgotten) >= least.answeredOrForgotten * static_cast<double>(trace.requests.size()));
}

/// With an agent replaced: it refuses clients' own keys for two minutes, so how many requests are answered depends on how
/// many of them come after it. All others must be answered, but for those of six callers that the fault itself met.
constexpr LeastShares agentReplaced { 0.5, 0.9 };

Fleet::Options smallFleet()
{
    Fleet::Options options;
    options.entries = 3;
    options.engines = 4;
    options.plainServers = 2;
    return options;
}

/// The engines take long to begin an answer, so that what a fault meets has seldom begun.
Fleet::Options slowFleet()
{
    auto options = smallFleet();
    options.engineOptions = { "--prompt-ms-per-1k", "1000" };
    return options;
}

/// An engine that runs a request which may not repeat; null when there is none now.
Fleet::Server* engineWithOrder(Fleet& fleet, const Trace& trace)
{
    auto isOrder = [&](const std::string& key) {
        return std::any_of(trace.requests.begin(), trace.requests.end(), [&](auto& it) { return it.key.value() == key && !it.isRepeatable; });
    };
    for (auto& server : fleet.servers()) {
        if (server.service != "model" || !server.backend->isRunning())
            continue;
        auto keys = fleet.keysInProgress(server);
        if (std::any_of(keys.begin(), keys.end(), isOrder))
            return &server;
    }
    return nullptr;
}

} // namespace

TEST_CASE("Replay: a healthy fleet answers every request of both firms")
{
    auto firm = GENERATE(Firm::ViaHe, Firm::RasoiRahdari);
    Fleet fleet(smallFleet());
    REQUIRE(fleet.waitUntilReady());
    checkReplay(fleet, mixOf(firm, ExpectedOutcome::Answered), {}, { 1 });
}

// Two entries are killed while callers hold their addresses. Answers in progress there are cut; their callers send them again,
// under the same key, to the next address. A redraft that was running must not run a second time.
TEST_CASE("Replay: an entry is killed and callers go on at another")
{
    Fleet fleet(slowFleet());
    REQUIRE(fleet.waitUntilReady());
    auto trace = mixOf(Firm::RasoiRahdari, ExpectedOutcome::Honest);
    auto killAt = [&](std::size_t entry) {
        return [&, entry] {
            if (!engineWithOrder(fleet, trace))
                return false;
            fleet.entry(entry).process->kill();
            return true;
        };
    };
    // A request that was cut at the first entry may be cut again at the second.
    constexpr int mostResends = 2;
    checkReplay(fleet, trace, { { 20, killAt(0) }, { 20, killAt(1) } }, { 0.9 }, mostResends);
}

// An engine dies with requests in its batch and comes back empty. What may be repeated runs elsewhere if nothing of it
// was sent; the rest is refused as "may have run" or visibly cut, and never runs twice.
TEST_CASE("Replay: an engine is killed and comes back")
{
    Fleet fleet(slowFleet());
    REQUIRE(fleet.waitUntilReady());
    auto trace = mixOf(Firm::RasoiRahdari, ExpectedOutcome::Honest);
    Fleet::Server* victim = nullptr;
    auto kill = [&] {
        victim = engineWithOrder(fleet, trace);
        if (victim)
            victim->backend->kill();
        return victim != nullptr;
    };
    auto restart = [&] { fleet.startBackend(*victim); };
    checkReplay(fleet, trace, { { 15, kill }, faultAfter(15, restart), { 10, kill }, faultAfter(10, restart) }, { 0.8 });
}

// An agent dies with an order while its engine goes on, and another agent starts in the slot at once. The new one knows nothing of the keys
// the old one had started, so nothing under those keys may start again.
TEST_CASE("Replay: an agent is killed and another starts in its slot")
{
    Fleet fleet(slowFleet());
    REQUIRE(fleet.waitUntilReady());
    auto trace = mixOf(Firm::RasoiRahdari, ExpectedOutcome::Honest);
    auto replace = [&] {
        auto victim = engineWithOrder(fleet, trace);
        if (!victim)
            return false;
        victim->agent->kill();
        fleet.startAgent(*victim);
        return true;
    };
    checkReplay(fleet, trace, { { 20, replace } }, agentReplaced);
}

// The same, and the slot stands empty for a while before the new agent starts.
TEST_CASE("Replay: an agent is killed and its slot stands empty for a while")
{
    Fleet fleet(smallFleet());
    REQUIRE(fleet.waitUntilReady());
    auto kill = [&] { fleet.engine(1).agent->kill(); };
    auto restart = [&] { fleet.startAgent(fleet.engine(1)); };
    checkReplay(fleet, mixOf(Firm::RasoiRahdari, ExpectedOutcome::Honest), { faultAfter(30, kill), faultAfter(20, restart) }, agentReplaced);
}

// Something between entries and agents forgets its connections: they stay open and carry nothing more, while new ones
// work. Callers see slower answers; streams go on where they stopped.
TEST_CASE("Replay: the connections to the agents go silent")
{
    auto options = smallFleet();
    options.hasRelays = true;
    Fleet fleet(options);
    REQUIRE(fleet.waitUntilReady());
    auto silence = [&] {
        for (auto& server : fleet.servers())
            server.relay->silenceConnections();
    };
    checkReplay(fleet, mixOf(Firm::ViaHe, ExpectedOutcome::Honest), { faultAfter(30, silence) }, { 0.95 });
}

// Two at once: the platform stops answering, and then an entry and an engine die. Nobody can learn of it from the
// instance list; what callers are told must still be true.
TEST_CASE("Replay: the platform is down while an entry and an engine die")
{
    Fleet fleet(smallFleet());
    REQUIRE(fleet.waitUntilReady());
    auto platformDown = [&] { callJson({ fleet.platformAddress(), "POST", "/admin/fault", R"({"kind":"down"})" }); };
    auto killBoth = [&] {
        fleet.entry(1).process->kill();
        fleet.engine(2).backend->kill();
    };
    auto restart = [&] { fleet.startBackend(fleet.engine(2)); };
    checkReplay(fleet, mixOf(Firm::ViaHe, ExpectedOutcome::Honest), { faultAfter(20, platformDown), faultAfter(15, killBoth), faultAfter(35, restart) }, { 0.8 });
}

// An engine dies with several requests at once while the platform is down. All of them are suspects then, and each runs
// alone for a while; their neighbours wait their turn and are not refused.
TEST_CASE("Replay: an engine with several requests dies while the platform is down")
{
    Fleet fleet(slowFleet());
    REQUIRE(fleet.waitUntilReady());
    auto platformDown = [&] { callJson({ fleet.platformAddress(), "POST", "/admin/fault", R"({"kind":"down"})" }); };
    auto killBusy = [&] {
        constexpr std::size_t several = 2;
        for (auto& server : fleet.servers()) {
            if (server.service != "model" || fleet.keysInProgress(server).size() < several)
                continue;
            server.backend->kill();
            fleet.startBackend(server);
            return true;
        }
        return false;
    };
    checkReplay(fleet, mixOf(Firm::ViaHe, ExpectedOutcome::Honest), { faultAfter(15, platformDown), { 5, killBusy } }, { 0.95 });
}
