#include "bench/expertmap-svg.h"
#include "src/expertmap/replay/replay.h"
#include "src/expertmap/replay/stragglers.h"
#include "src/expertmap/wire.h"

#include <swiftloft/expertmap/coordinator.h>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace swiftloft;
using namespace swiftloft::expertmap;
using namespace swiftloft::expertmap::replay;

namespace {

constexpr std::uint32_t dayIntervals = 288;

struct Arguments {
    std::uint64_t seed { 1 };
    std::uint32_t intervals { dayIntervals };
    std::string svgFolder;
    std::string traceFile;
    std::string writeFolder;
    std::uint64_t seeds { 1 };
    std::uint32_t layers { 4 };
    bool isTimed { true };
};

std::vector<MapShape> shapes(const Arguments& arguments)
{
    return { { 64, arguments.layers, 64, 2 }, { 4, arguments.layers, 16, 5 } };
}

void printFigures(const Trace& trace, const std::vector<ReplayResult>& runs)
{
    auto& fixed = runs[0];
    auto& repack = runs[1];
    fmt::print("{} (seed {}, {} layers)\n", trace.name, trace.seed, trace.shape.layers);
    fmt::print("  {:8} {:>8} {:>8} {:>9} {:>10} {:>9} {:>8} {:>9} {:>7} {:>11} {:>9}\n", "policy", "skew p50", "skew p99", "/ bound",
        "GB moved", "experts", "changes", "disturbed", "quiet", "p99/repack", "% bytes");
    for (auto& it : runs) {
        double bytes = repack.expertsMoved ? 100.0 * static_cast<double>(it.expertsMoved) / static_cast<double>(repack.expertsMoved) : 0;
        fmt::print("  {:8} {:8.3f} {:8.3f} {:9.3f} {:10.1f} {:9} {:8} {:9} {:7} {:11.3f} {:9.2f}\n", it.policy, it.skewP50, it.skewP99, it.ratioToLowerBound,
            static_cast<double>(it.bytesMoved.value()) / 1e9, it.expertsMoved, it.mapChanges, it.stepsDisturbed, it.movedInQuietHours,
            it.skewP99 / repack.skewP99, bytes);
    }
    for (auto& it : runs) {
        // Without a difference between static and repack, the share of the gap is undefined.
        if (it.policy == "rasoi" && fixed.skewP99 > 1.02 * repack.skewP99)
            fmt::print("  rasoi closes {:.0f}% of the gap between static and repack at p99\n", 100 * (fixed.skewP99 - it.skewP99) / (fixed.skewP99 - repack.skewP99));
    }
}

void replayAll(const Trace& trace, const Arguments& arguments)
{
    auto initial = ExpertMap::contiguous(trace.shape).value();
    ReplayOptions options;
    std::vector<ReplayResult> runs;
    for (auto& policy : allPolicies(initial))
        runs.push_back(replay::replay(trace, initial, policy, options));
    printFigures(trace, runs);
    if (!arguments.svgFolder.empty())
        std::ofstream(std::filesystem::path(arguments.svgFolder) / (trace.name + ".svg")) << bench::plot(trace, runs, options.bytesPerExpert);
}

void printDetection(const DetectionResult& it)
{
    fmt::print("  {:20} factor {:.2f}, persistence {:2}: precision {:.3f} recall {:.3f} F1 {:.3f} found {:2}/{:2} steps to detect {:6.1f}\n", toString(it.setting.kind),
        it.setting.factor, it.setting.persistence, it.precision(), it.recall(), it.f1(), it.slowPeriodsDetected, it.slowPeriods, it.stepsToDetect);
}

/// Compares the methods: each with the setting of the paper or of the detector, then with the best setting on a
/// separate training trace.
void compareDetectors(const MapShape& shape, const Arguments& arguments)
{
    constexpr std::uint32_t stepsPerInterval = 32;
    constexpr std::uint64_t trainingSeed = 1'000'003;
    auto training = generateTrace(TraceKind::SlowRanks, shape, arguments.intervals, trainingSeed);
    std::vector<DetectorSetting> settings { { DetectorKind::ParetoStepTime, 1.5, 1 }, { DetectorKind::ParetoPerToken, 1.5, 1 }, { DetectorKind::Threshold, 1.12, 3 } };
    for (auto kind : { DetectorKind::ParetoStepTime, DetectorKind::ParetoPerToken, DetectorKind::Threshold })
        settings.push_back(tune(kind, training, stepsPerInterval));
    for (std::uint64_t seed = arguments.seed; seed < arguments.seed + 3; ++seed) {
        auto trace = generateTrace(TraceKind::SlowRanks, shape, arguments.intervals, seed);
        fmt::print("{} (seed {}): detection of slow ranks, by rank and step\n", trace.name, seed);
        for (auto& setting : settings)
            printDetection(detect(trace, setting, stepsPerInterval));
    }
}

/// Measures the time of a decision for demand that the planner has not adapted to yet, which is the most expensive
/// case.
void timeDecision(const MapShape& shape)
{
    auto trace = generateTrace(TraceKind::Flip, shape, 16, 1);
    auto planner = Planner::create(viaHeOptions(), ExpertMap::contiguous(shape).value()).value();
    for (std::uint32_t t = 0; t < 8; ++t)
        planner.observe(TimePoint(std::chrono::minutes(5 * (t + 1))), trace.loads[t]);
    auto begin = std::chrono::steady_clock::now();
    auto plan = planner.plan(TimePoint(std::chrono::minutes(45)), 600);
    std::chrono::duration<double, std::milli> first = std::chrono::steady_clock::now() - begin;
    int later = 20;
    begin = std::chrono::steady_clock::now();
    for (int n = 0; n < later; ++n)
        planner.plan(TimePoint(std::chrono::minutes(50 + 5 * n)), 600);
    std::chrono::duration<double, std::milli> rest = std::chrono::steady_clock::now() - begin;
    fmt::print("  {:3} ranks {:3} experts {:3} layers: first decision {:7.2f} ms ({} moves), later ones {:6.2f} ms\n", shape.ranks, shape.experts, shape.layers,
        first.count(), plan.moves.size(), rest.count() / later);
}

void timeDecisions()
{
    fmt::print("decision times\n");
    for (std::uint32_t layers : { 15u, 30u, 60u, 120u })
        timeDecision({ 64, layers, 64, 2 });
    for (std::uint32_t ranks : { 8u, 16u, 32u, 128u })
        timeDecision({ ranks, 60, ranks, 2 });
    timeDecision({ 4, 60, 16, 5 });
}

/// Worst value of each target figure over many seeds.
struct WorstCase {
    double viaHeRatio { 0 };
    double viaHeBytes { 0 };
    double rasoiProgress { 1e9 };
    double rasoiBytes { 0 };
    std::uint64_t movedInQuietHours { 0 };
    std::uint64_t viaHeMoved { 0 };
};

WorstCase worstCaseOf(TraceKind kind, const MapShape& shape, const Arguments& arguments)
{
    WorstCase worst;
    auto initial = ExpertMap::contiguous(shape).value();
    for (std::uint64_t seed = arguments.seed; seed < arguments.seed + arguments.seeds; ++seed) {
        auto trace = generateTrace(kind, shape, arguments.intervals, seed);
        std::vector<ReplayResult> runs;
        for (auto& policy : allPolicies(initial))
            runs.push_back(replay::replay(trace, initial, policy, {}));
        auto& fixed = runs[0];
        auto& repack = runs[1];
        auto& viaHe = runs[2];
        auto& rasoi = runs[3];
        auto percentOfRepack = [&](auto& it) { return 100.0 * static_cast<double>(it.expertsMoved) / static_cast<double>(std::max<std::uint64_t>(repack.expertsMoved, 1)); };
        worst.viaHeRatio = std::max(worst.viaHeRatio, viaHe.skewP99 / repack.skewP99);
        worst.viaHeBytes = std::max(worst.viaHeBytes, percentOfRepack(viaHe));
        worst.rasoiBytes = std::max(worst.rasoiBytes, percentOfRepack(rasoi));
        worst.movedInQuietHours = std::max(worst.movedInQuietHours, rasoi.movedInQuietHours);
        worst.viaHeMoved = std::max(worst.viaHeMoved, viaHe.expertsMoved);
        if (fixed.skewP99 > 1.02 * repack.skewP99)
            worst.rasoiProgress = std::min(worst.rasoiProgress, 100 * (fixed.skewP99 - rasoi.skewP99) / (fixed.skewP99 - repack.skewP99));
    }
    return worst;
}

void printGoals(const Arguments& arguments)
{
    fmt::print("worst of {} seeds from {}: via-he p99/repack, % bytes, max experts moved | rasoi % of the gap closed, % bytes, moved in quiet hours\n", arguments.seeds, arguments.seed);
    for (auto& shape : shapes(arguments)) {
        for (auto kind : traceKinds) {
            auto it = worstCaseOf(kind, shape, arguments);
            auto progress = it.rasoiProgress < 1e9 ? fmt::format("{:.0f}", it.rasoiProgress) : "none";
            fmt::print("  {:12} {:2}x{:2} x{}: {:.3f} {:5.2f} {:5} | {:>5} {:5.2f} {}\n", toString(kind), shape.ranks, shape.experts, shape.layers, it.viaHeRatio, it.viaHeBytes,
                it.viaHeMoved, progress, it.rasoiBytes, it.movedInQuietHours);
        }
    }
}

/// Measures the orders and the time of one map change in a group whose ranks carry out each order at once.
void timeCoordinator(std::uint32_t ranks)
{
    constexpr MapVersion first { 1 };
    constexpr MapVersion second { 2 };
    auto coordinator = Coordinator::create({ Incarnation(1), ranks, first, ranks }).value();
    std::vector<EngineStatus> engines(ranks);
    for (std::uint32_t r = 0; r < ranks; ++r)
        engines[r] = { Incarnation(r + 1), true, first, StepNumber(1), std::nullopt, false, { first } };
    TimePoint now;
    std::uint64_t orders = 0;
    std::deque<RankOrder> queue;
    auto enqueueOrders = [&](const coordination::Effects& effects) {
        for (auto& effect : effects) {
            if (auto* sent = std::get_if<coordination::SendOrder>(&effect))
                queue.push_back(sent->order);
        }
    };
    auto answerOrders = [&] {
        while (!queue.empty()) {
            auto order = queue.front();
            queue.pop_front();
            ++orders;
            auto& engine = engines[order.rank.value()];
            if (auto* stage = std::get_if<StageMap>(&order.order))
                engine.staged.push_back(stage->version);
            else if (auto* arm = std::get_if<Arm>(&order.order))
                engine.armed = arm->point;
            else if (auto* go = std::get_if<Go>(&order.order)) {
                engine.current = go->point.version;
                engine.entered = go->point.step;
                engine.armed.reset();
            } else if (auto* drop = std::get_if<DropMaps>(&order.order))
                engine.staged = { drop->keep };
            enqueueOrders(coordinator.apply(now, coordination::ReportReceived { { order.rank, Incarnation(1), order.fence, order.round, engine } }));
        }
    };
    auto runRounds = [&](int rounds) {
        auto begin = std::chrono::steady_clock::now();
        orders = 0;
        for (int n = 0; n < rounds; ++n) {
            now += seconds(2);
            enqueueOrders(coordinator.apply(now, coordination::Ticked {}));
            answerOrders();
        }
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
    };
    runRounds(2);
    double idle = runRounds(20) / static_cast<double>(orders);
    enqueueOrders(coordinator.apply(now, coordination::MapChangeRequested { second }));
    double change = runRounds(4);
    fmt::print("  {:4} ranks: {:.2f} us per idle report, {} orders and {:.0f} us per change (coordinator only)\n", ranks, idle, orders, change);
}

template <typename Schema, typename T>
std::size_t bytesOf(const T& value)
{
    capnp::MallocMessageBuilder message;
    wire::build(message.initRoot<Schema>(), value);
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

void printMessageSizes()
{
    SwitchPoint point { MapVersion(2), StepNumber(40) };
    EngineStatus status { Incarnation(3), true, MapVersion(1), StepNumber(39), point, true, { MapVersion(1), MapVersion(2) } };
    fmt::print("  largest report {} bytes, largest order {}, map of 64 ranks x 60 layers {}\n", bytesOf<schema::RankReport>(RankReport { {}, Incarnation(1), {}, 1, status }),
        bytesOf<schema::RankOrder>(RankOrder { {}, 1, {}, Incarnation(3), Admit { MapVersion(1), point } }), bytesOf<schema::ExpertMap>(VersionedMap { MapVersion(1), ExpertMap::contiguous({ 64, 60, 64, 2 }).value() }));
}

void timeCoordinators()
{
    fmt::print("coordinator\n");
    for (std::uint32_t ranks : { 4u, 16u, 64u, 256u })
        timeCoordinator(ranks);
    printMessageSizes();
}

void writeTraces(const Arguments& arguments)
{
    for (auto kind : traceKinds) {
        auto trace = generateTrace(kind, { 4, 2, 16, 5 }, dayIntervals, arguments.seed);
        std::ofstream out(std::filesystem::path(arguments.writeFolder) / (trace.name + ".trace"));
        writeTrace(out, trace);
    }
}

void run(const Arguments& arguments)
{
    if (!arguments.writeFolder.empty()) {
        writeTraces(arguments);
        return;
    }
    if (!arguments.traceFile.empty()) {
        std::ifstream in(arguments.traceFile);
        replayAll(readTrace(in).value(), arguments);
        return;
    }
    if (arguments.seeds > 1) {
        printGoals(arguments);
        return;
    }
    for (auto& shape : shapes(arguments)) {
        for (auto kind : traceKinds)
            replayAll(generateTrace(kind, shape, arguments.intervals, arguments.seed), arguments);
        compareDetectors(shape, arguments);
    }
    if (!arguments.isTimed)
        return;
    timeDecisions();
    timeCoordinators();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("expertmap-bench", "Replays drift traces against all placement policies and prints their results.");
    Arguments arguments;
    options.add_options()("seed", "seed of the generated traces", cxxopts::value(arguments.seed)->default_value("1"));
    options.add_options()("intervals", "number of five-minute intervals to generate", cxxopts::value(arguments.intervals)->default_value("288"));
    options.add_options()("seeds", "number of seeds; if more than one, print only the worst results over them", cxxopts::value(arguments.seeds)->default_value("1"));
    options.add_options()("layers", "layers of the generated traces", cxxopts::value(arguments.layers)->default_value("4"));
    options.add_options()("svg", "folder to write one SVG plot per trace to", cxxopts::value(arguments.svgFolder)->default_value(""));
    options.add_options()("trace", "replay this file instead of generated traces", cxxopts::value(arguments.traceFile)->default_value(""));
    options.add_options()("write-traces", "write the small traces to this folder and exit", cxxopts::value(arguments.writeFolder)->default_value(""));
    options.add_options()("no-times", "do not measure the times of decisions and of the coordinator");
    options.add_options()("help", "print this help");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help();
            return 0;
        }
        arguments.isTimed = parsed.count("no-times") == 0;
        run(arguments);
    } catch (const std::exception& e) {
        fmt::print(std::cerr, "expertmap-bench: {}\n", e.what());
        return 2;
    }
    return 0;
}
