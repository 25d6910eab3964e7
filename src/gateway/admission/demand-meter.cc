#include "src/gateway/admission/demand-meter.h"

#include <algorithm>

namespace swiftloft::gateway::admission {

namespace {

/// Weight of the latest request in the mean time that requests occupy a slot.
constexpr double slotTimeWeight = 0.05;

milliseconds timeSince(TimePoint then, TimePoint now)
{
    if (then == TimePoint {})
        return PriorityDemand::maxAge;
    return std::min(PriorityDemand::maxAge, std::chrono::duration_cast<milliseconds>(now - then));
}

} // namespace

DemandMeter::Level& DemandMeter::level(const ServiceName& service, unsigned priority)
{
    return m_services[service].levels[std::min(priority, leastUrgentPriority)];
}

void DemandMeter::onArrived(TimePoint now, const ServiceName& service, unsigned priority)
{
    level(service, priority).arrivals.add(now, 1, rateWindow);
}

void DemandMeter::onAdmitted(TimePoint now, const ServiceName& service, unsigned priority)
{
    auto& it = level(service, priority);
    it.admissions.add(now, 1, rateWindow);
    it.admittedAt = now;
}

void DemandMeter::onRefused(TimePoint now, const ServiceName& service, unsigned priority)
{
    level(service, priority).refusedAt = now;
    m_services[service].shortUntil = now + shortageTime;
}

void DemandMeter::onSlotReleased(const ServiceName& service, Clock::duration occupied)
{
    auto& mean = m_services[service].slotTime;
    std::chrono::duration<double> latest(occupied);
    mean = mean.count() > 0 ? (1 - slotTimeWeight) * mean + slotTimeWeight * latest : latest;
}

void DemandMeter::resetQueued()
{
    for (auto& [service, state] : m_services) {
        for (auto& [priority, it] : state.levels)
            it.queued = 0;
    }
}

void DemandMeter::onQueued(TimePoint now, const ServiceName& service, unsigned priority)
{
    ++level(service, priority).queued;
    m_services[service].shortUntil = now + shortageTime;
}

bool DemandMeter::isShort(const ServiceName& service, TimePoint now) const
{
    auto it = m_services.find(service);
    return it != m_services.end() && it->second.shortUntil > now;
}

std::chrono::duration<double> DemandMeter::slotTime(const ServiceName& service) const
{
    auto it = m_services.find(service);
    return it == m_services.end() ? std::chrono::duration<double>(0) : it->second.slotTime;
}

double DemandMeter::admittedShare(const ServiceName& service, unsigned priority, TimePoint now) const
{
    auto it = m_services.find(service);
    if (it == m_services.end())
        return 1;
    double arrivals = 0;
    double admissions = 0;
    for (auto& [level, state] : it->second.levels) {
        if (level >= priority)
            break;
        arrivals += state.arrivals.at(now, rateWindow);
        admissions += state.admissions.at(now, rateWindow);
    }
    // Less than one arrival within the window says nothing.
    return arrivals < 1 ? 1 : std::min(1.0, admissions / arrivals);
}

ServiceDemand DemandMeter::demand(const ServiceName& service, TimePoint now) const
{
    ServiceDemand demand { service, {}, {} };
    auto it = m_services.find(service);
    if (it == m_services.end())
        return demand;
    double perSecond = 1 / std::chrono::duration<double>(rateWindow).count();
    for (auto& [priority, state] : it->second.levels)
        demand.priorities.push_back({ priority, state.queued, 0, perSecond * state.arrivals.at(now, rateWindow), timeSince(state.admittedAt, now), timeSince(state.refusedAt, now) });
    return demand;
}

std::vector<ServiceDemand> DemandMeter::shortDemands(TimePoint now) const
{
    std::vector<ServiceDemand> demands;
    for (auto& [service, state] : m_services) {
        if (state.shortUntil > now)
            demands.push_back(demand(service, now));
    }
    return demands;
}

} // namespace swiftloft::gateway::admission
