#include "src/gateway/server-rests.h"

#include <algorithm>

namespace swiftloft::gateway {

bool ServerRests::onAsked(TimePoint now, ServerHash server, const NamedRest& rest)
{
    auto until = rest.until.value_or(now + unreadableRest);
    if (until <= now)
        return false;
    bool isNew = !endOf(server, now);
    auto& endsAt = m_endsAt[server];
    endsAt = std::max(endsAt, until);
    return isNew;
}

std::optional<TimePoint> ServerRests::endOf(ServerHash server, TimePoint now) const
{
    auto it = m_endsAt.find(server);
    return it == m_endsAt.end() || it->second <= now ? std::nullopt : std::optional(it->second);
}

void ServerRests::forgetEnded(TimePoint now)
{
    std::erase_if(m_endsAt, [&](auto& it) { return it.second <= now; });
}

} // namespace swiftloft::gateway
