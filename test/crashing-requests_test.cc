#include "test/gateway-fleet.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
namespace gateway = swiftloft::gateway;
using swiftloft::test::FleetOptions;
using swiftloft::test::GatewayFleet;

namespace {

constexpr std::size_t crashingBody { 1 };

/// Draws the time from the end of a request until its client sends it again.
std::function<milliseconds()> pauses(std::uint64_t seed, int least, int most)
{
    return [random = std::mt19937_64(seed), draw = std::uniform_int_distribution<int>(least, most)]() mutable { return milliseconds(draw(random)); };
}

} // namespace

// Guards against this failure: a request crashes each server that begins to run it, comes again, and is sent to one
// server after the other.
TEST_CASE("Crashing requests: a request that has crashed three servers is no longer sent to servers")
{
    FleetOptions options;
    options.isRankGroup = GENERATE(false, true);
    options.seed = GENERATE(range(1U, 11U));
    GatewayFleet fleet(options);
    fleet.at(seconds(5), [&] { fleet.sendCrashingRequest(crashingBody, pauses(options.seed, 200, 4500)); });
    fleet.runUntil(seconds(60));
    INFO("seed " << options.seed << ", rank group " << options.isRankGroup);
    CHECK(fleet.violation() == "");
}

// Guards against this failure: the entries that are restarted, cut off or frozen while a request crashes servers, and
// those that miss datagrams, send it to servers again.
TEST_CASE("Crashing requests: a request that has crashed three servers stays refused while entries fail")
{
    FleetOptions options;
    options.isRankGroup = GENERATE(false, true);
    options.seed = GENERATE(range(1U, 21U));
    options.loss = 0.3;
    GatewayFleet fleet(options);
    fleet.at(seconds(5), [&] { fleet.sendCrashingRequest(crashingBody, pauses(options.seed, 200, 4500)); });
    auto entry = static_cast<int>(options.seed % 7);
    fleet.at(seconds(12), [&] { fleet.disconnectEntry(entry); });
    fleet.at(seconds(14), [&] { fleet.restartEntry((entry + 1) % 7); });
    fleet.at(seconds(16), [&] { fleet.freezeEntry((entry + 2) % 7, milliseconds(3600)); });
    fleet.at(seconds(20), [&] { fleet.reconnectEntry(entry); });
    fleet.at(seconds(25), [&] { fleet.restartEntry((entry + 3) % 7); });
    fleet.at(seconds(26), [&] { fleet.killEntry((entry + 4) % 7); });
    fleet.runUntil(seconds(60));
    INFO("seed " << options.seed << ", rank group " << options.isRankGroup);
    CHECK(fleet.violation() == "");
}

// Guards against this failure: servers crash for reasons of their own, one after the other or together, and requests
// that were in flight are refused as the cause.
TEST_CASE("Crashing requests: no request is refused because servers crash under it for other reasons")
{
    FleetOptions options;
    options.isRankGroup = GENERATE(false, true);
    options.seed = GENERATE(range(1U, 31U));
    options.clientRepeats = 3;
    GatewayFleet fleet(options);
    std::mt19937_64 random(options.seed);
    for (int n = 0; n < 20; ++n) {
        auto server = std::uniform_int_distribution<int>(0, 11)(random);
        fleet.at(milliseconds(5000 + 2500 * n), [&fleet, server] { fleet.crashServer(server, milliseconds(2000)); });
    }
    fleet.at(seconds(56), [&] {
        for (int server = 0; server < 6; ++server)
            fleet.crashServer(server, milliseconds(2000));
    });
    fleet.runUntil(seconds(65));
    auto refused = [&](gateway::RefusalReason reason) { return std::count_if(fleet.refusals().begin(), fleet.refusals().end(), [&](auto& it) { return it.reason == reason; }); };
    INFO("seed " << options.seed << ", rank group " << options.isRankGroup);
    CHECK(refused(gateway::RefusalReason::Quarantined) == 0);
    CHECK(refused(gateway::RefusalReason::SuspectRunning) == 0);
}

// Guards against this failure: one body is sent by many clients, copies of it are in flight at every crash, and all of
// them are refused.
TEST_CASE("Crashing requests: a popular body is not refused because servers crash")
{
    FleetOptions options;
    options.seed = GENERATE(range(1U, 11U));
    options.popularShare = 0.5;
    GatewayFleet fleet(options);
    for (int n = 0; n < 12; ++n)
        fleet.at(seconds(5 + 3 * n), [&fleet, n] { fleet.crashServer(n, milliseconds(2000)); });
    fleet.runUntil(seconds(50));
    INFO("seed " << options.seed);
    auto isQuarantined = [](auto& it) { return it.reason == gateway::RefusalReason::Quarantined; };
    CHECK(std::none_of(fleet.refusals().begin(), fleet.refusals().end(), isQuarantined));
    CHECK(fleet.served() >= fleet.requested() * 95 / 100);
}

// Guards against this failure: a request that can't be served is held in a queue.
TEST_CASE("Crashing requests: a quarantined request is refused at once and without a time to return")
{
    FleetOptions options;
    options.seed = GENERATE(range(1U, 6U));
    GatewayFleet fleet(options);
    fleet.at(seconds(5), [&] { fleet.sendCrashingRequest(crashingBody, pauses(options.seed, 200, 1000)); });
    fleet.runUntil(seconds(60));
    int n = 0;
    for (auto& it : fleet.refusals()) {
        if (it.reason != gateway::RefusalReason::Quarantined)
            continue;
        CHECK(it.isOfCrashing);
        CHECK(it.retryAfter == milliseconds(0));
        n += it.queuedFor == milliseconds(0) ? 1 : 0;
    }
    CHECK(n > 20);
}
