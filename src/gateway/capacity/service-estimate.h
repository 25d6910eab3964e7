#pragma once

#include "src/gateway/capacity/group-estimate.h"
#include "src/gateway/capacity/request-sizes.h"
#include "src/gateway/capacity/service-use.h"
#include "src/gateway/capacity/slot-times.h"
#include "src/gateway/snapshot.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace swiftloft::gateway::capacity {

struct EstimateOptions {
    bool isEnabled { true };
    /// A group is short of time while a mean stream takes more than this share of the time that clients give, until it
    /// takes less than the second share. Other groups are served as without an estimate.
    double bindShare { 0.5 };
    double releaseShare { 0.4 };
    /// While a group is short of time, the most urgent stream is admitted if it is expected to end within this share of
    /// its time, so that it still ends if passes become longer. Each step down in urgency lowers the share by
    /// `priorityStep`, to `minTimeShare` at least. Of less urgent streams only shorter ones are then admitted, which leaves
    /// shorter passes to the more urgent ones.
    double timeShare { 0.7 };
    double priorityStep { 0.15 };
    double minTimeShare { 0.4 };
    /// While nothing can end in time, the entries that see each other send this many requests a second to a group
    /// together, so that they see when it is well again.
    double probesPerSecond { 2 };
};

/// The parts of a request that decide when it ends.
struct RequestView {
    const Route& route;
    unsigned priority { 0 };
    TimePoint arrivedAt;
    TimePoint deadline;
    AnswerSize size;
    /// Until when the request may wait for a slot.
    TimePoint queueDeadline;
    /// Requests of this entry that wait before this one.
    std::size_t queuedBefore { 0 };
};

/// How long a request takes, and the numbers behind it.
struct Forecast {
    EngineGroupName group {};
    Pass pass {};
    double events { 0 };
    /// Expected time until the response is complete, and until the client's deadline.
    Clock::duration duration {};
    Clock::duration timeLeft {};
    /// Requests that ran on the service.
    double running { 0 };
};

/// State of one attempt at a stream. Belongs to the call; the estimate keeps the group alive.
struct StreamClock {
    std::shared_ptr<GroupEstimate> group;
    TimePoint startedAt {};
    TimePoint lastEventAt {};
    unsigned events { 0 };
};

/// What the estimate says of one group, for metrics.
struct GroupReport {
    ServiceName service;
    EngineGroupName group;
    std::optional<Pass> pass;
    bool isBinding { false };
    /// Requests that may run so that a mean stream ends within its time, and streams that end per second then; 0 while
    /// unknown.
    double runLimit { 0 };
    double endsPerSecond { 0 };
};

struct ServiceReport {
    ServiceName service;
    std::uint64_t wanted { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t probes { 0 };
};

/// What each service, and each of its rank groups, can finish in time now. Answers the load "one rank at twelve times its
/// pace in the only group": passes become so long that most streams are cut at their clients' deadlines, and each one that
/// is admitted all the same makes the passes of the others longer. Streams that can't end before their deadline are
/// refused at once.
///
/// Takes effect only while recent news says that a group is short of time, and only for requests that have not started;
/// without news everything is admitted. State is bounded by the listed servers and routes. Pure.
class ServiceEstimate {
public:
    explicit ServiceEstimate(const EstimateOptions& options = {})
        : m_options(options)
    {
    }

    void setSnapshot(TimePoint now, const Snapshot& snapshot);

    void onRequestArrived(const ServiceName& service, const RequestView& request);
    void onAttemptStarted(TimePoint now, StreamClock& clock, const ServerIncarnation& server) const;
    /// An event of the stream has arrived. Constant time, no allocation.
    static void onEvent(TimePoint now, StreamClock& clock);
    /// The attempt has ended; `isComplete` if the whole response has arrived.
    void onAttemptEnded(TimePoint now, StreamClock& clock, const ServiceName& service, const ServerIncarnation& server, const Route& route, bool isComplete);

    /// True if a request of the service may have to be refused, so that `refusalOf` must be asked. Cheap.
    bool isWatching(TimePoint now, const ServiceName& service) const;
    /// Set if the request, which has not started, can't end in time on any group of the service and is to be refused now.
    std::optional<Forecast> refusalOf(TimePoint now, const ServiceName& service, const RequestView& request, const ServiceUse& use);
    /// Set if a request that found all slots of a plain service taken will not get one in time.
    std::optional<Forecast> queueRefusalOf(TimePoint now, const ServiceName& service, const RequestView& request);
    /// Time that a request takes once it is sent; unset if too little is known. About half of the requests take longer, and a
    /// server that becomes slower later is not foreseen.
    std::optional<Forecast> forecast(TimePoint now, const ServiceName& service, const RequestView& request, const ServiceUse& use) const;
    /// Requests that may run on the service so that a mean stream ends within its time; unset while no group is short of
    /// time.
    std::optional<double> runLimit(TimePoint now, const ServiceName& service, const ServiceUse& use) const;

    std::vector<GroupReport> groupReports(TimePoint now) const;
    std::vector<ServiceReport> serviceReports() const;

private:
    struct Group {
        std::shared_ptr<GroupEstimate> estimate;
        bool isBinding { false };
        TimePoint probedAt {};
        /// As of the last request that was assessed.
        double runLimit { 0 };
    };
    struct Service {
        std::map<EngineGroupName, Group> groups;
        double tokensPerEvent { 1 };
        /// Priority of the most urgent route.
        unsigned mostUrgent { 0 };
        RequestSizes sizes;
        SlotTimes slotTimes;
        /// Mean time from the arrival of a request to its deadline, in seconds.
        double timeGiven { 0 };
        ServiceReport counts;
    };

    void setGroups(const Snapshot& snapshot);
    void setReports(const Snapshot& snapshot);
    static bool isBinding(const Service& service);
    /// Duration of a mean stream in shares of the time that clients give.
    static double meanTimeShare(const Service& service, const GroupEstimate& group, Clock::duration pass);
    void updateBinding(TimePoint now, const ServiceName& name, Service& service, const EngineGroupName& groupName, Group& group, const ServiceUse& use) const;
    Forecast groupForecast(const Service& service, const EngineGroupName& name, const Group& group, const Pass& pass, const RequestView& request, const ServiceUse& use, TimePoint now) const;
    static std::optional<Forecast> streamForecast(const Service& service, const RequestView& request, const ServiceUse& use, TimePoint now);
    static std::optional<Forecast> plainForecast(const Service& service, const RequestView& request, TimePoint now);
    bool canEnd(const Service& service, const Forecast& forecast, const RequestView& request) const;
    bool takeProbe(TimePoint now, Service& service);

    EstimateOptions m_options;
    std::map<ServiceName, Service> m_services;
    std::map<ServerIncarnation, std::shared_ptr<GroupEstimate>> m_groupOf;
    std::size_t m_entries { 1 };
};

} // namespace swiftloft::gateway::capacity
