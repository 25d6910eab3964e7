#include "src/gateway/capacity/service-estimate.h"

#include "src/gateway/dispatcher.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <queue>
#include <random>

using namespace swiftloft;
using namespace swiftloft::gateway;
using namespace swiftloft::gateway::capacity;

namespace {

const TimePoint start { seconds(100) };
const ServiceName model { "model" };
constexpr int ranks { 16 };
constexpr std::uint32_t slots { 10 };

BackendServer rankServer(int n)
{
    return { BackendServerId(fmt::format("r{}", n)), model, { boost::asio::ip::address_v4(0x0a000001U + static_cast<unsigned>(n)), 8000 }, DataCentreName("a"), slots, ServerState::Ready };
}

Route streamRoute()
{
    Route route;
    route.name = "suggest";
    route.host = "h";
    route.prefix = "/s/";
    route.isStream = true;
    route.isIdempotent = true;
    route.timeout = seconds(8);
    route.objective = milliseconds(500);
    route.gapObjective = milliseconds(150);
    route.maximumServers = 2;
    route.services = { { model, 1 } };
    return route;
}

std::shared_ptr<Snapshot> snapshotOfGroup()
{
    auto snapshot = std::make_shared<Snapshot>();
    ConfigurationParts parts;
    parts.routes = { streamRoute() };
    parts.services.push_back({ model, "/health", 0, EngineTraits { .slots = slots, .stepMs = 4.5, .stepMsPerRequest = 1.1, .promptTokensPerSecond = 60'000, .stepsPerPass = 5, .layers = 1 } });
    snapshot->configuration = Configuration::create(parts).value();
    for (int n = 0; n < ranks; ++n)
        snapshot->servers.push_back(rankServer(n));
    return snapshot;
}

EstimateOptions switchedOff()
{
    EstimateOptions options;
    options.isEnabled = false;
    return options;
}

/// One entry's estimate, fed with streams of the given pass.
struct EstimateRig {
    explicit EstimateRig(const EstimateOptions& options = {})
        : estimate(options)
    {
        estimate.setSnapshot(now, *snapshot);
        for (int n = 0; n < 50; ++n)
            runStream(milliseconds(40), 20);
    }

    RequestView request(unsigned priority = 0, std::int64_t expectedTokens = 100) const
    {
        return { route, priority, now, now + route.timeout, { Tokens(400), Tokens(expectedTokens) }, now + milliseconds(200), 0 };
    }

    void runStream(milliseconds pass, int events)
    {
        estimate.onRequestArrived(model, request());
        StreamClock clock;
        estimate.onAttemptStarted(now, clock, rankServer(0).incarnation());
        runEvents(clock, pass, events);
        estimate.onAttemptEnded(now, clock, model, rankServer(0).incarnation(), route, true);
    }

    void runEvents(StreamClock& clock, milliseconds pass, int events)
    {
        for (int n = 0; n < events; ++n) {
            now += pass;
            ServiceEstimate::onEvent(now, clock);
        }
    }

    void reportPace(double pace)
    {
        snapshot->peerDegradedRanks = { { rankServer(3).address, now, true, pace } };
        estimate.setSnapshot(now, *snapshot);
    }

    /// True if a request is refused. Takes the probes of both groups before, so that the forecast decides.
    bool isRefused(const RequestView& view)
    {
        ServiceUse use { 64, 160 };
        if (!estimate.isWatching(now, model))
            return false;
        for (int n = 0; n < 2; ++n)
            estimate.refusalOf(now, model, view, use);
        return estimate.refusalOf(now, model, view, use).has_value();
    }

    TimePoint now { start };
    std::shared_ptr<Snapshot> snapshot { snapshotOfGroup() };
    Route route { streamRoute() };
    ServiceEstimate estimate;
};

} // namespace

TEST_CASE("PassTimes: the median ignores the stall of one stream and forgets old intervals")
{
    PassTimes passes;
    CHECK_FALSE(passes.median(start));
    for (int n = 0; n < 8; ++n)
        passes.add(start, milliseconds(40));
    passes.add(start, milliseconds(900));
    REQUIRE(passes.median(start));
    CHECK(*passes.median(start) == milliseconds(40));
    // The interval of 900 ms is valid for 1,350 ms.
    CHECK_FALSE(passes.median(start + milliseconds(1400)));
    passes.add(start, milliseconds(2000));
    CHECK(passes.median(start + milliseconds(2900)));
}

TEST_CASE("PassTimes: the mean of the valid intervals is that of events in bursts")
{
    PassTimes passes;
    CHECK_FALSE(passes.mean(start));
    passes.add(start, milliseconds(2));
    passes.add(start, milliseconds(2));
    passes.add(start, milliseconds(116));
    REQUIRE(passes.mean(start));
    CHECK(*passes.mean(start) == milliseconds(40));
    CHECK_FALSE(passes.mean(start + milliseconds(1400)));
}

TEST_CASE("RequestSizes: a client's estimate counts half, and never beyond its maximum")
{
    RequestSizes sizes;
    CHECK(sizes.expectedEvents("a", { Tokens(400), Tokens(100) }, 5) == Approx(20));
    for (int n = 0; n < 300; ++n)
        sizes.onStreamEnded("a", 10);
    CHECK(sizes.expectedEvents("a", { Tokens(400), Tokens(100) }, 5) == Approx(15));
    CHECK(sizes.expectedEvents("a", { Tokens(25), Tokens(100) }, 5) == Approx(5));
    CHECK(sizes.expectedEvents("b", {}, 5) == Approx(10));
}

TEST_CASE("ServiceEstimate: the time of a stream follows from its size and the passes, also without recent ones")
{
    EstimateRig rig;
    auto timeOf = [&](std::int64_t expectedTokens, milliseconds later = milliseconds(0)) {
        return rig.estimate.forecast(rig.now + later, model, rig.request(0, expectedTokens), { 64, 160 }).value().duration;
    };
    // 20 events as estimated and as the streams before, in passes of 40 ms.
    CHECK(timeOf(100) >= 20 * milliseconds(40));
    CHECK(timeOf(100) <= 24 * milliseconds(40));
    CHECK(timeOf(10) < timeOf(100));
    CHECK(timeOf(100, seconds(9)) > milliseconds(0));
    CHECK_FALSE(rig.estimate.forecast(rig.now, ServiceName("unknown"), rig.request(), {}).has_value());
}

// Guards against this failure: events arrive in bursts on a busy machine, so that most intervals are short, and a stopping entry
// accepts streams that it can't finish.
TEST_CASE("ServiceEstimate: a stream does not look short because its events arrive in bursts")
{
    EstimateRig rig;
    constexpr int burst = 4;
    constexpr int bursts = 12;
    StreamClock clock;
    rig.estimate.onAttemptStarted(rig.now, clock, rankServer(0).incarnation());
    for (int n = 0; n < bursts; ++n) {
        rig.runEvents(clock, burst * milliseconds(40) - (burst - 1) * milliseconds(1), 1);
        rig.runEvents(clock, milliseconds(1), burst - 1);
    }
    auto forecast = rig.estimate.forecast(rig.now, model, rig.request(), { 64, 160 });
    REQUIRE(forecast);
    CHECK(forecast->duration >= 20 * milliseconds(40) * 3 / 4);
}

TEST_CASE("ServiceEstimate: with normal passes nothing is watched or refused")
{
    EstimateRig rig;
    CHECK_FALSE(rig.estimate.isWatching(rig.now, model));
    CHECK_FALSE(rig.estimate.runLimit(rig.now, model, { 64, 160 }));
}

// Guards against this failure: one rank turns slow in the only group, and all streams are admitted and then cut at
// their clients' deadlines, because nothing relates the duration of a pass to the time that clients give.
TEST_CASE("ServiceEstimate: long streams are refused within a second of a rank that turns slow, and admitted as soon as it is well")
{
    EstimateRig rig;
    StreamClock clock;
    rig.estimate.onAttemptStarted(rig.now, clock, rankServer(0).incarnation());
    rig.runEvents(clock, milliseconds(40), 9);
    CHECK_FALSE(rig.isRefused(rig.request()));
    auto slowAt = rig.now;
    while (!rig.isRefused(rig.request()) && rig.now < slowAt + seconds(8))
        rig.runEvents(clock, milliseconds(480), 1);
    CHECK(rig.now - slowAt <= seconds(1));
    CHECK(rig.estimate.runLimit(rig.now, model, { 64, 160 }).value_or(160) < 160);
    auto wellAt = rig.now;
    while (rig.isRefused(rig.request()) && rig.now < wellAt + seconds(8))
        rig.runEvents(clock, milliseconds(40), 1);
    CHECK(rig.now - wellAt <= seconds(1));
}

TEST_CASE("ServiceEstimate: a reported pace is enough, short streams still end, and urgent ones may take longer")
{
    EstimateRig rig;
    rig.now += seconds(3);
    rig.reportPace(10);
    CHECK(rig.isRefused(rig.request(0, 300)));
    CHECK_FALSE(rig.isRefused(rig.request(0, 5)));
    CHECK(rig.isRefused(rig.request(3, 5)));
}

// Guards against this failure: the entry is cut off from agents and entries, its last report says that the group is
// slow, and it refuses everything for as long as it hears nothing.
TEST_CASE("ServiceEstimate: reports and passes that are too old refuse nothing")
{
    EstimateRig rig;
    rig.now += seconds(3);
    rig.reportPace(12);
    REQUIRE(rig.isRefused(rig.request(0, 300)));
    rig.now += GroupEstimate::reportLifetime;
    CHECK_FALSE(rig.isRefused(rig.request(0, 300)));
}

TEST_CASE("ServiceEstimate: while nothing can end, each entry probes at its part of the common rate")
{
    EstimateRig rig;
    auto entries = static_cast<std::size_t>(GENERATE(1, 33));
    rig.snapshot->entries.resize(entries - 1);
    rig.now += seconds(60);
    int admitted = 0;
    for (int n = 0; n < 1000; ++n) {
        rig.now += milliseconds(10);
        rig.reportPace(50);
        bool isRefused = rig.estimate.isWatching(rig.now, model) && rig.estimate.refusalOf(rig.now, model, rig.request(), { 64, 160 });
        admitted += isRefused ? 0 : 1;
    }
    auto expected = 10 * EstimateOptions {}.probesPerSecond / static_cast<double>(entries);
    INFO(fmt::format("{} entries admitted {} of 1000, expected about {:.1f}", entries, admitted, expected));
    CHECK(admitted >= 1);
    CHECK(admitted <= expected + 2);
}

TEST_CASE("ServiceEstimate: a group whose passes are near the threshold does not change its state with every pass")
{
    EstimateRig rig;
    int changes = 0;
    bool wasRefused = false;
    StreamClock clock;
    rig.estimate.onAttemptStarted(rig.now, clock, rankServer(0).incarnation());
    for (int n = 0; n < 200; ++n) {
        rig.runEvents(clock, milliseconds(n % 2 ? 185 : 205), 1);
        bool isRefused = rig.isRefused(rig.request(0, 400));
        changes += isRefused != wasRefused ? 1 : 0;
        wasRefused = isRefused;
    }
    CHECK(changes <= 1);
}

TEST_CASE("ServiceEstimate: the setting that switches it off leaves everything admitted")
{
    EstimateRig rig(switchedOff());
    rig.now += seconds(3);
    rig.reportPace(50);
    CHECK_FALSE(rig.estimate.isWatching(rig.now, model));
}

TEST_CASE("ServiceEstimate: a service with one group that is well refuses nothing")
{
    EstimateRig rig;
    rig.now += seconds(3);
    rig.snapshot->groups = { { EngineGroupName("g1"), {}, {}, 0, 0, false, {} }, { EngineGroupName("g2"), {}, {}, 0, 0, false, {} } };
    for (int n = 0; n < ranks; ++n)
        rig.snapshot->groups[n % 2 ? 1 : 0].ranks.push_back({ RankIndex(static_cast<std::uint32_t>(n / 2)), rankServer(n).address });
    rig.reportPace(50);
    CHECK_FALSE(rig.isRefused(rig.request()));
    rig.snapshot->groups[0].reportedAt = rig.now;
    rig.snapshot->groups[0].passMs = 2500;
    rig.reportPace(50);
    CHECK(rig.isRefused(rig.request()));
}

// Guards against this failure: all slots of a few slow servers are taken for seconds, and requests are kept until the
// end of their queue time before they are refused.
TEST_CASE("ServiceEstimate: a request that finds the slots of plain servers taken is refused at once if none becomes free in time")
{
    SlotTimes times;
    times.setServers({ { rankServer(0).incarnation(), 6 }, { rankServer(1).incarnation(), 6 } });
    CHECK_FALSE(times.timeUntilFree(start, 1));
    times.onResponse(start, rankServer(0).incarnation(), milliseconds(600));
    CHECK_FALSE(times.timeUntilFree(start, 1));
    times.onResponse(start, rankServer(1).incarnation(), milliseconds(1200));
    REQUIRE(times.timeUntilFree(start, 3));
    CHECK(std::chrono::duration_cast<milliseconds>(*times.timeUntilFree(start, 3)).count() == 200);
    CHECK_FALSE(times.timeUntilFree(start + SlotTimes::lifetime, 3));
}

namespace {

/// Entries in front of one lock-step group, on virtual time: each pass lasts as long as the slowest rank, by the traits of
/// the group, and sends one event to each stream. Entries tell each other their loads; nobody reports paces.
class SlowGroupFleet {
public:
    SlowGroupFleet(int entries, std::uint64_t seed, const EstimateOptions& estimate)
        : m_random(seed)
    {
        DispatcherOptions options;
        options.retries.slack = 1000;
        options.estimate = estimate;
        for (int n = 0; n < entries; ++n) {
            m_entries.push_back(std::make_unique<Dispatcher>(options, policy::Generator(seed + static_cast<std::uint64_t>(n))));
            m_snapshot->entries.resize(static_cast<std::size_t>(entries) - 1);
        }
        for (auto& entry : m_entries)
            entry->apply(m_now, dispatch::SnapshotChanged { m_snapshot });
    }

    struct Outcome {
        int offered { 0 };
        int served { 0 };
        int refused { 0 };
        int cut { 0 };
    };

    /// Runs until the given time after the start, with `perSecond` requests a second; counts requests by their arrival.
    Outcome run(milliseconds duration, double perSecond, double pace)
    {
        m_outcome = {};
        m_pace = pace;
        for (auto end = m_now + duration; m_now < end; m_now += tick) {
            std::poisson_distribution<int> arrivals(perSecond * std::chrono::duration<double>(tick).count());
            for (int n = arrivals(m_random); n > 0; --n)
                arrive();
            if (m_now >= m_passEndsAt)
                finishPass();
            if (m_now >= m_nextLoadAt)
                exchangeLoads();
            cutLate();
        }
        return m_outcome;
    }

private:
    static constexpr milliseconds tick { 5 };

    struct Stream {
        std::size_t entry { 0 };
        TimePoint deadline;
        int events { 0 };
        bool isRunning { false };
        bool hasStarted { false };
    };

    void arrive()
    {
        std::lognormal_distribution<double> events(2.75, 0.65);
        std::lognormal_distribution<double> error(0, 0.4);
        auto id = CallId(++m_lastId);
        Stream stream { m_random() % m_entries.size(), m_now + m_route.timeout, std::clamp(static_cast<int>(events(m_random)), 1, 48), false, false };
        auto expected = static_cast<std::int64_t>(5 * stream.events * error(m_random));
        m_streams[id] = stream;
        ++m_outcome.offered;
        apply(id, dispatch::RequestArrived { id, { m_snapshot->configuration, &m_route, 0, m_now, stream.deadline, Tokens(600), Tokens(240), Tokens(std::max<std::int64_t>(expected, 1)) } });
    }

    void apply(CallId id, const dispatch::Event& event)
    {
        for (auto& effect : m_entries[m_streams.at(id).entry]->apply(m_now, event)) {
            if (auto* started = std::get_if<dispatch::StartAttempt>(&effect))
                m_streams.at(started->call).isRunning = true;
            else if (auto* refused = std::get_if<dispatch::Refuse>(&effect))
                m_closing.push_back(refused->call);
        }
        while (!m_closing.empty()) {
            auto closed = m_closing.back();
            m_closing.pop_back();
            ++m_outcome.refused;
            close(closed);
        }
    }

    void close(CallId id)
    {
        m_entries[m_streams.at(id).entry]->apply(m_now, dispatch::CallClosed { id });
        m_streams.erase(id);
    }

    void finishPass()
    {
        std::vector<CallId> running;
        for (auto& [id, stream] : m_streams) {
            if (stream.isRunning)
                running.push_back(id);
        }
        double pass = m_pace * 5 * (4.5 + 1.1 * static_cast<double>(running.size()) / ranks);
        m_passEndsAt = m_now + milliseconds(static_cast<int>(pass));
        for (auto id : running) {
            auto& stream = m_streams.at(id);
            if (std::exchange(stream.hasStarted, true))
                apply(id, dispatch::StreamProgressed { id });
            else
                apply(id, dispatch::ResponseStarted { id });
            if (--stream.events > 0)
                continue;
            apply(id, dispatch::AttemptEnded { id, AttemptOutcome::Answered });
            ++m_outcome.served;
            close(id);
        }
    }

    void cutLate()
    {
        std::vector<CallId> late;
        for (auto& [id, stream] : m_streams) {
            if (stream.deadline <= m_now)
                late.push_back(id);
        }
        m_outcome.cut += static_cast<int>(late.size());
        for (auto id : late)
            close(id);
    }

    void exchangeLoads()
    {
        m_nextLoadAt = m_now + milliseconds(50);
        ++m_sequence;
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            LoadUpdate update { Incarnation(n + 1), m_sequence, m_entries[n]->loadBalancer().ownLoads(), {}, {} };
            for (std::size_t other = 0; other < m_entries.size(); ++other) {
                if (other != n)
                    m_entries[other]->apply(m_now, dispatch::LoadReceived { update });
            }
        }
    }

    std::shared_ptr<Snapshot> m_snapshot { snapshotOfGroup() };
    Route m_route { streamRoute() };
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Dispatcher>> m_entries;
    std::map<CallId, Stream> m_streams;
    std::vector<CallId> m_closing;
    TimePoint m_now { start };
    TimePoint m_passEndsAt { start };
    TimePoint m_nextLoadAt { start };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_lastId { 0 };
    double m_pace { 1 };
    Outcome m_outcome;
};

} // namespace

// Guards against this failure: one rank at twelve times its pace for nine seconds in the only group. All streams are
// admitted, each makes the passes of the others longer, and nearly all are cut in the middle.
TEST_CASE("ServiceEstimate: at twelve times the pace what is admitted ends, more is served, and normal load is served within a second of the end")
{
    auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 9)));
    SlowGroupFleet without(8, seed, switchedOff());
    SlowGroupFleet with(8, seed, {});
    without.run(seconds(4), 60, 1);
    with.run(seconds(4), 60, 1);
    // The streams that ran at the beginning may be cut.
    without.run(seconds(8), 60, 12);
    with.run(seconds(8), 60, 12);
    auto all = without.run(seconds(16), 60, 12);
    auto some = with.run(seconds(16), 60, 12);
    INFO(fmt::format("seed {}: without: served {} cut {} of {}; with: served {} refused {} cut {} of {}", seed, all.served, all.cut, all.offered, some.served, some.refused, some.cut, some.offered));
    CHECK(some.served > 2 * all.served);
    CHECK(some.cut * 5 < some.served);
    with.run(seconds(1), 60, 1);
    auto healthy = with.run(seconds(4), 60, 1);
    INFO(fmt::format("after: served {} refused {} of {}", healthy.served, healthy.refused, healthy.offered));
    CHECK(healthy.refused == 0);
}

TEST_CASE("ServiceEstimate: with free slots and normal passes each request is served as without an estimate")
{
    SlowGroupFleet without(8, 7, switchedOff());
    SlowGroupFleet with(8, 7, {});
    auto before = without.run(seconds(10), 60, 1);
    auto after = with.run(seconds(10), 60, 1);
    CHECK(after.served == before.served);
    CHECK(after.refused == before.refused);
    CHECK(after.cut == before.cut);
}
