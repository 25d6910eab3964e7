// Measures how much of an organisation's limit callers get who all use one entry, and what lending costs in messages,
// at several fleet sizes.
#include "bench/policy-support.h"

#include <swiftloft/policy/organisation-limits.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <deque>
#include <memory>
#include <unordered_map>

using namespace swiftloft;
using namespace swiftloft::policy;
using swiftloft::bench::EventQueue;

namespace {

const OrganisationName organisation("cafe");

struct Settings {
    std::size_t entries { 6 };
    double rate { 10000 };
    std::int64_t requestTokens { 300 };
    seconds duration { 60 };
};

struct Outcome {
    double shareOfLimit { 0 };
    double messagesPerSecond { 0 };
    double firstWaitMs { 0 };
};

class Fleet {
public:
    explicit Fleet(const Settings& settings)
        : m_settings(settings)
    {
        std::vector<InstanceId> names;
        for (std::size_t i = 0; i < settings.entries; ++i) {
            names.emplace_back(fmt::format("entry-{}", i));
            m_indices[names.back()] = i;
        }
        TimePoint start { seconds(1) };
        for (auto& name : names) {
            m_entries.push_back(std::make_unique<OrganisationLimits>(OrganisationLimits::create({}, name, Incarnation(1), start).value()));
            m_entries.back()->setLimit(organisation, { .tokensPerSecond = settings.rate }, start);
            m_entries.back()->onInstanceList(names, start);
        }
    }

    /// One caller at the first entry that always has a request ready, from when all buckets are full.
    Outcome run()
    {
        auto begin = TimePoint { seconds(60) };
        m_events.at(begin, [this, begin] { attempt(begin); });
        m_events.runUntil(begin + m_settings.duration);
        auto time = static_cast<double>(m_settings.duration.count());
        return { m_admitted / (m_settings.rate * time), m_messages / time, m_firstWaitMs };
    }

private:
    void attempt(TimePoint begin)
    {
        LimitEffects effects;
        auto now = m_events.now();
        auto decision = m_entries[0]->admit(organisation, Tokens(m_settings.requestTokens), now, effects);
        send(effects);
        if (decision.outcome == LimitOutcome::Admitted) {
            if (m_admitted == 0)
                m_firstWaitMs = std::chrono::duration<double, std::milli>(now - begin).count();
            m_admitted += static_cast<double>(m_settings.requestTokens);
        }
        m_events.at(now + milliseconds(2), [this, begin] { attempt(begin); });
    }

    void send(const LimitEffects& effects)
    {
        for (auto& effect : effects) {
            ++m_messages;
            m_events.at(m_events.now() + microseconds(1500), [this, effect] { deliver(effect); });
        }
    }

    void deliver(const LimitEffect& effect)
    {
        auto& entry = *m_entries[m_indices.at(effect.to)];
        if (effect.kind == LimitEffectKind::SendLendRequest)
            send(entry.onLendRequest(effect.request, m_events.now()));
        else
            entry.onLendGrant(effect.grant, m_events.now());
    }

    Settings m_settings;
    EventQueue m_events;
    std::vector<std::unique_ptr<OrganisationLimits>> m_entries;
    std::unordered_map<InstanceId, std::size_t> m_indices;
    double m_admitted { 0 };
    double m_messages { 0 };
    double m_firstWaitMs { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("policy-lending", "Use of a limit through one entry");
    options.add_options()("rate", "tokens a second", cxxopts::value<double>()->default_value("10000"))("tokens", "of a request", cxxopts::value<std::int64_t>()->default_value("300"));
    auto arguments = options.parse(argc, argv);
    fmt::print("{:>8} {:>16} {:>14} {:>16}\n", "entries", "share of limit", "messages/s", "first wait ms");
    for (std::size_t entries : { 1, 6, 60, 670 }) {
        Settings settings { entries, arguments["rate"].as<double>(), arguments["tokens"].as<std::int64_t>(), seconds(60) };
        auto outcome = Fleet(settings).run();
        fmt::print("{:>8} {:>16.3f} {:>14.1f} {:>16.0f}\n", entries, outcome.shareOfLimit, outcome.messagesPerSecond, outcome.firstWaitMs);
    }
    return 0;
}
