#include "src/gateway/server-limits.h"

namespace swiftloft::gateway {

bool ServerLimits::onAnswer(TimePoint now, ServerHash server, TimePoint sentAt, const std::optional<NamedLimit>& limit)
{
    auto it = m_words.find(server);
    if (!limit) {
        // Answers on different connections overtake each other: only one to a request sent after the limit was heard ends it.
        bool isEnd = it != m_words.end() && sentAt > it->second.heardAt;
        if (isEnd)
            m_words.erase(it);
        return isEnd;
    }
    if (!limit->rate)
        return false;
    bool isNew = it == m_words.end() || it->second.rate != *limit->rate;
    m_words[server] = { *limit->rate, now };
    return isNew;
}

std::optional<RequestRate> ServerLimits::limitOf(ServerHash server) const
{
    auto it = m_words.find(server);
    return it == m_words.end() ? std::nullopt : std::optional(it->second.rate);
}

} // namespace swiftloft::gateway
