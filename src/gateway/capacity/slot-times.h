#pragma once

#include "src/gateway/model.h"

#include <map>

namespace swiftloft::gateway::capacity {

/// How long the plain servers of a service take for a request, from the responses that this entry received. Answers the
/// load "a few servers of six slots, one of them slow": a request that finds all slots taken is queued only if a slot
/// becomes free in time. Bounded by the listed servers. Pure.
class SlotTimes {
public:
    /// Without a response for this long, nothing is known about the service.
    static constexpr milliseconds lifetime { 2000 };

    /// Sets the listed servers of the service and the number of their slots.
    void setServers(const std::map<ServerIncarnation, std::uint32_t>& slots);
    void onResponse(TimePoint now, const ServerIncarnation& server, Clock::duration time);

    /// Expected time until `requests` slots have become free, if all are taken; unset while too little is known.
    /// Requests that wait at other entries are not counted, so the real time is not shorter.
    std::optional<Clock::duration> timeUntilFree(TimePoint now, std::size_t requests) const;
    /// Mean and mean deviation of the time of a request, over the servers; unset while too little is known.
    struct ServiceTime {
        Clock::duration mean {};
        Clock::duration deviation {};
    };
    std::optional<ServiceTime> serviceTime(TimePoint now) const;
    TimePoint newestAt() const { return m_newestAt; }

private:
    struct Server {
        std::uint32_t slots { 1 };
        /// Seconds; 0 until a response has come.
        double mean { 0 };
        double deviation { 0 };
    };

    bool isKnown(TimePoint now) const { return m_newestAt != TimePoint {} && m_newestAt + lifetime > now; }

    std::map<ServerIncarnation, Server> m_servers;
    TimePoint m_newestAt {};
};

} // namespace swiftloft::gateway::capacity
