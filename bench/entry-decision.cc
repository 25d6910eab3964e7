#include "src/entry/reducer.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <deque>

/// Cost of the entry's whole decision about a request - settings, limits, fair queue, routing, its end - through the real
/// reducer, at several sizes of the fleet. Prints microseconds a request and the ratio to the smallest size.

using namespace swiftloft;
using namespace swiftloft::entry;

namespace {

constexpr std::size_t dataCentres = 9;
constexpr std::size_t inFlight = 64;
constexpr std::size_t rounds = 5;

std::string settingsFor(std::size_t organisations)
{
    std::string text = "[defaults]\nrequires-key = no\nrequests-per-second = 1000000/s\ntokens-per-second = 100000000/s\nmax-in-flight = 1000000\n";
    for (std::size_t n = 0; n < dataCentres; ++n)
        text += fmt::format("[data-centre dc-{}]\nregion = region-{}\n", n, n / 3);
    text += "[service model]\nkind = model\nrepeatable-methods = GET, POST\nmax-concurrent-per-backend-server = 1024\n";
    for (std::size_t n = 0; n < organisations; ++n)
        text += fmt::format("[organisation organisation-{}]\n", n);
    return text;
}

membership::ViewMember member(const std::string& id, membership::Role role, std::size_t n)
{
    auto listed = std::make_shared<membership::ListedInstance>();
    listed->id = membership::NodeId(id);
    listed->role = role;
    listed->address = membership::TrafficAddress("127.0.0.1:1");
    listed->dataCentre = DataCentreName(fmt::format("dc-{}", n % dataCentres));
    listed->service = ServiceName(role == membership::Role::Agent ? "model" : "");
    membership::ViewMember member;
    member.listed = std::move(listed);
    return member;
}

std::shared_ptr<const membership::View> viewOf(std::size_t servers)
{
    auto view = std::make_shared<membership::View>();
    view->listRevision = Revision(1);
    view->members.push_back(member("entry-1", membership::Role::Entry, 0));
    for (std::size_t n = 0; n < servers; ++n)
        view->members.push_back(member(fmt::format("server-{:05}", n), membership::Role::Agent, n));
    return view;
}

class Bench {
public:
    Bench(std::size_t servers, std::size_t organisations)
        : m_organisations(organisations)
        , m_reducer(Reducer::create(options(m_now)).value())
    {
        give(SettingsActivated { Revision(1), settings::Tree::parse(settingsFor(organisations)).result().value(), m_now });
        give(ViewChanged { viewOf(servers), m_now });
        for (std::size_t n = 0; n < servers; ++n)
            report(n);
        m_now += seconds(1);
        give(Tick { m_now });
    }

    /// Microseconds a request, from its arrival to its end.
    double run(std::size_t requests)
    {
        auto begin = Clock::now();
        for (std::size_t n = 0; n < requests; ++n) {
            m_now += microseconds(20);
            arrive();
            if (m_open.size() > inFlight)
                finishOldest();
        }
        return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() / static_cast<double>(requests);
    }

    std::size_t refused() const { return m_refused; }

private:
    static ReducerOptions options(TimePoint now)
    {
        ReducerOptions options;
        options.incarnation = Incarnation(9);
        options.self = InstanceId("entry-1");
        options.dataCentre = DataCentreName("dc-0");
        options.isFirstStart = true;
        options.startedAt = now;
        return options;
    }

    void report(std::size_t n)
    {
        AgentReport report;
        report.incarnation = Incarnation(1);
        report.isEngineUp = true;
        report.epoch = policy::MintEpoch(1);
        report.tokensPerSecond = 2500;
        give(LinkReported { WorkerIndex(0), BackendServerId(fmt::format("server-{:05}", n)), report, m_now });
    }

    void arrive()
    {
        auto info = std::make_shared<RequestInfo>();
        info->service = ServiceName("model");
        info->organisation = OrganisationName(fmt::format("organisation-{}", ++m_lastRequest % m_organisations));
        info->method = "POST";
        info->promptTokens = Tokens(200);
        info->expectedOutput = Tokens(100);
        give(RequestArrived { RequestId(m_lastRequest), WorkerIndex(0), info, m_now });
    }

    void finishOldest()
    {
        auto order = m_open.front();
        m_open.pop_front();
        give(OutputBegan { order.id, m_now });
        give(AttemptEnded { order.id, order.attempt, AttemptOutcome::Answered, Verdict::Ran, AttemptReason::None, m_now });
    }

    void give(const Event& event)
    {
        m_effects.clear();
        m_reducer.apply(event, m_effects);
        for (auto& effect : m_effects) {
            if (auto start = std::get_if<StartAttempt>(&effect))
                m_open.push_back(start->spec);
            m_refused += std::holds_alternative<RefuseRequest>(effect);
        }
    }

    std::size_t m_organisations;
    TimePoint m_now { seconds(1000) };
    Reducer m_reducer;
    Effects m_effects;
    std::deque<AttemptSpec> m_open;
    std::uint64_t m_lastRequest { 0 };
    std::size_t m_refused { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("entry-decision", "Cost of the entry's whole decision about a request");
    options.add_options()("requests", "requests a round", cxxopts::value<std::size_t>()->default_value("100000"));
    auto parsed = options.parse(argc, argv);
    struct Size {
        std::size_t servers;
        std::size_t organisations;
    };
    double smallest = 0;
    for (auto size : { Size { 12, 10 }, Size { 500, 200 }, Size { 5500, 1800 } }) {
        Bench bench(size.servers, size.organisations);
        bench.run(parsed["requests"].as<std::size_t>() / 10);
        double best = bench.run(parsed["requests"].as<std::size_t>());
        for (std::size_t n = 1; n < rounds; ++n)
            best = std::min(best, bench.run(parsed["requests"].as<std::size_t>()));
        smallest = smallest == 0 ? best : smallest;
        fmt::print("{:>5} backend servers, {:>4} organisations: {:.2f} us a request, {:.2f} times the smallest; {} refused\n", size.servers, size.organisations, best,
            best / smallest, bench.refused());
    }
    return 0;
}
