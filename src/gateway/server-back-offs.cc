#include "src/gateway/server-back-offs.h"

#include <swiftloft/membership/rendezvous.h>

#include <algorithm>
#include <limits>

namespace swiftloft::gateway {

void ServerBackOffs::setEntry(const Endpoint& control)
{
    m_entryKey = keyOf(control);
}

Clock::duration ServerBackOffs::jitterOf(ServerHash server, Clock::duration backOff) const
{
    auto score = membership::rendezvousScore(m_entryKey, server.value());
    auto share = static_cast<double>(score) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    auto bound = std::min<std::chrono::duration<double>>(jitterShare * backOff, maxJitter);
    return std::chrono::duration_cast<Clock::duration>(share * bound);
}

bool ServerBackOffs::onRequested(TimePoint now, ServerHash server, const RequestedBackOff& backOff)
{
    auto until = backOff.until.value_or(now + defaultBackOff);
    if (until <= now)
        return false;
    bool isNew = !endOf(server, now);
    auto& endsAt = m_endsAt[server];
    endsAt = std::max(endsAt, until + jitterOf(server, until - now));
    return isNew;
}

std::optional<TimePoint> ServerBackOffs::endOf(ServerHash server, TimePoint now) const
{
    auto it = m_endsAt.find(server);
    return it == m_endsAt.end() || it->second <= now ? std::nullopt : std::optional(it->second);
}

void ServerBackOffs::removeExpired(TimePoint now)
{
    std::erase_if(m_endsAt, [&](auto& it) { return it.second <= now; });
}

} // namespace swiftloft::gateway
