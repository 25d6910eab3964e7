#pragma once

#include "src/gateway/admission/demand-meter.h"
#include "src/gateway/admission/peer-demand.h"

#include <map>
#include <optional>

namespace swiftloft::gateway::admission {

struct UrgencyOptions {
    /// Requests started per request that is more urgent, while they wait: keeps them from starving.
    double leastShare { 0.1 };
    /// Share of the latency objective that a request may spend in the queue.
    double queueTimeShare { 0.4 };
    /// The same while less urgent requests may wait longer. The rest of the objective is left for the response.
    double maxQueueTimeShare { 0.7 };
    /// Queue time for routes without an objective.
    milliseconds defaultQueueTime { 100 };
};

/// What all known entries want of a service that is short of capacity, as seen by a request of one priority.
struct CompetingDemand {
    /// More urgent requests that wait at other entries.
    double moreUrgentQueued { 0 };
    /// More urgent requests that other entries may send to servers before this entry learns of it.
    double moreUrgentExpected { 0 };
    /// More urgent requests a second, over all entries.
    double moreUrgentArrivals { 0 };
    /// Requests of the same priority that wait here and at other entries.
    double sameQueuedHere { 0 };
    double sameQueuedElsewhere { 0 };

    /// Free slots that a request of this priority leaves to others.
    double keptSlots() const { return moreUrgentQueued + moreUrgentExpected; }
};

CompetingDemand competingDemand(const ServiceName& service, unsigned priority, TimePoint now, const DemandMeter& own, const PeerDemand& peers);

/// Guards less urgent requests against starvation: while such requests wait, each entry may start some of them before
/// more urgent ones. The share of an entry is that of its waiting requests in all that wait, so that the entries need
/// not know their number. Pure.
class StartShares {
public:
    explicit StartShares(double leastShare)
        : m_leastShare(leastShare)
    {
    }

    /// Requests of the priority wait; `admittedShare` of the more urgent ones are admitted.
    void onWaiting(TimePoint now, const ServiceName& service, unsigned priority, const CompetingDemand& demand, double admittedShare);
    /// No request of the service and priority waits.
    void onNoneWaiting(const ServiceName& service, unsigned priority);
    /// A request may be started before more urgent ones.
    bool mayStartFirst(const ServiceName& service, unsigned priority) const;
    void onStartedFirst(const ServiceName& service, unsigned priority);

private:
    struct Share {
        /// Starts that have accrued; at most one, so that shares are not saved up.
        double starts { 0 };
        /// Unset while no request waits.
        std::optional<TimePoint> accruedAt;
    };

    double m_leastShare;
    std::map<std::pair<ServiceName, unsigned>, Share> m_shares;
};

/// Queue times of the requests of a service by priority, from its routes. While the service is short of capacity, a
/// request waits no longer than one that is more urgent, and a more urgent request as long as a less urgent one would if
/// its objective allows. Pure.
class QueueTimes {
public:
    explicit QueueTimes(const UrgencyOptions& options)
        : m_options(options)
    {
    }

    void setConfiguration(const Configuration& configuration);
    /// Routes of the service differ in priority, or organisations have priorities of their own.
    bool hasPriorities(const ServiceName& service) const;
    /// Queue time while the service has free capacity.
    Clock::duration base(milliseconds objective) const;
    /// Queue time while requests of the priorities for which `isPressed` holds wait or are refused.
    template <typename IsPressed>
    Clock::duration whileShort(const ServiceName& service, unsigned priority, milliseconds objective, IsPressed isPressed) const
    {
        auto time = extended(service, priority, objective);
        for (auto& [other, objectiveOfOther] : objectivesOf(service)) {
            if (other < priority && isPressed(other))
                time = std::min(time, extended(service, other, objectiveOfOther));
        }
        return time;
    }

private:
    using Objectives = std::map<unsigned, milliseconds>;

    const Objectives& objectivesOf(const ServiceName& service) const;
    Clock::duration extended(const ServiceName& service, unsigned priority, milliseconds objective) const;

    UrgencyOptions m_options;
    /// Shortest objective of the routes of each service and priority.
    std::map<ServiceName, Objectives> m_objectives;
    bool m_hasOrganisationPriorities { false };
};

} // namespace swiftloft::gateway::admission
