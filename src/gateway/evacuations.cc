#include "src/gateway/evacuations.h"

#include "src/log/logger.h"

#include <algorithm>

namespace swiftloft::gateway {

bool Evacuations::onListed(TimePoint now, const PublishedItems& items)
{
    Requests requests;
    for (auto& item : items.evacuations) {
        if (item.problem.empty())
            requests.emplace(DataCentreName(item.name), item.position());
    }
    return update(now, items.position(), std::move(requests));
}

bool Evacuations::onChanged(TimePoint now, const PublishedItems& items)
{
    auto changes = items.evacuations;
    std::stable_sort(changes.begin(), changes.end(), [](auto& one, auto& other) { return one.position() < other.position(); });
    auto requests = m_requests;
    for (auto& item : changes) {
        // The state may come from another entry and include this change and later ones.
        if (item.position() <= m_asOf)
            continue;
        DataCentreName dataCentre(item.name);
        if (item.isRemoved || !item.problem.empty())
            requests.erase(dataCentre);
        else
            requests.try_emplace(dataCentre, item.position());
    }
    return update(now, items.position(), std::move(requests));
}

bool Evacuations::onPeerReport(TimePoint now, const EvacuationReport& report)
{
    Requests requests;
    for (auto& it : report.evacuations)
        requests.emplace(it.dataCentre, it.requestedAt);
    return update(now, report.asOf, std::move(requests));
}

bool Evacuations::update(TimePoint now, StorePosition asOf, Requests requests)
{
    if (asOf <= m_asOf)
        return false;
    m_asOf = asOf;
    std::erase_if(m_endedAt, [&](auto& it) { return it.second + endRetention <= now; });
    bool isChanged = false;
    for (auto& [dataCentre, requestedAt] : requests) {
        if (m_requests.contains(dataCentre))
            continue;
        isChanged = true;
        m_endedAt.erase(dataCentre);
        log::write(log::Event::EvacuationBegan, "data-centre={} era={} revision={}", dataCentre.value(), requestedAt.era.value(), requestedAt.revision);
    }
    for (auto& [dataCentre, requestedAt] : m_requests) {
        if (requests.contains(dataCentre))
            continue;
        isChanged = true;
        m_endedAt[dataCentre] = now;
        log::write(log::Event::EvacuationEnded, "data-centre={} era={} revision={}", dataCentre.value(), asOf.era.value(), asOf.revision);
    }
    m_requests = std::move(requests);
    return isChanged;
}

std::optional<TimePoint> Evacuations::endedAt(const DataCentreName& dataCentre) const
{
    auto it = m_endedAt.find(dataCentre);
    return it == m_endedAt.end() ? std::nullopt : std::optional(it->second);
}

EvacuationReport Evacuations::report() const
{
    EvacuationReport report { m_asOf, {} };
    for (auto& [dataCentre, requestedAt] : m_requests)
        report.evacuations.push_back({ dataCentre, requestedAt });
    return report;
}

} // namespace swiftloft::gateway
