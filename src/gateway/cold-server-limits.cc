#include "src/gateway/cold-server-limits.h"

#include "src/gateway/snapshot.h"

#include <swiftloft/membership/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <xxhash.h>

namespace swiftloft::gateway {

namespace {

using Keys = std::vector<membership::NodeKey>;

membership::NodeKey keyOfName(const DataCentreName& dataCentre)
{
    return membership::NodeKey(XXH3_64bits(dataCentre.value().data(), dataCentre.value().size()));
}

/// The part of `total` that falls to the participant at `position` when it is divided evenly among `count`.
unsigned evenPart(unsigned total, std::size_t position, std::size_t count)
{
    auto n = static_cast<unsigned>(count);
    return total / n + (position < total % n ? 1 : 0);
}

/// Number of `keys` that come before `self` in the order for `server`.
std::size_t positionOf(const Keys& keys, membership::NodeKey self, ServerHash server)
{
    auto ownScore = membership::rendezvousScore(self, server.value());
    return static_cast<std::size_t>(std::count_if(keys.begin(), keys.end(), [&](auto key) { return membership::rendezvousScore(key, server.value()) > ownScore; }));
}

/// The data centres that hold servers or entries. Remote entries may be unknown for a while; the servers are known to
/// every entry that sends requests.
Keys dataCentresOf(const Snapshot& snapshot)
{
    std::set<DataCentreName> dataCentres { snapshot.dataCentre };
    for (auto& server : snapshot.servers)
        dataCentres.insert(server.dataCentre);
    for (auto& entry : snapshot.entries)
        dataCentres.insert(entry.dataCentre);
    Keys keys;
    std::transform(dataCentres.begin(), dataCentres.end(), std::back_inserter(keys), keyOfName);
    return keys;
}

} // namespace

unsigned ColdServerLimits::permitsOf(RequestRate rate) const
{
    auto tolerated = std::floor(m_options.overshoot * rate.value() + m_options.slack);
    return static_cast<unsigned>(std::min(std::max(std::floor(rate.value()), 1.0), std::max(tolerated, 0.0)));
}

void ColdServerLimits::setFleet(TimePoint now, const Snapshot& snapshot)
{
    if (!m_settledAt)
        m_settledAt = now + settleTime;
    auto before = std::exchange(m_limits, {});
    if (!snapshot.configuration)
        return;
    auto dataCentres = dataCentresOf(snapshot);
    Keys roster;
    std::transform(snapshot.localRoster.begin(), snapshot.localRoster.end(), std::back_inserter(roster), keyOf);
    auto perDataCentre = (snapshot.maxEntries + dataCentres.size() - 1) / dataCentres.size();
    auto sharers = std::max<std::size_t>({ roster.size(), perDataCentre, 1 });
    for (auto& server : snapshot.servers) {
        auto* service = server.coldUntil > now ? snapshot.configuration->findService(server.service) : nullptr;
        if (!service || !service->coldRate)
            continue;
        auto hash = hashOf(server.incarnation());
        auto permits = evenPart(permitsOf(*service->coldRate), positionOf(dataCentres, keyOfName(snapshot.dataCentre), hash), dataCentres.size());
        auto& limit = m_limits[hash];
        limit.coldUntil = server.coldUntil;
        limit.permits = evenPart(permits, positionOf(roster, keyOf(snapshot.self.control), hash), sharers);
        limit.evenShare = service->coldRate->value() / static_cast<double>(std::max<std::size_t>(snapshot.maxEntries, 1));
        if (auto it = before.find(hash); it != before.end())
            limit.nextSendAt = it->second.nextSendAt;
    }
}

TimePoint ColdServerLimits::nextSendTime(TimePoint now, ServerHash server) const
{
    auto it = m_limits.find(server);
    if (it == m_limits.end() || it->second.coldUntil <= now)
        return now;
    auto& limit = it->second;
    if (limit.permits == 0)
        return limit.coldUntil;
    return std::max(now, std::min(limit.coldUntil, std::max(limit.nextSendAt, m_settledAt.value_or(now))));
}

void ColdServerLimits::onSend(TimePoint now, ServerHash server)
{
    auto it = m_limits.find(server);
    if (it != m_limits.end() && it->second.permits > 0)
        it->second.nextSendAt = now + std::chrono::ceil<Clock::duration>(permitInterval / static_cast<double>(it->second.permits));
}

double ColdServerLimits::evenShare(TimePoint now, ServerHash server) const
{
    return isCold(now, server) ? m_limits.at(server).evenShare : 0;
}

bool ColdServerLimits::isCold(TimePoint now, ServerHash server) const
{
    auto it = m_limits.find(server);
    return it != m_limits.end() && it->second.coldUntil > now;
}

} // namespace swiftloft::gateway
