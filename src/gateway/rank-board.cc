#include "src/gateway/rank-board.h"

#include <algorithm>
#include <cmath>

namespace swiftloft::gateway {

namespace {

/// Nothing is decided by a difference as small as this.
constexpr double paceMargin { 0.1 };

bool isPaceAlike(double one, double other)
{
    return std::abs(one - other) <= paceMargin * std::min(one, other);
}

} // namespace

RankBoard::Change RankBoard::onNews(TimePoint now, const RankStatus& news)
{
    auto it = m_ranks.find(news.address);
    // Failure: a late datagram about the life before would close or open a rank that has started again since.
    bool isOfEndedLife = it != m_ranks.end() && news.startedAt < it->second.news.startedAt;
    if (isOfEndedLife)
        return {};
    bool isNewEpoch = it == m_ranks.end() || it->second.news.epoch != news.epoch || it->second.news.group != news.group;
    bool isChange = isNewEpoch || it->second.news.isOpen != news.isOpen || !isPaceAlike(it->second.news.pace, news.pace);
    m_ranks[news.address] = { news, now };
    auto& group = m_groups.try_emplace(news.group, Group { news.epoch, now, {} }).first->second;
    if (group.epoch < news.epoch) {
        group.epoch = news.epoch;
        group.heardAt = now;
    }
    // Every other rank of the group has opened as well.
    bool hasGroupOpened = news.isOpen && group.openEpoch < news.epoch;
    if (hasGroupOpened)
        group.openEpoch = news.epoch;
    return { isChange || hasGroupOpened, isNewEpoch };
}

/// Failure: all ranks of a group open in one moment, and their agents say so over the next tenth of a second. Until then
/// the first one heard of is the only server with room: after a loss of power all entries send it all that waits, and most of
/// that is turned away. Where one rank is open in a later epoch, all of them are.
bool RankBoard::isClosed(const RankStatus& news) const
{
    return !news.isOpen && news.epoch >= m_groups.at(news.group).openEpoch;
}

bool RankBoard::onDegradedTold(TimePoint now, const Endpoint& teller, std::span<const DegradedRank> degraded)
{
    auto& before = m_degradedBy[teller];
    auto isSame = [](auto& one, auto& other) { return one.address == other.address && one.isOpen == other.isOpen && isPaceAlike(one.pace, other.pace); };
    bool isChange = !std::equal(before.begin(), before.end(), degraded.begin(), degraded.end(), isSame);
    before.clear();
    // The age is that of the agent's word, so a teller that is cut off from the agents does not keep a rank degraded.
    for (auto& it : degraded)
        before.push_back({ it.address, now - it.age, it.isOpen, it.pace });
    return isChange;
}

std::vector<DegradedRank> RankBoard::degraded(TimePoint now) const
{
    std::vector<DegradedRank> degraded;
    for (auto& [address, rank] : m_ranks) {
        bool isOpen = !isClosed(rank.news);
        bool isDegraded = !isOpen || rank.news.pace >= slowPace;
        if (isDegraded && rank.heardAt + degradedToldFor > now)
            degraded.push_back({ address, std::chrono::duration_cast<milliseconds>(now - rank.heardAt), isOpen, rank.news.pace });
    }
    return degraded;
}

std::vector<Snapshot::Rank> RankBoard::ranks() const
{
    std::vector<Snapshot::Rank> ranks;
    for (auto& [address, rank] : m_ranks) {
        ranks.push_back(rank);
        ranks.back().news.isOpen = !isClosed(rank.news);
    }
    return ranks;
}

std::vector<Snapshot::DegradedElsewhere> RankBoard::degradedElsewhere(TimePoint now) const
{
    std::vector<Snapshot::DegradedElsewhere> degraded;
    for (auto& [teller, told] : m_degradedBy) {
        for (auto& rank : told) {
            auto own = m_ranks.find(rank.address);
            bool isKnownBetter = own != m_ranks.end() && own->second.heardAt >= rank.heardAt;
            if (rank.heardAt + degradedToldFor > now && !isKnownBetter)
                degraded.push_back(rank);
        }
    }
    return degraded;
}

GroupBrief RankBoard::briefOf(TimePoint now, const RankStatus& news, const EngineTraits& traits) const
{
    GroupBrief brief { news.group, news.epoch, traits, {} };
    for (auto& [address, rank] : m_ranks) {
        bool isMember = rank.news.group == news.group && rank.news.epoch == news.epoch && rank.heardAt + newsFor > now;
        if (isMember)
            brief.ranks.push_back({ rank.news.rank, address });
    }
    return brief;
}

GroupBrief RankBoard::nextBrief(TimePoint now, const Endpoint& address, const EngineTraits& traits, bool isNear)
{
    auto rank = m_ranks.find(address);
    bool isHeard = rank != m_ranks.end() && rank->second.heardAt + newsFor > now;
    if (!isHeard)
        return {};
    auto& news = rank->second.news;
    bool isLeftToOthers = !isNear && (news.knowsGroup || now < m_groups.at(news.group).heardAt + nearToldWithin);
    if (isLeftToOthers)
        return {};
    auto brief = briefOf(now, news, traits);
    auto& told = m_told[address];
    bool isNew = told.group != news.group || told.epoch != news.epoch || told.ranks < brief.ranks.size();
    if (!isNew && news.knowsGroup && now < told.againAt)
        return {};
    told = { news.group, news.epoch, brief.ranks.size(), now + toldAgainAfter };
    return brief;
}

} // namespace swiftloft::gateway
