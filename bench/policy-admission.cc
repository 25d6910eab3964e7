// Measures the admission queue at 0.3, 1 and 3 times the capacity of a service: goodput, and the first answer of an
// organisation that keeps within its share while another floods the service. First come first served beside it.
#include "bench/policy-support.h"

#include <swiftloft/policy/admission-queue.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

using namespace swiftloft;
using namespace swiftloft::policy;
using swiftloft::bench::EventQueue;

namespace {

constexpr double tokensPerSecondOfSlot = 500;
constexpr double meanService = 0.8;
constexpr double sigma = 0.5;
constexpr int organisationCount = 10;
/// Each modest organisation asks for this part of the capacity; the first one asks for the rest of the load.
constexpr double modestPart = 0.02;

struct Settings {
    std::size_t slots { 96 };
    double load { 1 };
    seconds deadline { 4 };
    seconds duration { 120 };
    unsigned seed { 1 };

    double capacity() const { return static_cast<double>(slots) / meanService; }
    /// Tokens of the requests in flight when all slots are taken: long requests are met there more often than they come.
    double tokensInFlight() const { return static_cast<double>(slots) * meanService * std::exp(sigma * sigma) * tokensPerSecondOfSlot; }
};

struct Request {
    int organisation { 0 };
    TimePoint arrivedAt;
    double service { 0 };
    Tokens cost;
};

struct Outcome {
    /// Requests a second answered in time, and their work as a part of the capacity.
    double goodput { 0 };
    double usefulWork { 0 };
    double started { 0 };
    double modestP99 { 0 };
    double modestInTime { 0 };
};

/// Engines that batch continuously: up to `slots` requests go at full speed, more share the same speed evenly.
class Engines {
public:
    Engines(EventQueue& events, std::size_t slots, std::function<void(const Request&)> onFinish)
        : m_events(events)
        , m_slots(static_cast<double>(slots))
        , m_onFinish(std::move(onFinish))
    {
    }

    void start(const Request& request)
    {
        advance();
        m_running.emplace(m_progress + request.service, request);
        wakeAtNextEnd();
    }

private:
    double speed() const { return std::min(1.0, m_slots / static_cast<double>(std::max<std::size_t>(m_running.size(), 1))); }

    void advance()
    {
        m_progress += speed() * std::chrono::duration<double>(m_events.now() - m_advancedAt).count();
        m_advancedAt = m_events.now();
    }

    void wakeAtNextEnd()
    {
        if (m_running.empty())
            return;
        auto left = std::max(0.0, m_running.begin()->first - m_progress) / speed();
        m_events.at(m_events.now() + bench::fromSeconds(left) + microseconds(1), [this, version = ++m_version] {
            if (version == m_version)
                end();
        });
    }

    void end()
    {
        advance();
        std::vector<Request> ended;
        while (!m_running.empty() && m_running.begin()->first <= m_progress) {
            ended.push_back(m_running.begin()->second);
            m_running.erase(m_running.begin());
        }
        wakeAtNextEnd();
        for (auto& request : ended)
            m_onFinish(request);
    }

    EventQueue& m_events;
    double m_slots;
    std::function<void(const Request&)> m_onFinish;
    /// Seconds of work that a request which was there from the start would have behind it.
    double m_progress { 0 };
    TimePoint m_advancedAt {};
    std::multimap<double, Request> m_running;
    std::uint64_t m_version { 0 };
};

/// Decides what starts when; `Service` tells it of arrivals and ends.
struct Gate {
    std::function<void(std::uint64_t id, const Request&)> onArrive;
    std::function<void(Tokens cost)> onFinish;
};

class Service {
public:
    explicit Service(const Settings& settings)
        : m_settings(settings)
        , m_generator(settings.seed)
        , m_engines(m_events, settings.slots, [this](const Request& request) { finish(request); })
    {
        auto modest = settings.capacity() * modestPart;
        for (int i = 1; i < organisationCount; ++i)
            arriveLater(i, modest);
        arriveLater(0, settings.capacity() * settings.load - modest * (organisationCount - 1));
    }

    void start(std::uint64_t id)
    {
        auto request = m_requests.at(id);
        m_requests.erase(id);
        ++m_started;
        m_engines.start(request);
    }

    void refuse(std::uint64_t id)
    {
        if (m_requests.at(id).organisation)
            ++m_modestMissed;
        m_requests.erase(id);
    }

    Outcome run(Gate gate)
    {
        m_gate = std::move(gate);
        m_events.runUntil(TimePoint { m_settings.duration });
        auto modest = static_cast<double>(m_modestSeconds.size());
        auto time = static_cast<double>(m_settings.duration.count());
        return { m_inTime / time, m_workInTime / time / static_cast<double>(m_settings.slots), m_started / time, bench::percentile(m_modestSeconds, 0.99), modest / (modest + m_modestMissed) };
    }

    EventQueue& events() { return m_events; }
    Generator& generator() { return m_generator; }

private:
    void arriveLater(int organisation, double perSecond)
    {
        auto gap = boost::random::exponential_distribution<double>(perSecond)(m_generator);
        m_events.at(m_events.now() + bench::fromSeconds(gap), [=, this] {
            arrive(organisation);
            arriveLater(organisation, perSecond);
        });
    }

    void arrive(int organisation)
    {
        auto service = boost::random::lognormal_distribution<double>(std::log(meanService) - sigma * sigma / 2, sigma)(m_generator);
        // The estimate errs by up to a quarter either way.
        auto error = boost::random::uniform_int_distribution<int>(75, 125)(m_generator);
        Request request { organisation, m_events.now(), service, Tokens(static_cast<std::int64_t>(service * tokensPerSecondOfSlot * error / 100)) };
        m_requests.emplace(++m_lastId, request);
        m_gate.onArrive(m_lastId, request);
    }

    void finish(const Request& request)
    {
        auto taken = std::chrono::duration<double>(m_events.now() - request.arrivedAt).count();
        if (m_events.now() <= request.arrivedAt + m_settings.deadline) {
            ++m_inTime;
            m_workInTime += request.service;
            if (request.organisation)
                m_modestSeconds.push_back(taken);
        } else if (request.organisation)
            ++m_modestMissed;
        m_gate.onFinish(request.cost);
    }

    Settings m_settings;
    Generator m_generator;
    EventQueue m_events;
    Engines m_engines;
    Gate m_gate;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::uint64_t m_lastId { 0 };
    double m_inTime { 0 };
    double m_workInTime { 0 };
    double m_started { 0 };
    double m_modestMissed { 0 };
    std::vector<double> m_modestSeconds;
};

Outcome runQueue(const Settings& settings)
{
    Service service(settings);
    auto tokens = meanService * tokensPerSecondOfSlot;
    AdmissionOptions options { .capacity = Tokens(static_cast<std::int64_t>(settings.tokensInFlight())), .maximumInFlight = settings.slots, .initialTokensPerSecond = settings.capacity() * tokens };
    auto queue = AdmissionQueue::create(options).value();
    auto apply = [&](const AdmissionEffects& effects) {
        for (auto& effect : effects) {
            if (effect.action == AdmissionAction::Start)
                service.start(effect.id.value());
            else
                service.refuse(effect.id.value());
        }
    };
    Gate gate;
    gate.onArrive = [&](std::uint64_t id, const Request& request) {
        auto now = service.events().now();
        auto expected = bench::fromSeconds(static_cast<double>(request.cost.value()) / tokensPerSecondOfSlot);
        AdmissionRequest admission { AdmissionId(id), OrganisationName(std::to_string(request.organisation)), Priority::Normal, request.cost, now + settings.deadline - expected };
        apply(queue.onArrive(admission, now, service.generator()));
    };
    gate.onFinish = [&](Tokens cost) { apply(queue.onFinish(cost, service.events().now(), service.generator())); };
    return service.run(std::move(gate));
}

Outcome runFirstCome(const Settings& settings)
{
    Service service(settings);
    std::deque<std::uint64_t> waiting;
    std::size_t running = 0;
    auto startNext = [&] {
        while (running < settings.slots && !waiting.empty()) {
            ++running;
            auto id = waiting.front();
            waiting.pop_front();
            service.start(id);
        }
    };
    Gate gate;
    gate.onArrive = [&](std::uint64_t id, const Request&) {
        waiting.push_back(id);
        startNext();
    };
    gate.onFinish = [&](Tokens) {
        --running;
        startNext();
    };
    return service.run(std::move(gate));
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("policy-admission", "Goodput and fairness of the admission queue under overload");
    options.add_options()("slots", "requests the service runs at a time", cxxopts::value<std::size_t>()->default_value("96"))("seconds", "model time", cxxopts::value<int>()->default_value("120"))("seed", "of the arrivals", cxxopts::value<unsigned>()->default_value("1"));
    auto arguments = options.parse(argc, argv);
    Settings settings;
    settings.slots = arguments["slots"].as<std::size_t>();
    settings.duration = seconds(arguments["seconds"].as<int>());
    settings.seed = arguments["seed"].as<unsigned>();
    fmt::print("capacity {:.0f} requests/s, deadline {} s, nine organisations at {}% of it each, a tenth takes the rest of the load\n", settings.capacity(), settings.deadline.count(), modestPart * 100);
    fmt::print("{:<16} {:>6} {:>10} {:>12} {:>10} {:>14} {:>14}\n", "policy", "load", "goodput/s", "useful work", "started/s", "modest p99 s", "modest in time");
    for (double load : { 0.3, 1.0, 3.0 }) {
        settings.load = load;
        for (bool isQueue : { false, true }) {
            auto outcome = isQueue ? runQueue(settings) : runFirstCome(settings);
            fmt::print("{:<16} {:>6} {:>10.1f} {:>12.3f} {:>10.1f} {:>14.2f} {:>14.3f}\n", isQueue ? "swiftloft" : "first come", load, outcome.goodput, outcome.usefulWork, outcome.started, outcome.modestP99, outcome.modestInTime);
        }
    }
    return 0;
}
