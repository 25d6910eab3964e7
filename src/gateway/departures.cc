#include "src/gateway/departures.h"

#include <algorithm>
#include <utility>

namespace swiftloft::gateway {

namespace {

std::vector<LeavingServer> latest(std::vector<LeavingServer> words)
{
    if (words.size() > Departures::mostTold) {
        std::nth_element(words.begin(), words.begin() + Departures::mostTold, words.end(), [](auto& one, auto& other) { return one.remaining > other.remaining; });
        words.resize(Departures::mostTold);
    }
    return words;
}

} // namespace

bool Departures::setList(TimePoint now, StorePosition knownTo, List list)
{
    auto before = std::exchange(m_list, std::move(list));
    // Told with the next hello only: most others see it in their own lists, and one that lapsed may be back in a moment.
    for (auto& [server, listed] : before) {
        if (!m_list.contains(server))
            take(now, server, knownTo, now + toldFor);
    }
    bool isNews = false;
    for (auto& [server, word] : m_words) {
        auto it = before.find(server);
        bool wasReady = it != before.end() && it->second.isReady;
        if (wasReady || !isListedReady(server) || !isLeaving(now, server))
            continue;
        word.toldUntil = now + toldFor;
        isNews = true;
    }
    return isNews;
}

bool Departures::onSaid(TimePoint now, ServerHash server)
{
    return take(now, server, std::nullopt, now + toldFor);
}

bool Departures::onRemoved(TimePoint now, ServerHash server, StorePosition at)
{
    return take(now, server, at, now + toldFor);
}

bool Departures::onTold(TimePoint now, const LeavingServer& word)
{
    return take(now, word.server, word.removedAt, now + std::min(word.remaining, toldFor));
}

bool Departures::take(TimePoint now, ServerHash server, std::optional<StorePosition> removedAt, TimePoint toldUntil)
{
    if (removedAt && isListedAgain(now, server, *removedAt))
        return false;
    auto [it, isNew] = m_words.try_emplace(server, Word { removedAt, toldUntil, now + keptFor });
    auto& known = it->second.removedAt;
    if (isNew || !known)
        return isNew;
    bool isLater = !removedAt || *removedAt > *known;
    if (isLater)
        it->second = { removedAt, toldUntil, now + keptFor };
    return isLater;
}

void Departures::onStoreLost(TimePoint now)
{
    if (now < m_copyLapsedAt)
        onStoreReturned(now);
}

bool Departures::isListedAgain(TimePoint now, ServerHash server, StorePosition removedAt) const
{
    auto it = m_list.find(server);
    if (it == m_list.end() || it->second.at <= removedAt)
        return false;
    bool mayBeOfCopy = it->second.at.era > removedAt.era && now < m_copyLapsedAt;
    return !mayBeOfCopy;
}

bool Departures::isListedReady(ServerHash server) const
{
    auto it = m_list.find(server);
    return it != m_list.end() && it->second.isReady;
}

bool Departures::isLeaving(TimePoint now, ServerHash server) const
{
    auto it = m_words.find(server);
    return it != m_words.end() && !(it->second.removedAt && isListedAgain(now, server, *it->second.removedAt));
}

std::vector<LeavingServer> Departures::words(TimePoint now) const
{
    std::vector<LeavingServer> words;
    for (auto& [server, word] : m_words) {
        if (word.toldUntil > now)
            words.push_back({ server, std::chrono::duration_cast<milliseconds>(word.toldUntil - now), word.removedAt });
    }
    return latest(std::move(words));
}

std::vector<LeavingServer> Departures::wordsForNewcomer(TimePoint now) const
{
    std::vector<LeavingServer> words;
    for (auto& [server, word] : m_words) {
        if (word.toldUntil > now || isListedReady(server))
            words.push_back({ server, toldFor, word.removedAt });
    }
    return latest(std::move(words));
}

void Departures::tick(TimePoint now)
{
    for (auto& [server, word] : m_words) {
        if (m_list.contains(server))
            word.keptUntil = now + keptFor;
    }
    std::erase_if(m_words, [&](auto& it) { return it.second.keptUntil <= now || !isLeaving(now, it.first); });
}

} // namespace swiftloft::gateway
