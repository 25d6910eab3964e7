#pragma once

#include "src/gateway/admission/decaying-sum.h"
#include "src/gateway/control-message.h"

#include <map>
#include <vector>

namespace swiftloft::gateway::admission {

/// Less urgent priorities than this are treated as this one, so that the state of a service is bounded.
constexpr unsigned leastUrgentPriority = 15;

/// Measures the requests that one entry receives, by service and priority, and whether the entry is short of capacity
/// for them: what other entries need to know of it. Pure: the time is passed in with each call.
class DemandMeter {
public:
    /// A service counts as short of capacity for this long after a request has last waited for a server or was refused.
    static constexpr milliseconds shortageTime { 1000 };
    static constexpr milliseconds rateWindow { 1000 };

    void onArrived(TimePoint now, const ServiceName& service, unsigned priority);
    /// A request was sent to a server for the first time.
    void onAdmitted(TimePoint now, const ServiceName& service, unsigned priority);
    /// A request was refused for lack of capacity.
    void onRefused(TimePoint now, const ServiceName& service, unsigned priority);
    /// A request has occupied a slot of a server for this long.
    void onSlotReleased(const ServiceName& service, Clock::duration occupied);
    /// Begins a new count of the queued requests; `onQueued` follows for each of them.
    void resetQueued();
    void onQueued(TimePoint now, const ServiceName& service, unsigned priority);

    bool isShort(const ServiceName& service, TimePoint now) const;
    /// Mean time for which a request occupies a slot; zero while unknown.
    std::chrono::duration<double> slotTime(const ServiceName& service) const;
    /// Share of the requests more urgent than `priority` that were admitted of late; 1 while there are none.
    double admittedShare(const ServiceName& service, unsigned priority, TimePoint now) const;
    /// Demand of a service; no priorities if none of its requests has arrived.
    ServiceDemand demand(const ServiceName& service, TimePoint now) const;
    /// Demand of the services that are short of capacity.
    std::vector<ServiceDemand> shortDemands(TimePoint now) const;

private:
    struct Level {
        DecayingSum arrivals;
        DecayingSum admissions;
        std::uint32_t queued { 0 };
        TimePoint admittedAt;
        TimePoint refusedAt;
    };
    struct ServiceState {
        std::map<unsigned, Level> levels;
        TimePoint shortUntil;
        std::chrono::duration<double> slotTime { 0 };
    };

    Level& level(const ServiceName& service, unsigned priority);

    std::map<ServiceName, ServiceState> m_services;
};

} // namespace swiftloft::gateway::admission
