#include "src/gateway/server-rests.h"

#include <swiftloft/membership/rendezvous.h>

#include <algorithm>
#include <limits>

namespace swiftloft::gateway {

void ServerRests::setEntry(const Endpoint& control)
{
    m_entryKey = keyOf(control);
}

Clock::duration ServerRests::spreadOf(ServerHash server, Clock::duration rest) const
{
    auto score = membership::rendezvousScore(m_entryKey, server.value());
    auto share = static_cast<double>(score) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    auto most = std::min<std::chrono::duration<double>>(spreadPart * rest, mostSpread);
    return std::chrono::duration_cast<Clock::duration>(share * most);
}

bool ServerRests::onAsked(TimePoint now, ServerHash server, const NamedRest& rest)
{
    auto until = rest.until.value_or(now + unreadableRest);
    if (until <= now)
        return false;
    bool isNew = !endOf(server, now);
    auto& endsAt = m_endsAt[server];
    endsAt = std::max(endsAt, until + spreadOf(server, until - now));
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
