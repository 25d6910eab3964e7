#include "src/gateway/admission/peer-demand.h"

#include <algorithm>

namespace swiftloft::gateway::admission {

namespace {

void addTo(ServiceDemand& sum, const ServiceDemand& demand)
{
    for (auto& it : demand.priorities) {
        auto known = std::find_if(sum.priorities.begin(), sum.priorities.end(), [&](auto& other) { return other.priority == it.priority; });
        if (known == sum.priorities.end()) {
            sum.priorities.push_back(it);
            continue;
        }
        known->queued += it.queued;
        known->returning += it.returning;
        known->arrivalsPerSecond += it.arrivalsPerSecond;
        known->sinceAdmitted = std::min(known->sinceAdmitted, it.sinceAdmitted);
        known->sinceRefused = std::min(known->sinceRefused, it.sinceRefused);
    }
    for (auto& it : demand.organisations) {
        auto known = std::find_if(sum.organisations.begin(), sum.organisations.end(), [&](auto& other) { return other.organisation == it.organisation; });
        if (known == sum.organisations.end())
            sum.organisations.push_back(it);
        else
            known->work += it.work;
    }
}

void addTo(std::vector<ServiceDemand>& sums, const ServiceDemand& demand)
{
    auto it = std::find_if(sums.begin(), sums.end(), [&](auto& sum) { return sum.service == demand.service; });
    if (it == sums.end())
        sums.push_back(demand);
    else
        addTo(*it, demand);
}

} // namespace

void PeerDemand::setFleet(TimePoint now, const Snapshot& snapshot)
{
    m_remoteEntries.clear();
    m_remoteReports.clear();
    if (!snapshot.isLoadSharedLocally)
        return;
    for (auto& entry : snapshot.entries) {
        if (entry.dataCentre != snapshot.dataCentre)
            m_remoteEntries.insert(entry.incarnation);
    }
    for (auto& it : snapshot.remoteDemands)
        m_remoteReports.push_back({ it.demand, std::min(now, it.receivedAt) });
}

void PeerDemand::onUpdate(TimePoint now, const LoadUpdate& update)
{
    expireSilentPeers(now);
    if (update.demands.empty() || (m_peers.size() >= maxPeers && !m_peers.contains(update.incarnation)))
        return;
    auto& peer = m_peers[update.incarnation];
    if (update.sequence <= peer.sequence)
        return;
    peer.sequence = update.sequence;
    peer.receivedAt = now;
    for (auto& demand : update.demands) {
        std::erase_if(peer.reports, [&](auto& it) { return it.demand.service == demand.service; });
        if (!demand.priorities.empty() && peer.reports.size() < maxServicesPerPeer)
            peer.reports.push_back({ demand, now });
    }
}

void PeerDemand::expireSilentPeers(TimePoint now)
{
    std::erase_if(m_peers, [&](auto& it) { return it.second.receivedAt + reportLifetime <= now; });
}

void PeerDemand::forEach(const ServiceName& service, TimePoint now, const Visitor& visit) const
{
    for (auto& [incarnation, peer] : m_peers) {
        if (m_remoteEntries.contains(incarnation))
            continue;
        for (auto& report : peer.reports) {
            if (report.demand.service == service && report.receivedAt + reportLifetime > now)
                visit(report.demand, report.receivedAt);
        }
    }
    for (auto& report : m_remoteReports) {
        if (report.demand.service == service)
            visit(report.demand, report.receivedAt);
    }
}

bool PeerDemand::isShort(const ServiceName& service, TimePoint now) const
{
    bool isShort = false;
    forEach(service, now, [&](auto&, auto) { isShort = true; });
    return isShort;
}

std::vector<ServiceDemand> PeerDemand::localSums(TimePoint now, std::vector<ServiceDemand> own) const
{
    for (auto& [incarnation, peer] : m_peers) {
        if (m_remoteEntries.contains(incarnation))
            continue;
        for (auto& report : peer.reports) {
            if (report.receivedAt + reportLifetime > now)
                addTo(own, report.demand);
        }
    }
    return own;
}

} // namespace swiftloft::gateway::admission
