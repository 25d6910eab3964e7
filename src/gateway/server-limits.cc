#include "src/gateway/server-limits.h"

#include "src/gateway/snapshot.h"

#include <swiftloft/membership/rendezvous.h>

#include <algorithm>
#include <cmath>

namespace swiftloft::gateway {

namespace {

/// No wait is computed beyond this: the shares of tiny limits would exceed what a duration holds.
constexpr std::chrono::duration<double> longestWait { 3600 };

Clock::duration waitFor(double requests, double rate)
{
    auto wait = std::chrono::duration<double>(requests / rate);
    return std::chrono::ceil<Clock::duration>(std::min(wait, longestWait));
}

} // namespace

bool ServerLimits::onAnswer(TimePoint now, ServerHash server, TimePoint sentAt, const std::optional<NamedLimit>& limit)
{
    auto it = m_words.find(server);
    bool isKnown = it != m_words.end() && it->second.rate;
    if (!limit) {
        // Answers on different connections overtake each other: only one to a request sent after the limit was heard ends it.
        bool isEnd = isKnown && sentAt > it->second.heardAt;
        if (!isEnd)
            return false;
        ++m_newsHeard;
        return take(now, server, std::nullopt, now);
    }
    if (!limit->rate)
        return false;
    bool isQuiet = isKnown && it->second.heardAt + newsAfter < now;
    bool isNew = take(now, server, limit->rate, now);
    m_newsHeard += isNew || isQuiet ? 1 : 0;
    return isNew;
}

bool ServerLimits::onTold(TimePoint now, const LimitReport& word)
{
    auto heardAt = now - word.age;
    auto it = m_words.find(word.server);
    if (it != m_words.end() && it->second.heardAt >= heardAt)
        return false;
    return take(now, word.server, word.rate, heardAt);
}

bool ServerLimits::take(TimePoint now, ServerHash server, std::optional<RequestRate> rate, TimePoint heardAt)
{
    auto [it, isUnknown] = m_words.try_emplace(server);
    auto& word = it->second;
    bool isNew = word.rate != rate;
    word.heardAt = heardAt;
    if (!isNew)
        return false;
    bool isFirst = !word.rate;
    word.rate = rate;
    if (isFirst) {
        word.countedAt = now;
        word.place = placeFor(server);
        // Holders that all began with nothing would all send their first request in the same moment.
        word.saved = std::min(static_cast<double>(word.place) / holdersOf(*rate), 1.0);
    }
    setShare(now, word);
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
    // Failure: the fleet is split, and each side shares out the whole limit.
    auto mayExist = std::max(snapshot.entriesThatMayExist, m_members.size());
    m_partInSight = mayExist > 0 ? static_cast<double>(m_members.size()) / static_cast<double>(mayExist) : 1;
    if (m_words.empty())
        return;
    std::set<ServerHash> listed;
    for (auto& server : snapshot.servers)
        listed.insert(hashOf(server.life()));
    std::erase_if(m_words, [&](auto& it) {
        auto& [server, word] = it;
        bool isOver = !word.rate && word.heardAt + endToldFor <= now;
        return isOver || (!listed.contains(server) && word.heardAt + keptUnlisted <= now);
    });
    for (auto& [server, word] : m_words) {
        word.place = placeFor(server);
        setShare(now, word);
    }
}

double ServerLimits::holdersOf(RequestRate rate) const
{
    return std::clamp(leastHolders + std::floor(rate.value()), 1.0, std::max<double>(1, static_cast<double>(m_members.size())));
}

/// The place of this entry in the order for `server`: behind all others where it does not serve. The first of each data centre
/// come first, so that the clients of each find an entry that may send there.
std::size_t ServerLimits::placeFor(ServerHash server) const
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
    std::size_t place = 0;
    for (auto& [dataCentre, all] : scores) {
        std::sort(all.begin(), all.end(), std::greater<>());
        place += std::min(level, all.size());
        bool isBefore = level < all.size() && all[level] > ownScore;
        place += isBefore ? 1 : 0;
    }
    return place;
}

void ServerLimits::setShare(TimePoint now, Word& word) const
{
    word.saved = savedBy(word, now);
    word.countedAt = now;
    auto holders = word.rate ? holdersOf(*word.rate) : 0;
    bool isHolder = static_cast<double>(word.place) < holders;
    word.share = isHolder ? word.rate->value() * m_partInSight / holders : 0;
    if (!isHolder)
        word.saved = 0;
}

double ServerLimits::savedBy(const Word& word, TimePoint now) const
{
    auto most = 1 + word.share * std::chrono::duration<double>(savedFor).count();
    auto gained = word.share * std::chrono::duration<double>(now - word.countedAt).count();
    return std::min(word.saved + gained, most);
}

std::optional<RequestRate> ServerLimits::limitOf(ServerHash server) const
{
    auto it = m_words.find(server);
    return it == m_words.end() ? std::nullopt : it->second.rate;
}

TimePoint ServerLimits::maySendAt(TimePoint now, ServerHash server) const
{
    auto it = m_words.find(server);
    if (it == m_words.end() || !it->second.rate)
        return now;
    auto& word = it->second;
    TimePoint at = std::max(word.heardAt, word.askedAt) + askAfter + static_cast<int>(word.place) * askEvery;
    if (word.share > 0) {
        auto lacking = 1 - savedBy(word, now);
        at = std::min(at, lacking <= 0 ? now : now + waitFor(lacking, word.share));
    }
    return std::max(at, now);
}

void ServerLimits::onSend(TimePoint now, ServerHash server)
{
    auto it = m_words.find(server);
    if (it == m_words.end() || !it->second.rate)
        return;
    auto& word = it->second;
    word.saved = savedBy(word, now);
    word.countedAt = now;
    if (word.saved >= 1)
        word.saved -= 1;
    else
        word.askedAt = now;
}

double ServerLimits::evenShareOf(ServerHash server) const
{
    auto rate = limitOf(server);
    return rate ? rate->value() * m_partInSight / std::max<double>(1, static_cast<double>(m_members.size())) : 0;
}

std::vector<LimitReport> ServerLimits::words(TimePoint now) const
{
    std::vector<LimitReport> words;
    for (auto& [server, word] : m_words) {
        auto age = std::chrono::duration_cast<milliseconds>(now - word.heardAt);
        if (age < (word.rate ? toldFor : endToldFor))
            words.push_back({ server, word.rate, age });
    }
    if (words.size() > mostTold) {
        std::nth_element(words.begin(), words.begin() + mostTold, words.end(), [](auto& one, auto& other) { return one.age < other.age; });
        words.resize(mostTold);
    }
    return words;
}

} // namespace swiftloft::gateway
