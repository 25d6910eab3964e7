#pragma once

#include "src/gateway/admission/free-slots.h"
#include "src/gateway/admission/peer-demand.h"
#include "src/gateway/admission/request-queue.h"
#include "src/gateway/admission/urgency.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace swiftloft::gateway::admission {

struct AdmissionOptions {
    /// Off: priorities order the queue of this entry only.
    bool isUrgencyOn { true };
    UrgencyOptions urgency {};
};

/// Decides which of the requests that wait for a service anywhere in the fleet gets the next free slot. Takes effect
/// only for services that are short of capacity at some entry and whose routes differ in priority. Pure: the time is
/// passed in with each call.
class AdmissionController {
public:
    /// While a request is held back with slots free, it is checked again at this interval.
    static constexpr milliseconds heldCheckInterval { 50 };

    explicit AdmissionController(const AdmissionOptions& options);

    void setFleet(TimePoint now, const Snapshot& snapshot);
    void onLoadUpdate(TimePoint now, const LoadUpdate& update) { m_peers.onUpdate(now, update); }
    void onArrived(TimePoint now, const QueuedRequest& request);
    void onAdmitted(TimePoint now, const QueuedRequest& request);
    void onRefused(TimePoint now, const ServiceName& service, unsigned priority);
    void onSlotReleased(const ServiceName& service, Clock::duration occupied) { m_own.onSlotReleased(service, occupied); }

    /// Begins a round that offers free capacity to the queued requests. Returns them in the order in which they get it.
    std::vector<CallId> beginRound(TimePoint now, const RequestQueue& queue);
    /// Whether the request may take a free slot in this round. `countFreeSlots` returns the `FreeSlots` of its service; it
    /// is called once a round and service, and only if needed.
    template <typename CountFreeSlots>
    bool mayStart(TimePoint now, const QueuedRequest& request, CountFreeSlots countFreeSlots)
    {
        double kept = keptSlots(now, request);
        if (kept <= 0)
            return true;
        auto& free = roundOf(request.service, now).free;
        if (!free)
            free = countFreeSlots();
        bool mayStart = free->shared > kept || (free->shared <= 0 && free->hasOwnShare);
        if (!mayStart)
            m_nextCheckAt = now + heldCheckInterval;
        return mayStart;
    }
    /// Ends the round: `queue` holds what still waits.
    void endRound(TimePoint now, const RequestQueue& queue);
    /// When the requests that are held back are checked again; unset if there are none.
    std::optional<TimePoint> nextCheck() const { return m_nextCheckAt; }

    /// Until when a request may wait that has arrived at `arrivedAt`.
    TimePoint queueDeadline(TimePoint now, const QueuedRequest& request, TimePoint arrivedAt, milliseconds objective);

    /// True if urgency counts for the service: its routes differ in priority.
    bool hasPriorities(const ServiceName& service) const { return isUrgencyOn(service); }
    /// Priority that a server is told; unset where priorities are not in use.
    std::optional<unsigned> priorityForServer(const ServiceName& service, unsigned priority) const { return isUrgencyOn(service) ? std::optional(priority) : std::nullopt; }

    /// Demand of a service at this entry, short of capacity or not.
    ServiceDemand demand(const ServiceName& service, TimePoint now) const { return m_own.demand(service, now); }
    /// Demand to be reported to other entries: services that are short of capacity here.
    std::vector<ServiceDemand> demands(TimePoint now) const { return m_own.shortDemands(now); }
    /// The same for the entries of this data centre together, to be reported to other data centres.
    std::vector<ServiceDemand> localDemands(TimePoint now) const { return m_peers.localSums(now, m_own.shortDemands(now)); }

private:
    /// State of a service within a round.
    struct ServiceRound {
        bool isShort { false };
        std::optional<FreeSlots> free;
        std::map<unsigned, CompetingDemand> demands;
        /// Whether requests of a priority wait or are refused at some entry.
        std::map<unsigned, bool> pressed;
        /// Priorities of which a request goes before more urgent ones.
        std::set<unsigned> priorityStartedFirst;
    };
    /// A time in which the service is short of capacity at this entry, for the log.
    struct Shortage {
        TimePoint since;
        std::uint64_t admitted { 0 };
        std::uint64_t refused { 0 };
    };

    bool isUrgencyOn(const ServiceName& service) const;
    bool isPressed(const ServiceName& service, unsigned priority, TimePoint now) const;
    /// Free slots that the request leaves to more urgent ones; 0 if there are none or it goes before them.
    double keptSlots(TimePoint now, const QueuedRequest& request);
    ServiceRound& roundOf(const ServiceName& service, TimePoint now);
    const CompetingDemand& demandOf(const ServiceName& service, unsigned priority, TimePoint now);
    void accrueShares(TimePoint now, const RequestQueue& queue);
    void logShortage(TimePoint now, const ServiceName& service);
    void logShortageEnds(TimePoint now);

    AdmissionOptions m_options;
    DemandMeter m_own;
    PeerDemand m_peers;
    QueueTimes m_queueTimes;
    StartShares m_shares;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<ServiceName, ServiceRound> m_round;
    /// Requests that go before more urgent ones in this round.
    std::vector<CallId> m_startedFirst;
    /// Services and priorities of the requests that waited after the last round.
    std::set<std::pair<ServiceName, unsigned>> m_waiting;
    std::map<ServiceName, Shortage> m_shortages;
    bool m_hasQueued { false };
    std::optional<TimePoint> m_nextCheckAt;
};

} // namespace swiftloft::gateway::admission
