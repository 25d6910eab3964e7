#include "src/gateway/server-limits.h"

#include "src/gateway/snapshot.h"

#include <swiftloft/membership/rendezvous.h>

#include <algorithm>
#include <cmath>

namespace swiftloft::gateway {

namespace {

/// Upper bound of a computed wait: the waits for tiny limits would overflow the duration.
constexpr std::chrono::duration<double> maxWait { 3600 };

Clock::duration timeToEarn(double requests, double rate)
{
    auto wait = std::chrono::duration<double>(requests / rate);
    return std::chrono::ceil<Clock::duration>(std::min(wait, maxWait));
}

} // namespace

bool ServerLimits::onResponse(TimePoint now, ServerHash server, TimePoint sentAt, const std::optional<AdvertisedLimit>& limit)
{
    auto it = m_limits.find(server);
    bool isKnown = it != m_limits.end() && it->second.rate;
    if (!limit) {
        // Responses on different connections arrive out of order: a limit is ended only by the response to a request
        // that was sent after the limit was received.
        bool isEnd = isKnown && sentAt > it->second.reportedAt;
        if (!isEnd)
            return false;
        ++m_localVersion;
        return update(now, server, std::nullopt, now);
    }
    if (!limit->rate)
        return false;
    bool isStale = isKnown && it->second.reportedAt + refreshInterval < now;
    bool isNew = update(now, server, limit->rate, now);
    m_localVersion += isNew || isStale ? 1 : 0;
    return isNew;
}

bool ServerLimits::onPeerReport(TimePoint now, const LimitReport& report)
{
    auto reportedAt = now - report.age;
    auto it = m_limits.find(report.server);
    if (it != m_limits.end() && it->second.reportedAt >= reportedAt)
        return false;
    return update(now, report.server, report.rate, reportedAt);
}

bool ServerLimits::update(TimePoint now, ServerHash server, std::optional<RequestRate> rate, TimePoint reportedAt)
{
    auto [it, isUnknown] = m_limits.try_emplace(server);
    auto& state = it->second;
    bool isNew = state.rate != rate;
    state.reportedAt = reportedAt;
    if (!isNew)
        return false;
    bool isFirst = !state.rate;
    state.rate = rate;
    if (isFirst) {
        state.permitsUpdatedAt = now;
        state.position = positionOf(server);
        // The holders start with different numbers of permits. If all of them started with none, they would all send
        // their first request at the same moment.
        state.permits = std::min(static_cast<double>(state.position) / holderCount(*rate), 1.0);
    }
    updateShare(now, state);
    return true;
}

void ServerLimits::setFleet(TimePoint now, const Snapshot& snapshot)
{
    m_members.clear();
    auto add = [&](const EntryMember& entry, bool isSelf) { m_members.push_back({ keyOf(entry.control), entry.dataCentre, isSelf }); };
    if (snapshot.isReady)
        add(snapshot.self, true);
    for (auto& entry : snapshot.entries) {
        if (entry.state == EntryState::Serving)
            add(entry, false);
    }
    // In a network partition, each side of the fleet would otherwise distribute the whole limit among its own entries.
    auto maxEntries = std::max(snapshot.maxEntries, m_members.size());
    m_visibleShare = maxEntries > 0 ? static_cast<double>(m_members.size()) / static_cast<double>(maxEntries) : 1;
    if (m_limits.empty())
        return;
    std::set<ServerHash> listed;
    for (auto& server : snapshot.servers)
        listed.insert(hashOf(server.incarnation()));
    std::erase_if(m_limits, [&](auto& it) {
        auto& [server, state] = it;
        bool isOver = !state.rate && state.reportedAt + endPropagationTime <= now;
        return isOver || (!listed.contains(server) && state.reportedAt + unlistedRetention <= now);
    });
    for (auto& [server, state] : m_limits) {
        state.position = positionOf(server);
        updateShare(now, state);
    }
}

double ServerLimits::holderCount(RequestRate rate) const
{
    return std::clamp(minHolders + std::floor(rate.value()), 1.0, std::max<double>(1, static_cast<double>(m_members.size())));
}

/// Returns the position of this entry in the order for `server`: after all others if this entry does not serve. The
/// first entry of each data centre comes before the second of any, so that the clients of each data centre find an
/// entry that may send.
std::size_t ServerLimits::positionOf(ServerHash server) const
{
    auto scoreOf = [&](const Member& member) { return membership::rendezvousScore(member.key, server.value()); };
    auto self = std::find_if(m_members.begin(), m_members.end(), [](auto& it) { return it.isSelf; });
    if (self == m_members.end())
        return m_members.size();
    std::map<DataCentreName, std::vector<std::uint64_t>> scores;
    for (auto& member : m_members)
        scores[member.dataCentre].push_back(scoreOf(member));
    auto ownScore = scoreOf(*self);
    auto above = [](const std::vector<std::uint64_t>& all, std::uint64_t score) { return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](auto it) { return it > score; })); };
    auto level = above(scores[self->dataCentre], ownScore);
    std::size_t position = 0;
    for (auto& [dataCentre, all] : scores) {
        std::sort(all.begin(), all.end(), std::greater<>());
        position += std::min(level, all.size());
        bool isBefore = level < all.size() && all[level] > ownScore;
        position += isBefore ? 1 : 0;
    }
    return position;
}

void ServerLimits::updateShare(TimePoint now, LimitState& state) const
{
    state.permits = permitsAt(state, now);
    state.permitsUpdatedAt = now;
    auto holders = state.rate ? holderCount(*state.rate) : 0;
    bool isHolder = static_cast<double>(state.position) < holders;
    state.share = isHolder ? state.rate->value() * m_visibleShare / holders : 0;
    if (!isHolder)
        state.permits = 0;
}

double ServerLimits::permitsAt(const LimitState& state, TimePoint now) const
{
    auto maxPermits = 1 + state.share * std::chrono::duration<double>(burstWindow).count();
    auto earned = state.share * std::chrono::duration<double>(now - state.permitsUpdatedAt).count();
    return std::min(state.permits + earned, maxPermits);
}

std::optional<RequestRate> ServerLimits::limitOf(ServerHash server) const
{
    auto it = m_limits.find(server);
    return it == m_limits.end() ? std::nullopt : it->second.rate;
}

TimePoint ServerLimits::nextSendTime(TimePoint now, ServerHash server) const
{
    auto it = m_limits.find(server);
    if (it == m_limits.end() || !it->second.rate)
        return now;
    auto& state = it->second;
    TimePoint at = std::max(state.reportedAt, state.probedAt) + probeDelay + static_cast<int>(state.position) * probeInterval;
    if (state.share > 0) {
        auto missing = 1 - permitsAt(state, now);
        at = std::min(at, missing <= 0 ? now : now + timeToEarn(missing, state.share));
    }
    return std::max(at, now);
}

void ServerLimits::onSend(TimePoint now, ServerHash server)
{
    auto it = m_limits.find(server);
    if (it == m_limits.end() || !it->second.rate)
        return;
    auto& state = it->second;
    state.permits = permitsAt(state, now);
    state.permitsUpdatedAt = now;
    if (state.permits >= 1)
        state.permits -= 1;
    else
        state.probedAt = now;
}

double ServerLimits::evenShare(ServerHash server) const
{
    auto rate = limitOf(server);
    return rate ? rate->value() * m_visibleShare / std::max<double>(1, static_cast<double>(m_members.size())) : 0;
}

std::vector<LimitReport> ServerLimits::reports(TimePoint now) const
{
    std::vector<LimitReport> reports;
    for (auto& [server, state] : m_limits) {
        auto age = std::chrono::duration_cast<milliseconds>(now - state.reportedAt);
        if (age < (state.rate ? propagationTime : endPropagationTime))
            reports.push_back({ server, state.rate, age });
    }
    if (reports.size() > maxReports) {
        std::nth_element(reports.begin(), reports.begin() + maxReports, reports.end(), [](auto& one, auto& other) { return one.age < other.age; });
        reports.resize(maxReports);
    }
    return reports;
}

} // namespace swiftloft::gateway
