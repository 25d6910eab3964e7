#include "src/gateway/rank-registry.h"

#include <algorithm>
#include <cmath>

namespace swiftloft::gateway {

namespace {

/// A relative difference in pace that affects no decision.
constexpr double paceMargin { 0.1 };

bool isPaceAlike(double one, double other)
{
    return std::abs(one - other) <= paceMargin * std::min(one, other);
}

} // namespace

RankRegistry::Change RankRegistry::onStatus(TimePoint now, const RankStatus& status)
{
    auto it = m_ranks.find(status.address);
    // A late datagram about the previous incarnation is ignored, because it would close or open a rank that has
    // restarted since.
    bool isOldIncarnation = it != m_ranks.end() && status.startedAt < it->second.status.startedAt;
    if (isOldIncarnation)
        return {};
    bool isNewEpoch = it == m_ranks.end() || it->second.status.epoch != status.epoch || it->second.status.group != status.group;
    bool isChange = isNewEpoch || it->second.status.isOpen != status.isOpen || it->second.status.hasEngineEnded != status.hasEngineEnded || !isPaceAlike(it->second.status.pace, status.pace);
    m_ranks[status.address] = { status, now };
    auto& group = m_groups.try_emplace(status.group, Group { status.epoch, now, {} }).first->second;
    if (group.epoch < status.epoch) {
        group.epoch = status.epoch;
        group.firstSeenAt = now;
    }
    // All other ranks of the group have opened as well.
    bool hasGroupOpened = status.isOpen && group.openEpoch < status.epoch;
    if (hasGroupOpened)
        group.openEpoch = status.epoch;
    return { isChange || hasGroupOpened, isNewEpoch };
}

/// If one rank of a group is open in a later epoch than that of `status`, all ranks of the group are open. All ranks
/// open at the same moment, and their agents report it over the next tenth of a second. If only reported ranks counted,
/// the first one would be the only server with capacity during this time: after a power loss, all entries would send
/// all queued requests to it, and most would be rejected.
bool RankRegistry::isClosed(const RankStatus& status) const
{
    return !status.isOpen && status.epoch >= m_groups.at(status.group).openEpoch;
}

bool RankRegistry::onPeerDegradedRanks(TimePoint now, const Endpoint& peer, std::span<const DegradedRank> degraded)
{
    auto& previous = m_peerDegradedRanks[peer];
    auto isSame = [](auto& one, auto& other) { return one.address == other.address && one.isOpen == other.isOpen && one.hasEngineEnded == other.hasEngineEnded && isPaceAlike(one.pace, other.pace); };
    bool isChange = !std::equal(previous.begin(), previous.end(), degraded.begin(), degraded.end(), isSame);
    previous.clear();
    // The age is that of the agent's status, so a peer that is cut off from the agents does not keep a rank degraded.
    for (auto& it : degraded)
        previous.push_back({ it.address, now - it.age, it.isOpen, it.pace, it.hasEngineEnded });
    return isChange;
}

std::vector<DegradedRank> RankRegistry::degradedRanks(TimePoint now) const
{
    std::vector<DegradedRank> degraded;
    for (auto& [address, rank] : m_ranks) {
        bool isOpen = !isClosed(rank.status);
        bool isDegraded = !isOpen || rank.status.pace >= slowPace;
        if (isDegraded && rank.receivedAt + degradedPropagationTime > now)
            degraded.push_back({ address, std::chrono::duration_cast<milliseconds>(now - rank.receivedAt), isOpen, rank.status.pace, rank.status.hasEngineEnded });
    }
    return degraded;
}

std::vector<Snapshot::Rank> RankRegistry::ranks() const
{
    std::vector<Snapshot::Rank> ranks;
    for (auto& [address, rank] : m_ranks) {
        ranks.push_back(rank);
        ranks.back().status.isOpen = !isClosed(rank.status);
    }
    return ranks;
}

std::vector<Snapshot::DegradedReport> RankRegistry::peerDegradedRanks(TimePoint now) const
{
    std::vector<Snapshot::DegradedReport> degraded;
    for (auto& [peer, reports] : m_peerDegradedRanks) {
        for (auto& rank : reports) {
            auto own = m_ranks.find(rank.address);
            bool isOwnNewer = own != m_ranks.end() && own->second.receivedAt >= rank.reportedAt;
            if (rank.reportedAt + degradedPropagationTime > now && !isOwnNewer)
                degraded.push_back(rank);
        }
    }
    return degraded;
}

GroupBrief RankRegistry::briefOf(TimePoint now, const RankStatus& status, const EngineTraits& traits) const
{
    GroupBrief brief { status.group, status.epoch, traits, {} };
    for (auto& [address, rank] : m_ranks) {
        bool isMember = rank.status.group == status.group && rank.status.epoch == status.epoch && rank.receivedAt + reportLifetime > now;
        if (isMember)
            brief.ranks.push_back({ rank.status.rank, address });
    }
    return brief;
}

GroupBrief RankRegistry::nextBrief(TimePoint now, const Endpoint& address, const EngineTraits& traits, bool isLocal)
{
    auto rank = m_ranks.find(address);
    bool isCurrent = rank != m_ranks.end() && rank->second.receivedAt + reportLifetime > now;
    if (!isCurrent)
        return {};
    auto& status = rank->second.status;
    bool isLeftToLocalEntries = !isLocal && (status.knowsGroup || now < m_groups.at(status.group).firstSeenAt + localBriefTimeout);
    if (isLeftToLocalEntries)
        return {};
    auto brief = briefOf(now, status, traits);
    auto& sent = m_sentBriefs[address];
    bool isNew = sent.group != status.group || sent.epoch != status.epoch || sent.ranks < brief.ranks.size();
    if (!isNew && status.knowsGroup && now < sent.repeatAt)
        return {};
    sent = { status.group, status.epoch, brief.ranks.size(), now + briefRepeatInterval };
    return brief;
}

} // namespace swiftloft::gateway
