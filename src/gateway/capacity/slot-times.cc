#include "src/gateway/capacity/slot-times.h"

#include <cmath>

namespace swiftloft::gateway::capacity {

namespace {

/// Weight of one response in a server's mean.
constexpr double responseWeight = 0.1;

Clock::duration duration(double seconds)
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void SlotTimes::setServers(const std::map<ServerIncarnation, std::uint32_t>& slots)
{
    std::erase_if(m_servers, [&](auto& it) { return !slots.contains(it.first); });
    for (auto& [incarnation, n] : slots)
        m_servers[incarnation].slots = n;
}

void SlotTimes::onResponse(TimePoint now, const ServerIncarnation& server, Clock::duration time)
{
    auto it = m_servers.find(server);
    if (it == m_servers.end())
        return;
    m_newestAt = now;
    double value = std::chrono::duration<double>(time).count();
    auto& known = it->second;
    if (known.mean <= 0) {
        known.mean = value;
        return;
    }
    known.deviation += responseWeight * (std::abs(value - known.mean) - known.deviation);
    known.mean += responseWeight * (value - known.mean);
}

std::optional<Clock::duration> SlotTimes::timeUntilFree(TimePoint now, std::size_t requests) const
{
    double freedPerSecond = 0;
    for (auto& [incarnation, server] : m_servers) {
        // A server without a response may be as fast as any: nothing is refused because of it.
        if (server.mean <= 0)
            return std::nullopt;
        freedPerSecond += server.slots / server.mean;
    }
    if (!isKnown(now) || freedPerSecond <= 0)
        return std::nullopt;
    return duration(static_cast<double>(requests) / freedPerSecond);
}

std::optional<SlotTimes::ServiceTime> SlotTimes::serviceTime(TimePoint now) const
{
    double slots = 0;
    double mean = 0;
    double deviation = 0;
    for (auto& [incarnation, server] : m_servers) {
        if (server.mean <= 0)
            continue;
        slots += server.slots;
        mean += server.slots * server.mean;
        deviation += server.slots * server.deviation;
    }
    if (!isKnown(now) || slots <= 0)
        return std::nullopt;
    return ServiceTime { duration(mean / slots), duration(deviation / slots) };
}

} // namespace swiftloft::gateway::capacity
