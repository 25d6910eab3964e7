#include "bench/control-bench.h"
#include "src/log/logger.h"
#include "src/spread/control-node.h"
#include "standin/http-server.h"
#include "standin/platform.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace swiftloft::bench {

namespace {

namespace asio = boost::asio;

constexpr std::size_t dataCentres = 9;
constexpr std::size_t regions = 3;
constexpr std::size_t entryShare = 9;
constexpr std::uint16_t firstPort = 20'000;
constexpr std::size_t headerBytes = 28;
constexpr seconds longestWait { 60 };

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_THREAD, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) + 1e-6 * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/// The stand-in on a thread of its own, so that the nodes' thread measures the nodes alone.
class PlatformThread {
public:
    explicit PlatformThread(const std::string& instances)
        : m_platform(m_io, {})
    {
        auto handle = [this](standin::Exchange& exchange) { return m_platform.handle(exchange); };
        m_server = standin::HttpServer::create(m_io, "127.0.0.1:0", handle).value();
        m_platform.publishInstances(instances);
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~PlatformThread()
    {
        m_io.stop();
        m_thread.join();
    }

    asio::ip::tcp::endpoint endpoint() const { return m_server->endpoint(); }
    void publishSettings(std::string tree)
    {
        asio::post(m_io, [this, tree = std::move(tree)] { m_platform.publishSettings(tree); });
    }

private:
    asio::io_context m_io;
    standin::Platform m_platform;
    std::unique_ptr<standin::HttpServer> m_server;
    std::thread m_thread;
};

membership::ListedInstance rowOf(std::size_t i)
{
    membership::ListedInstance row;
    row.role = i % entryShare == 0 ? membership::Role::Entry : membership::Role::Agent;
    row.id = membership::NodeId(fmt::format("{}-{:05}", toString(row.role), i));
    row.peer = membership::PeerAddress(fmt::format("127.0.0.1:{}", firstPort + i));
    row.address = membership::TrafficAddress(row.peer.value());
    row.dataCentre = DataCentreName(fmt::format("dc{}", i % dataCentres));
    return row;
}

std::string listOf(std::size_t nodes)
{
    std::string rows;
    for (std::size_t i = 0; i < nodes; ++i) {
        auto row = rowOf(i);
        rows += fmt::format(R"({}{{"id":"{}","role":"{}","address":"{}","peer":"{}","data_centre":"{}","state":"live"}})", rows.empty() ? "" : ",",
            row.id.value(), toString(row.role), row.address.value(), row.peer.value(), row.dataCentre.value());
    }
    return fmt::format("[{}]", rows);
}

struct Sum {
    double bytes { 0 };
    double calls { 0 };
    double memory { 0 };
};

class UdpFleet {
public:
    UdpFleet(const ControlBenchOptions& options, const PlatformThread& platform)
    {
        for (std::size_t i = 0; i < options.nodes; ++i) {
            spread::ControlNodeOptions node;
            node.self = rowOf(i);
            node.incarnation = Incarnation(options.seed * 1'000'000 + i);
            node.platform = platform.endpoint();
            for (std::size_t dc = 0; dc < dataCentres; ++dc)
                node.topology.regions[DataCentreName(fmt::format("dc{}", dc))] = RegionName(fmt::format("region{}", dc * regions / dataCentres));
            m_nodes.push_back(spread::ControlNode::create(node, {}).value());
            m_nodes.back()->start(m_io).value();
        }
    }
    ~UdpFleet()
    {
        for (auto& it : m_nodes)
            it->stop();
        m_io.restart();
        m_io.run_for(milliseconds(100));
    }

    void runFor(milliseconds time)
    {
        m_io.restart();
        m_io.run_for(time);
    }
    template <typename Predicate>
    std::optional<milliseconds> runUntil(Predicate isDone)
    {
        auto begin = Clock::now();
        while (Clock::now() < begin + longestWait) {
            if (std::all_of(m_nodes.begin(), m_nodes.end(), isDone))
                return std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
            runFor(milliseconds(5));
        }
        return std::nullopt;
    }
    Sum sum() const
    {
        Sum sum;
        for (auto& it : m_nodes) {
            auto status = it->status();
            auto datagrams = status.udp.sentDatagrams + status.udp.receivedDatagrams;
            sum.bytes += static_cast<double>(status.udp.sentBytes + status.udp.receivedBytes + headerBytes * datagrams + status.pullBytes);
            for (auto& topic : status.spread)
                sum.calls += static_cast<double>(topic.platformCalls);
            sum.memory += static_cast<double>(status.memoryBytes);
        }
        return sum;
    }

private:
    asio::io_context m_io;
    std::vector<std::shared_ptr<spread::ControlNode>> m_nodes;
};

} // namespace

void benchUdp(const ControlBenchOptions& options)
{
    log::setThreshold(log::Level::Error);
    PlatformThread platform(listOf(options.nodes));
    auto tree = makeTree(options.treeBytes, options.seed);
    platform.publishSettings(tree);
    UdpFleet fleet(options, platform);
    auto ready = fleet.runUntil([](auto& it) { return it->isReady(); });
    if (!ready) {
        fmt::print("mode=udp nodes={} not all ready within {} s\n", options.nodes, longestWait.count());
        return;
    }
    fleet.runFor(seconds(10));

    auto n = static_cast<double>(options.nodes);
    auto time = static_cast<double>(options.seconds);
    auto before = fleet.sum();
    auto processorBefore = processorSeconds();
    fleet.runFor(seconds(options.seconds));
    auto processor = processorSeconds() - processorBefore;
    auto after = fleet.sum();
    fmt::print("mode=udp nodes={} ready_ms={} steady_bytes_s={:.0f} core_percent={:.3f} platform_calls_s={:.2f} state_bytes={:.0f}", options.nodes, ready->count(),
        (after.bytes - before.bytes) / n / time, 100 * processor / n / time, (after.calls - before.calls) / time, after.memory / n);

    std::int64_t longest = 0;
    std::int64_t summed = 0;
    before = after;
    for (std::size_t i = 0; i < options.changes; ++i) {
        tree = editTree(std::move(tree), i + 7);
        platform.publishSettings(tree);
        Revision wanted(i + 2);
        auto took = fleet.runUntil([wanted](auto& it) { return it->settingsRevision() == wanted; });
        longest = std::max<std::int64_t>(longest, took.value_or(longestWait).count());
        summed += took.value_or(longestWait).count();
    }
    after = fleet.sum();
    fmt::print(" tree_bytes={} changes={} in_force_ms_mean={} in_force_ms_most={} bytes_a_change={:.0f}\n", tree.size(), options.changes, summed / static_cast<std::int64_t>(options.changes), longest,
        (after.bytes - before.bytes) / n / static_cast<double>(options.changes));
}

} // namespace swiftloft::bench
