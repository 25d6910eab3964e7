#include "src/gateway/peer-loads.h"

#include <catch2/catch.hpp>

#include <random>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

const TimePoint start { seconds(100) };

} // namespace

// The incrementally updated sums must equal a full recomputation, for reports that arrive late, twice or not at all.
TEST_CASE("PeerLoads: the sums are those of the newest report of each entry that is not silent")
{
    std::mt19937 random(3);
    auto draw = [&](int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); };
    struct Report {
        std::uint64_t sequence { 0 };
        TimePoint receivedAt;
        std::map<std::uint64_t, Load> loads;
    };
    std::map<std::uint64_t, Report> reports;
    PeerLoads loads;
    auto now = start;
    for (int n = 0; n < 5000; ++n) {
        now += milliseconds(draw(0, 60));
        auto entry = static_cast<std::uint64_t>(draw(1, 12));
        LoadUpdate update { Incarnation(entry), static_cast<std::uint64_t>(draw(std::max(1, n - 3), n + 1)), {} };
        for (int server = 0; server < draw(0, 4); ++server)
            update.servers.push_back({ ServerHash(static_cast<std::uint64_t>(draw(1, 3) + 10 * server)), static_cast<std::uint16_t>(draw(0, 3)), Tokens(draw(0, 900)) });
        loads.onUpdate(now, update);
        std::erase_if(reports, [&](auto& it) { return it.second.receivedAt + PeerLoads::reportLifetime <= now; });
        auto& report = reports[entry];
        if (update.sequence > report.sequence) {
            report = { update.sequence, now, {} };
            for (auto& it : update.servers)
                report.loads[it.server.value()] = { it.running, it.promptTokens.value() };
        }
        for (std::uint64_t server = 1; server < 40; ++server) {
            Load expected;
            for (auto& [incarnation, it] : reports) {
                auto load = it.loads.find(server);
                if (load == it.loads.end())
                    continue;
                expected.running += load->second.running;
                expected.promptTokens += load->second.promptTokens;
            }
            auto known = loads.at(now, ServerHash(server));
            if (known.running != expected.running || known.promptTokens != expected.promptTokens)
                FAIL("server " << server << " after " << n << ": " << known.running << " requests, expected " << expected.running << ", " << known.promptTokens << " tokens, expected " << expected.promptTokens);
        }
    }
}

TEST_CASE("PeerLoads: an entry that falls silent has no requests")
{
    PeerLoads loads;
    loads.onUpdate(start, { Incarnation(5), 1, { { ServerHash(7), 3, Tokens(40) } } });
    CHECK(loads.at(start + PeerLoads::reportLifetime - milliseconds(1), ServerHash(7)).running == 3);
    CHECK(loads.at(start + PeerLoads::reportLifetime, ServerHash(7)).running == 0);
}
