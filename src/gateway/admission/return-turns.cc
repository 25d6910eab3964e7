#include "src/gateway/admission/return-turns.h"

#include <algorithm>
#include <limits>

namespace swiftloft::gateway::admission {

namespace {

/// Below this many admissions in the window, the rate says nothing about when there is capacity.
constexpr double minAdmissions { 0.5 };

double inSeconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void ReturnTurns::removePast(ServiceTurns& service, TimePoint now)
{
    service.turns.erase(service.turns.begin(), service.turns.upper_bound({ now, std::numeric_limits<unsigned>::max() }));
}

void ReturnTurns::onAdmitted(TimePoint now, const ServiceName& name)
{
    m_services[name].admissions.add(now, 1, rateWindow);
}

double ReturnTurns::rate(TimePoint now, const ServiceName& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? 0 : it->second.admissions.at(now, rateWindow) / inSeconds(rateWindow);
}

std::optional<TimePoint> ReturnTurns::take(TimePoint now, const ServiceName& name, unsigned priority, TimePoint latest)
{
    auto& service = m_services[name];
    removePast(service, now);
    double admissions = service.admissions.at(now, rateWindow);
    if (admissions < minAdmissions || service.turns.size() >= maxTurns)
        return std::nullopt;
    auto before = std::count_if(service.turns.begin(), service.turns.end(), [&](auto& it) { return it.priority <= priority; });
    auto turn = std::chrono::duration<double>(static_cast<double>(before + 1) / admissions * inSeconds(rateWindow));
    auto at = std::max(now + minDelay, now + std::chrono::duration_cast<Clock::duration>(turn));
    if (at > latest)
        return std::nullopt;
    service.turns.insert({ at, priority });
    return at;
}

std::size_t ReturnTurns::returning(TimePoint now, const ServiceName& name, unsigned priority)
{
    auto it = m_services.find(name);
    if (it == m_services.end())
        return 0;
    removePast(it->second, now);
    return static_cast<std::size_t>(std::count_if(it->second.turns.begin(), it->second.turns.end(), [&](auto& turn) { return turn.priority == priority; }));
}

} // namespace swiftloft::gateway::admission
