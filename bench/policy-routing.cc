// Compares routing policies in one run: swiftloft's router, least connections, round robin and random, on the same
// trace with shared prompt prefixes and one slow engine, through several entries with lagging load reports.
#include "bench/policy-support.h"

#include <swiftloft/policy/router.h>

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <list>
#include <memory>
#include <string>
#include <unordered_map>

using namespace swiftloft;
using namespace swiftloft::policy;
using swiftloft::bench::EventQueue;

namespace {

constexpr std::int64_t tokensPerBlock = 256;
constexpr std::size_t maximumBlocks = 8;
/// What an answer is charged as, in tokens of prefill.
constexpr std::int64_t outputCharge = 100;

struct Settings {
    std::size_t servers { 12 };
    std::size_t entries { 6 };
    double requestsPerSecond { 0 };
    double slowdown { 4 };
    seconds duration { 120 };
    unsigned seed { 1 };
};

struct TraceRequest {
    TimePoint at;
    std::size_t entry { 0 };
    std::vector<BlockHash> prefix;
    std::int64_t promptTokens { 0 };
    std::int64_t outputTokens { 0 };
};

/// Letters of 60 wards, some far more usual than others: a shared start of 3 to 6 blocks and an own rest.
std::vector<TraceRequest> makeTrace(const Settings& settings)
{
    constexpr std::size_t wards = 60;
    Generator generator(settings.seed);
    std::vector<double> weights;
    for (std::size_t i = 0; i < wards; ++i)
        weights.push_back(1.0 / static_cast<double>(i + 1));
    boost::random::discrete_distribution<std::size_t> ward(weights);
    boost::random::exponential_distribution<double> gap(settings.requestsPerSecond);
    boost::random::uniform_int_distribution<std::size_t> entry(0, settings.entries - 1);
    boost::random::uniform_int_distribution<std::int64_t> output(50, 350);
    std::vector<TraceRequest> trace;
    TimePoint at { seconds(1) };
    for (std::uint64_t n = 0; at < TimePoint { seconds(1) } + settings.duration; ++n) {
        at += bench::fromSeconds(gap(generator));
        auto group = ward(generator);
        auto shared = 3 + group % 4;
        TraceRequest request { at, entry(generator), {}, tokensPerBlock * static_cast<std::int64_t>(maximumBlocks), output(generator) };
        for (std::size_t i = 0; i < maximumBlocks; ++i) {
            auto owner = i < shared ? group : 1000 + n;
            request.prefix.emplace_back((owner * 64 + i + 1) * 0x9e3779b97f4a7c15ULL);
        }
        trace.push_back(std::move(request));
    }
    return trace;
}

/// The engine's prefix cache: least recently used blocks.
class BlockCache {
public:
    std::size_t hits(const std::vector<BlockHash>& prefix) const
    {
        std::size_t n = 0;
        while (n < prefix.size() && m_places.count(prefix[n].value()))
            ++n;
        return n;
    }

    std::size_t use(const std::vector<BlockHash>& prefix)
    {
        auto n = hits(prefix);
        for (auto block : prefix)
            touch(block.value());
        return n;
    }

private:
    void touch(std::uint64_t block)
    {
        constexpr std::size_t capacity = 250;
        auto it = m_places.find(block);
        if (it != m_places.end())
            m_order.erase(it->second);
        m_order.push_front(block);
        m_places[block] = m_order.begin();
        if (m_order.size() <= capacity)
            return;
        m_places.erase(m_order.back());
        m_order.pop_back();
    }

    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

/// One request at an engine, with what to call at its first token and at its end.
struct Work {
    const TraceRequest* request;
    std::function<void()> onFirstToken;
    std::function<void(microseconds gap)> onEnd;
    /// Prompt tokens not cached when it arrived, as the engine reports them.
    std::int64_t reported { 0 };
};

/// Prefills one prompt at a time; decodes all others beside it, which slows both down.
class Engine {
public:
    Engine(EventQueue& events, double slowdown)
        : m_events(events)
        , m_slowdown(slowdown)
    {
    }

    void accept(Work work)
    {
        work.reported = work.request->promptTokens - static_cast<std::int64_t>(m_cache.hits(work.request->prefix)) * tokensPerBlock;
        m_pending += work.reported;
        m_waiting.push_back(std::move(work));
        if (!m_isPrefilling)
            prefillNext();
    }

    /// Prompts to prefill and, at half weight, answers to decode.
    std::int64_t pending() const { return m_pending + outputCharge * static_cast<std::int64_t>(m_waiting.size() + m_decoding); }
    std::size_t cachedBlocks() const { return m_cachedBlocks; }
    std::size_t blocks() const { return m_blocks; }

    static constexpr double prefillRate = 8000;

private:
    double strain() const { return m_slowdown * (1 + static_cast<double>(m_decoding) / 32); }

    void prefillNext()
    {
        m_isPrefilling = !m_waiting.empty();
        if (!m_isPrefilling)
            return;
        auto work = std::move(m_waiting.front());
        m_waiting.pop_front();
        auto hits = m_cache.use(work.request->prefix);
        m_cachedBlocks += hits;
        m_blocks += work.request->prefix.size();
        auto tokens = work.request->promptTokens - static_cast<std::int64_t>(hits) * tokensPerBlock;
        auto time = bench::fromSeconds(static_cast<double>(std::max<std::int64_t>(tokens, 32)) / prefillRate * strain());
        m_events.at(m_events.now() + time, [this, work = std::move(work)]() mutable { decode(std::move(work)); });
    }

    void decode(Work work)
    {
        m_pending -= work.reported;
        work.onFirstToken();
        ++m_decoding;
        auto gap = bench::fromSeconds(0.008 * strain());
        auto end = m_events.now() + gap * work.request->outputTokens;
        m_events.at(end, [this, gap, work = std::move(work)] {
            --m_decoding;
            work.onEnd(gap);
        });
        prefillNext();
    }

    EventQueue& m_events;
    double m_slowdown;
    BlockCache m_cache;
    std::list<Work> m_waiting;
    bool m_isPrefilling { false };
    std::int64_t m_pending { 0 };
    std::size_t m_decoding { 0 };
    std::size_t m_cachedBlocks { 0 };
    std::size_t m_blocks { 0 };
};

/// What a policy does for one entry.
struct EntryPolicy {
    std::function<std::size_t(const TraceRequest&)> choose;
    std::function<void(std::size_t server, microseconds firstToken)> onFirstToken = [](std::size_t, microseconds) {};
    std::function<void(std::size_t server, microseconds gap)> onEnd = [](std::size_t, microseconds) {};
    std::function<void(std::size_t server, std::int64_t pending, TimePoint sampledAt)> onReport = [](std::size_t, std::int64_t, TimePoint) {};
};

using PolicyFactory = std::function<EntryPolicy(std::size_t entry, EventQueue&)>;

EntryPolicy makeRandom(std::size_t entry, const Settings& settings)
{
    auto generator = std::make_shared<Generator>(100 + entry);
    return { [=](const TraceRequest&) { return boost::random::uniform_int_distribution<std::size_t>(0, settings.servers - 1)(*generator); } };
}

EntryPolicy makeRoundRobin(std::size_t entry, const Settings& settings)
{
    auto next = std::make_shared<std::size_t>(entry * 2);
    return { [=](const TraceRequest&) { return (*next)++ % settings.servers; } };
}

EntryPolicy makeLeastConnections(std::size_t entry, const Settings& settings)
{
    auto open = std::make_shared<std::vector<int>>(settings.servers);
    EntryPolicy policy;
    policy.choose = [=](const TraceRequest&) {
        std::size_t best = entry * 2 % settings.servers;
        for (std::size_t i = 0; i < settings.servers; ++i) {
            auto server = (entry * 2 + i) % settings.servers;
            if ((*open)[server] < (*open)[best])
                best = server;
        }
        ++(*open)[best];
        return best;
    };
    policy.onEnd = [=](std::size_t server, microseconds) { --(*open)[server]; };
    return policy;
}

EntryPolicy makeSwiftloft(std::size_t entry, EventQueue& events, const Settings& settings, double affinityFactor, double savingsWeight)
{
    struct Held {
        Router router;
        Generator generator;
        std::vector<ServerHandle> handles;
        std::vector<std::list<RouteChoice>> open;
        std::vector<std::list<RouteChoice>> prefilling;
    };
    RouterOptions options { .dataCentre = DataCentreName("dc"), .defaultTokensPerSecond = Engine::prefillRate, .affinityFactor = affinityFactor, .savingsWeight = savingsWeight };
    auto held = std::make_shared<Held>(Held { Router::create(options).value(), Generator(200 + entry), {}, {}, {} });
    for (std::size_t i = 0; i < settings.servers; ++i)
        held->handles.push_back(held->router.add({ BackendServerId(fmt::format("engine-{}", i)), DataCentreName("dc"), RegionName("r") }));
    held->open.resize(settings.servers);
    held->prefilling.resize(settings.servers);
    EntryPolicy policy;
    policy.choose = [=, &events](const TraceRequest& it) {
        RouteRequest request { .prefix = it.prefix, .promptTokens = Tokens(it.promptTokens), .expectedOutput = Tokens(outputCharge), .isRepeatable = true, .triedServers = {} };
        auto choice = held->router.choose(request, events.now(), held->generator).value();
        held->router.onStart(choice, request, events.now());
        held->prefilling[choice.server.slot].push_back(choice);
        return std::size_t(choice.server.slot);
    };
    policy.onFirstToken = [=, &events](std::size_t server, microseconds firstToken) {
        auto choice = held->prefilling[server].front();
        held->prefilling[server].pop_front();
        held->router.onFirstByte(choice, firstToken, events.now());
        held->open[server].push_back(choice);
    };
    policy.onEnd = [=, &events](std::size_t server, microseconds gap) {
        held->router.onTokenGap(held->handles[server], gap, events.now());
        held->router.onFinish(held->open[server].front(), events.now());
        held->open[server].pop_front();
    };
    policy.onReport = [=](std::size_t server, std::int64_t pending, TimePoint sampledAt) {
        held->router.onReport(held->handles[server], { sampledAt, Tokens(pending), 0 });
    };
    return policy;
}

struct Outcome {
    std::vector<double> firstTokenMs;
    double hitRatio { 0 };
};

class Run {
public:
    Run(const Settings& settings, const std::vector<TraceRequest>& trace, const PolicyFactory& factory)
        : m_settings(settings)
    {
        for (std::size_t i = 0; i < settings.servers; ++i)
            m_engines.push_back(std::make_unique<Engine>(m_events, i == 0 ? settings.slowdown : 1));
        for (std::size_t i = 0; i < settings.entries; ++i)
            m_entries.push_back(factory(i, m_events));
        for (auto& request : trace)
            m_events.at(request.at, [this, &request] { send(request); });
        for (std::size_t i = 0; i < settings.servers; ++i)
            m_events.at(TimePoint { milliseconds(100 + 40 * i) }, [this, i] { report(i); });
    }

    Outcome outcome()
    {
        m_events.runUntil(TimePoint { seconds(1) } + m_settings.duration);
        std::size_t hits = 0;
        std::size_t blocks = 0;
        for (auto& engine : m_engines) {
            hits += engine->cachedBlocks();
            blocks += engine->blocks();
        }
        return { std::move(m_firstTokenMs), static_cast<double>(hits) / static_cast<double>(std::max<std::size_t>(blocks, 1)) };
    }

private:
    void send(const TraceRequest& request)
    {
        auto& entry = m_entries[request.entry];
        auto server = entry.choose(request);
        auto sentAt = m_events.now();
        Work work;
        work.request = &request;
        work.onFirstToken = [this, &entry, server, sentAt] {
            auto time = std::chrono::duration_cast<microseconds>(m_events.now() - sentAt);
            m_firstTokenMs.push_back(static_cast<double>(time.count()) / 1000);
            entry.onFirstToken(server, time);
        };
        work.onEnd = [&entry, server](microseconds gap) { entry.onEnd(server, gap); };
        m_engines[server]->accept(std::move(work));
    }

    /// Every half second, and 200 ms old on arrival.
    void report(std::size_t server)
    {
        auto pending = m_engines[server]->pending();
        auto sampledAt = m_events.now();
        m_events.at(sampledAt + milliseconds(200), [=, this] {
            for (auto& entry : m_entries)
                entry.onReport(server, pending, sampledAt);
        });
        m_events.at(sampledAt + milliseconds(500), [this, server] { report(server); });
    }

    Settings m_settings;
    EventQueue m_events;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<EntryPolicy> m_entries;
    std::vector<double> m_firstTokenMs;
};

void print(const std::string& name, const Outcome& outcome, std::size_t sent)
{
    fmt::print("{:<24} {:>9.0f} {:>9.0f} {:>9.3f} {:>10}\n", name, bench::percentile(outcome.firstTokenMs, 0.5),
        bench::percentile(outcome.firstTokenMs, 0.99), outcome.hitRatio, sent - outcome.firstTokenMs.size());
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("policy-routing", "Compares routing policies on one trace");
    options.add_options()("servers", "backend servers", cxxopts::value<std::size_t>()->default_value("12"))("entries", "entry instances", cxxopts::value<std::size_t>()->default_value("6"))("load", "requests a second per server", cxxopts::value<double>()->default_value("3"))("slowdown", "of the first engine", cxxopts::value<double>()->default_value("4"))("seconds", "model time", cxxopts::value<int>()->default_value("120"))("seed", "of the trace", cxxopts::value<unsigned>()->default_value("1"));
    auto arguments = options.parse(argc, argv);
    Settings settings;
    settings.servers = arguments["servers"].as<std::size_t>();
    settings.entries = arguments["entries"].as<std::size_t>();
    settings.requestsPerSecond = arguments["load"].as<double>() * static_cast<double>(settings.servers);
    settings.slowdown = arguments["slowdown"].as<double>();
    settings.duration = seconds(arguments["seconds"].as<int>());
    settings.seed = arguments["seed"].as<unsigned>();
    auto trace = makeTrace(settings);
    fmt::print("servers {} (one {}x slow), entries {}, {:.0f} requests/s, {} requests, seed {}\n", settings.servers, settings.slowdown, settings.entries, settings.requestsPerSecond, trace.size(), settings.seed);
    fmt::print("{:<24} {:>9} {:>9} {:>9} {:>10}\n", "policy", "p50 ms", "p99 ms", "cache hit", "unanswered");
    std::vector<std::pair<std::string, PolicyFactory>> policies {
        { "random", [&](std::size_t entry, EventQueue&) { return makeRandom(entry, settings); } },
        { "round robin", [&](std::size_t entry, EventQueue&) { return makeRoundRobin(entry, settings); } },
        { "least connections", [&](std::size_t entry, EventQueue&) { return makeLeastConnections(entry, settings); } },
        { "swiftloft, no affinity", [&](std::size_t entry, EventQueue& events) { return makeSwiftloft(entry, events, settings, 0, 0); } },
        { "swiftloft", [&](std::size_t entry, EventQueue& events) { return makeSwiftloft(entry, events, settings, RouterOptions().affinityFactor, RouterOptions().savingsWeight); } },
    };
    for (auto& [name, factory] : policies)
        print(name, Run(settings, trace, factory).outcome(), trace.size());
    return 0;
}
