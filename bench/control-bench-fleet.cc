#include "bench/control-bench.h"
#include "test/fake-fleet.h"

#include <swiftloft/membership/address-answer.h>
#include <swiftloft/membership/subset.h>

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <memory>

namespace swiftloft::bench {

namespace {

using membership::Health;
using test::FakeFleet;
using test::FakeFleetOptions;

constexpr std::size_t dataCentres = 9;
constexpr std::size_t regions = 3;
constexpr std::size_t entryShare = 9; ///< One entry in so many nodes, as 670 to 5,500.
constexpr std::size_t headerBytes = 28; ///< Of IP and UDP.

FakeFleetOptions fleetOptions(const ControlBenchOptions& options)
{
    FakeFleetOptions fleet;
    fleet.dataCentres = dataCentres;
    fleet.regions = regions;
    auto perDataCentre = std::max<std::size_t>(2, options.nodes / dataCentres);
    fleet.entriesPerDataCentre = std::max<std::size_t>(1, perDataCentre / entryShare);
    fleet.agentsPerDataCentre = perDataCentre - fleet.entriesPerDataCentre;
    fleet.seed = options.seed;
    fleet.measuresBytes = true;
    return fleet;
}

struct Totals {
    std::uint64_t gossip { 0 };
    std::uint64_t pulls { 0 };
    std::uint64_t most { 0 }; ///< Of any node, all bytes both ways.
};

std::uint64_t bytesOf(const test::FakeNode& node)
{
    return node.sentBytes + node.receivedBytes + headerBytes * 2 * node.sentDatagrams + node.pulledBytes + node.servedBytes;
}

/// Bytes both ways since `before`, summed over the fleet.
Totals totals(FakeFleet& fleet, const std::vector<std::uint64_t>& before)
{
    Totals sum;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        auto& node = fleet.node(i);
        sum.gossip += node.sentBytes + node.receivedBytes + headerBytes * 2 * node.sentDatagrams;
        sum.pulls += node.pulledBytes + node.servedBytes;
        sum.most = std::max(sum.most, bytesOf(node) - (before.empty() ? 0 : before[i]));
    }
    return sum;
}

std::vector<std::uint64_t> snapshot(FakeFleet& fleet)
{
    std::vector<std::uint64_t> bytes;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        bytes.push_back(bytesOf(fleet.node(i)));
    return bytes;
}

/// Small and large blocks in use.
std::size_t heapBytes()
{
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double secondsOf(Clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

bool startAll(FakeFleet& fleet)
{
    fleet.startAll();
    auto isReady = fleet.runUntil(seconds(60), [&] { return fleet.allReady(); });
    if (!isReady)
        fmt::print("not all nodes became ready within 60 s\n");
    return isReady.has_value();
}

} // namespace

void benchFleet(const ControlBenchOptions& options)
{
    FakeFleet fleet(fleetOptions(options));
    auto tree = makeTree(options.treeBytes, options.seed);
    fleet.platform.publish(spread::Topic::Settings, tree);
    if (!startAll(fleet))
        return;
    fleet.run(seconds(30));

    auto n = static_cast<double>(fleet.size());
    auto time = static_cast<double>(options.seconds);
    auto before = snapshot(fleet);
    auto sumBefore = totals(fleet, {});
    auto stepsBefore = fleet.stepTime();
    fleet.platform.calls.clear();
    fleet.run(seconds(options.seconds));
    auto sum = totals(fleet, before);
    auto steady = static_cast<double>(sum.gossip - sumBefore.gossip + sum.pulls - sumBefore.pulls) / n / time;
    auto processor = secondsOf(fleet.stepTime() - stepsBefore) / n / time;
    std::size_t calls = 0;
    for (auto& [second, count] : fleet.platform.calls)
        calls += count;
    fmt::print("mode=fleet nodes={} steady_bytes_s={:.0f} most_bytes_s={:.0f} reducer_core_percent={:.4f} platform_calls_s={:.2f}", fleet.size(), steady,
        static_cast<double>(sum.most) / time, 100 * processor, static_cast<double>(calls) / time);

    milliseconds longest { 0 };
    milliseconds summed { 0 };
    before = snapshot(fleet);
    auto changed = totals(fleet, {});
    for (std::size_t i = 0; i < options.changes; ++i) {
        tree = editTree(std::move(tree), i + 7);
        fleet.platform.publish(spread::Topic::Settings, tree);
        auto revision = fleet.platform.documents[0].revision();
        auto took = fleet.runUntil(seconds(30), [&] { return fleet.allHold(spread::Topic::Settings, revision); });
        longest = std::max(longest, took.value_or(seconds(30)));
        summed += took.value_or(seconds(30));
        fleet.run(milliseconds(500));
    }
    auto after = totals(fleet, before);
    auto pulled = static_cast<double>(after.pulls - changed.pulls) / n / static_cast<double>(options.changes);
    fmt::print(" tree_bytes={} changes={} in_force_ms_mean={} in_force_ms_most={} pull_bytes_a_change={:.0f} most_bytes_a_change={:.0f}\n", tree.size(),
        options.changes, summed.count() / static_cast<std::int64_t>(options.changes), longest.count(), pulled, static_cast<double>(after.most) / static_cast<double>(options.changes));
}

void benchLoss(const ControlBenchOptions& options)
{
    FakeFleet fleet(fleetOptions(options));
    if (!startAll(fleet))
        return;
    fleet.run(seconds(30));
    auto perDataCentre = fleet.size() / dataCentres;
    for (std::size_t i = 0; i < perDataCentre; ++i)
        fleet.kill(i);
    auto before = snapshot(fleet);
    auto end = 3 * perDataCentre; // the lost data centre's region
    auto isKnown = [&] {
        for (std::size_t i = perDataCentre; i < end; ++i) {
            for (std::size_t k = 0; k < perDataCentre; ++k) {
                if (fleet.control(i).view()->find(fleet.node(k).row.id)->health != Health::Dead)
                    return false;
            }
        }
        return true;
    };
    auto took = fleet.runUntil(seconds(300), isKnown);
    auto sum = totals(fleet, before);
    auto time = secondsOf(took.value_or(seconds(300)));
    fmt::print("mode=loss nodes={} lost={} known_dead_in_region_s={:.1f} most_bytes_s={:.0f} false_deaths={}\n", fleet.size(), perDataCentre,
        time, static_cast<double>(sum.most) / time, fleet.sumCounters().deathsRefuted);

    auto isFirst = [](const test::FakeNode& it) { return it.row.dataCentre.value() < "dc3"; };
    fleet.drops = [&](auto& from, auto& to) { return isFirst(from) != isFirst(to); };
    auto raised = fleet.sumCounters().suspicionsRaised;
    before = snapshot(fleet);
    constexpr std::size_t parted = 300;
    fleet.run(seconds(parted));
    sum = totals(fleet, before);
    auto raisedMeanwhile = fleet.sumCounters().suspicionsRaised - raised;
    fleet.drops = nullptr;
    auto last = fleet.size() - 1;
    auto healed = fleet.runUntil(seconds(300), [&] { return fleet.countHealth(last, Health::Dead) == 0; });
    fmt::print("mode=loss nodes={} regions_parted_s={} suspicions_raised={} most_bytes_s={:.0f} healed_s={:.1f}\n", fleet.size(), parted, raisedMeanwhile,
        static_cast<double>(sum.most) / parted, secondsOf(healed.value_or(seconds(300))));
}

void benchMember(const ControlBenchOptions& options)
{
    FakeFleet source(fleetOptions(options));
    auto json = source.listJson();
    auto tree = makeTree(options.treeBytes, options.seed);
    auto heapBefore = heapBytes();
    auto topology = membership::Topology {};
    for (std::size_t i = 0; i < dataCentres; ++i)
        topology.regions[DataCentreName(fmt::format("dc{}", i))] = RegionName(fmt::format("region{}", i * regions / dataCentres));
    spread::Control control(source.node(0).row, membership::OrderedIncarnation { 1, Incarnation(1) }, topology, {}, nullptr, 1);
    auto now = TimePoint(std::chrono::hours(1));
    spread::ControlEffects effects;
    auto give = [&](spread::Topic topic, std::uint64_t revision, const std::string& body) {
        spread::PlatformAnswer answer { spread::PlatformOutcome::Body, Revision(revision), body, "" };
        auto begin = Clock::now();
        control.step(spread::PlatformReplied { topic, answer, now }, effects);
        effects.clear();
        return 1e3 * secondsOf(Clock::now() - begin);
    };
    control.step(membership::Tick { now }, effects);
    auto firstList = give(spread::Topic::Instances, 1, json);
    auto heapOfList = heapBytes() - heapBefore;
    auto firstTree = give(spread::Topic::Settings, 1, tree);
    auto heap = heapBytes() - heapBefore;
    auto secondList = give(spread::Topic::Instances, 2, json + " ");
    auto secondTree = give(spread::Topic::Settings, 2, editTree(tree, 1));

    auto view = control.view();
    constexpr int answers = 500;
    auto begin = Clock::now();
    std::size_t named = 0;
    for (std::uint64_t i = 0; i < answers; ++i)
        named += membership::makeAddressAnswer(*view, DataCentreName("dc1"), ServiceName("service1"), i, now, {}).addresses.size();
    auto answer = 1e6 * secondsOf(Clock::now() - begin) / answers;
    begin = Clock::now();
    auto connections = membership::agentsFor(*view, source.node(0).row, {}).size();
    auto subset = 1e3 * secondsOf(Clock::now() - begin);

    constexpr int rounds = 20'000;
    membership::Random random(1);
    begin = Clock::now();
    for (int i = 0; i < rounds; ++i) {
        now += milliseconds(100);
        control.step(membership::Tick { now }, effects);
        effects.clear();
    }
    auto tick = 1e6 * secondsOf(Clock::now() - begin) / rounds;
    begin = Clock::now();
    for (int i = 0; i < rounds; ++i) {
        auto& peer = source.node(1 + random.below(source.size() - 1)).row;
        membership::Message ping;
        ping.kind = membership::MessageKind::Ping;
        ping.from = membership::keyOf(peer.id);
        ping.incarnation = membership::OrderedIncarnation { 1, Incarnation(2) };
        ping.target = membership::keyOf(source.node(0).row.id);
        auto bytes = membership::encode(ping);
        auto decoded = membership::decode(bytes);
        control.step(spread::DatagramArrived { peer.peer, *decoded, now }, effects);
        for (auto& it : effects) {
            if (auto* send = std::get_if<membership::SendMessage>(&it))
                membership::encode(send->message);
        }
        effects.clear();
    }
    auto ping = 1e6 * secondsOf(Clock::now() - begin) / rounds;
    fmt::print("mode=member members={} list_bytes={} heap_bytes={} heap_bytes_a_member={:.0f} heap_bytes_of_tree={} tick_us={:.2f} ping_us={:.2f} list_ms={:.2f} list_again_ms={:.2f} tree_ms={:.2f} tree_again_ms={:.2f} answer_us={:.1f} answer_addresses={} subset_ms={:.2f} subset_agents={}\n",
        source.size(), json.size(), heap, static_cast<double>(heapOfList) / static_cast<double>(source.size()), heap - heapOfList, tick, ping, firstList, secondList, firstTree, secondTree, answer, named / answers, subset, connections);
}

} // namespace swiftloft::bench
