#include "src/gateway/departures.h"

#include <algorithm>
#include <utility>

namespace swiftloft::gateway {

namespace {

std::vector<LeavingServer> latest(std::vector<LeavingServer> reports)
{
    if (reports.size() > Departures::maxReports) {
        std::nth_element(reports.begin(), reports.begin() + Departures::maxReports, reports.end(), [](auto& one, auto& other) { return one.remaining > other.remaining; });
        reports.resize(Departures::maxReports);
    }
    return reports;
}

} // namespace

bool Departures::setList(TimePoint now, StorePosition knownPosition, List list)
{
    auto before = std::exchange(m_list, std::move(list));
    // Reported with the next hello only: most other entries see the removal in their own lists, and a server whose list
    // entry expired may be back within moments.
    for (auto& [server, listed] : before) {
        if (!m_list.contains(server))
            update(now, server, knownPosition, now + propagationTime);
    }
    bool isAnnouncementDue = false;
    for (auto& [server, departure] : m_departures) {
        auto it = before.find(server);
        bool wasReady = it != before.end() && it->second.isReady;
        if (wasReady || !isListedReady(server) || !isLeaving(now, server))
            continue;
        departure.propagateUntil = now + propagationTime;
        isAnnouncementDue = true;
    }
    return isAnnouncementDue;
}

bool Departures::onAnnounced(TimePoint now, ServerHash server)
{
    return update(now, server, std::nullopt, now + propagationTime);
}

bool Departures::onRemoved(TimePoint now, ServerHash server, StorePosition at)
{
    return update(now, server, at, now + propagationTime);
}

bool Departures::onPeerReport(TimePoint now, const LeavingServer& report)
{
    return update(now, report.server, report.removedAt, now + std::min(report.remaining, propagationTime));
}

bool Departures::update(TimePoint now, ServerHash server, std::optional<StorePosition> removedAt, TimePoint propagateUntil)
{
    if (removedAt && isListedAgain(now, server, *removedAt))
        return false;
    auto [it, isNew] = m_departures.try_emplace(server, Departure { removedAt, propagateUntil, now + retentionTime });
    auto& known = it->second.removedAt;
    if (isNew || !known)
        return isNew;
    bool isLater = !removedAt || *removedAt > *known;
    if (isLater)
        it->second = { removedAt, propagateUntil, now + retentionTime };
    return isLater;
}

void Departures::onStoreUnreachable(TimePoint now)
{
    if (now < m_copyExpiredAt)
        onStoreRestored(now);
}

bool Departures::isListedAgain(TimePoint now, ServerHash server, StorePosition removedAt) const
{
    auto it = m_list.find(server);
    if (it == m_list.end() || it->second.at <= removedAt)
        return false;
    bool mayBeFromOldCopy = it->second.at.era > removedAt.era && now < m_copyExpiredAt;
    return !mayBeFromOldCopy;
}

bool Departures::isListedReady(ServerHash server) const
{
    auto it = m_list.find(server);
    return it != m_list.end() && it->second.isReady;
}

bool Departures::isLeaving(TimePoint now, ServerHash server) const
{
    auto it = m_departures.find(server);
    return it != m_departures.end() && !(it->second.removedAt && isListedAgain(now, server, *it->second.removedAt));
}

std::vector<LeavingServer> Departures::reports(TimePoint now) const
{
    std::vector<LeavingServer> reports;
    for (auto& [server, departure] : m_departures) {
        if (departure.propagateUntil > now)
            reports.push_back({ server, std::chrono::duration_cast<milliseconds>(departure.propagateUntil - now), departure.removedAt });
    }
    return latest(std::move(reports));
}

std::vector<LeavingServer> Departures::reportsForNewEntry(TimePoint now) const
{
    std::vector<LeavingServer> reports;
    for (auto& [server, departure] : m_departures) {
        if (departure.propagateUntil > now || isListedReady(server))
            reports.push_back({ server, propagationTime, departure.removedAt });
    }
    return latest(std::move(reports));
}

void Departures::tick(TimePoint now)
{
    for (auto& [server, departure] : m_departures) {
        if (m_list.contains(server))
            departure.retainUntil = now + retentionTime;
    }
    std::erase_if(m_departures, [&](auto& it) { return it.second.retainUntil <= now || !isLeaving(now, it.first); });
}

} // namespace swiftloft::gateway
