#include "src/gateway/admission/urgency.h"

#include <algorithm>

namespace swiftloft::gateway::admission {

using FloatSeconds = std::chrono::duration<double>;

CompetingDemand competingDemand(const ServiceName& service, unsigned priority, TimePoint now, const DemandMeter& own, const PeerDemand& peers)
{
    CompetingDemand sum;
    for (auto& it : own.demand(service, now).priorities) {
        if (it.priority < priority)
            sum.moreUrgentArrivals += it.arrivalsPerSecond;
        else if (it.priority == priority)
            sum.sameQueuedHere += it.queued;
    }
    auto slotTime = own.slotTime(service);
    peers.forEach(service, now, [&](const ServiceDemand& demand, TimePoint receivedAt) {
        // Within the time for which a request occupies a slot, all slots become free once, and what waited has got them.
        bool mayStillWait = slotTime.count() <= 0 || now - receivedAt < slotTime;
        // What the sender has started since its report, and will start before it learns of a start here. Requests that
        // end sooner than that need a slot for that time only.
        FloatSeconds lag = now - receivedAt + Clock::duration(PeerDemand::reportInterval);
        if (slotTime.count() > 0)
            lag = std::min(lag, slotTime);
        for (auto& it : demand.priorities) {
            if (it.priority == priority)
                sum.sameQueuedElsewhere += it.queued;
            if (it.priority >= priority)
                continue;
            sum.moreUrgentQueued += mayStillWait ? it.queued : 0;
            sum.moreUrgentArrivals += it.arrivalsPerSecond;
            sum.moreUrgentExpected += it.arrivalsPerSecond * lag.count();
        }
    });
    return sum;
}

void StartShares::onWaiting(TimePoint now, const ServiceName& service, unsigned priority, const CompetingDemand& demand, double admittedShare)
{
    auto& share = m_shares[{ service, priority }];
    if (share.accruedAt) {
        double moreUrgentStarts = demand.moreUrgentArrivals * admittedShare * FloatSeconds(now - *share.accruedAt).count();
        double queued = demand.sameQueuedHere + demand.sameQueuedElsewhere;
        double ownPart = queued > 0 ? demand.sameQueuedHere / queued : 1;
        share.starts = std::min(1.0, share.starts + m_leastShare * moreUrgentStarts * ownPart);
    }
    share.accruedAt = now;
}

void StartShares::onNoneWaiting(const ServiceName& service, unsigned priority)
{
    auto it = m_shares.find({ service, priority });
    if (it != m_shares.end())
        it->second.accruedAt.reset();
}

bool StartShares::mayStartFirst(const ServiceName& service, unsigned priority) const
{
    auto it = m_shares.find({ service, priority });
    return it != m_shares.end() && it->second.starts >= 1;
}

void StartShares::onStartedFirst(const ServiceName& service, unsigned priority)
{
    m_shares[{ service, priority }].starts -= 1;
}

void QueueTimes::setConfiguration(const Configuration& configuration)
{
    m_objectives.clear();
    for (auto& route : configuration.routes()) {
        for (auto& it : route.services) {
            auto [known, isNew] = m_objectives[it.service].try_emplace(std::min(route.priority, leastUrgentPriority), route.objective);
            if (!isNew)
                known->second = std::min(known->second, route.objective);
        }
    }
    auto& organisations = configuration.organisations();
    m_hasOrganisationPriorities = std::any_of(organisations.begin(), organisations.end(), [](auto& it) { return it.priority.has_value(); });
}

const QueueTimes::Objectives& QueueTimes::objectivesOf(const ServiceName& service) const
{
    static const Objectives none;
    auto it = m_objectives.find(service);
    return it == m_objectives.end() ? none : it->second;
}

bool QueueTimes::hasPriorities(const ServiceName& service) const
{
    return m_hasOrganisationPriorities || objectivesOf(service).size() > 1;
}

Clock::duration QueueTimes::base(milliseconds objective) const
{
    return objective > milliseconds(0) ? std::chrono::duration_cast<Clock::duration>(m_options.queueTimeShare * objective) : m_options.defaultQueueTime;
}

Clock::duration QueueTimes::extended(const ServiceName& service, unsigned priority, milliseconds objective) const
{
    auto time = base(objective);
    auto max = std::max(time, std::chrono::duration_cast<Clock::duration>(m_options.maxQueueTimeShare * objective));
    for (auto& [other, objectiveOfOther] : objectivesOf(service)) {
        if (other > priority)
            time = std::max(time, std::min(max, base(objectiveOfOther)));
    }
    return time;
}

} // namespace swiftloft::gateway::admission
