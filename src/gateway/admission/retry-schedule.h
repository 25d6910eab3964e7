#pragma once

#include "src/gateway/admission/return-turns.h"
#include "src/gateway/load-balancer.h"

#include <swiftloft/policy/random.h>

#include <map>
#include <optional>

namespace swiftloft::gateway::admission {

/// Returns when a client should retry a service that has no working server, for example right after a power loss. The
/// time is late enough for the service to have recovered, and early enough that a client with this `deadline` still
/// waits for it.
TimePoint outageRetryTime(TimePoint now, TimePoint deadline, policy::Generator& generator);

/// Returns when a client should retry while all entries are being stopped: as late as it waits, because an entry ends its
/// requests before its successor starts.
TimePoint restartRetryTime(TimePoint now, TimePoint deadline, policy::Generator& generator);

/// Returns when a client should retry at another entry, because this one is being stopped.
TimePoint otherEntryRetryTime(TimePoint now, policy::Generator& generator);

/// The properties of a refused request that decide when its client returns.
struct RefusedRequest {
    ServiceName service;
    TimePoint deadline;
    /// 0 is the most urgent.
    unsigned priority { 0 };
};

/// What is known of a service when one of its requests is refused.
struct ServiceOutlook {
    /// The service has no server, or all of its groups are forming.
    bool isDown { false };
    /// Set if limits or back-offs keep this entry from every server that may run the request.
    std::optional<LoadBalancer::Throttling> throttling;
    /// Clients return in turn, the most urgent first; otherwise at random.
    bool hasTurns { false };
};

/// Tells refused clients when to return, and keeps the turns that it has given. Pure: the time is passed in with each
/// call.
class RetrySchedule {
public:
    explicit RetrySchedule(policy::Generator generator)
        : m_generator(generator)
    {
    }

    TimePoint retryTime(TimePoint now, const RefusedRequest& request, const ServiceOutlook& outlook);
    /// A request of the service has been sent to a server.
    void onAdmitted(TimePoint now, const ServiceName& service) { m_turns.onAdmitted(now, service); }

private:
    TimePoint timeAfterBackOff(TimePoint now, const RefusedRequest& request, TimePoint backOffEndsAt);
    TimePoint timeInTurn(TimePoint now, const RefusedRequest& request);
    TimePoint timeWithinLimits(TimePoint now, const RefusedRequest& request, double rate);

    policy::Generator m_generator;
    ReturnTurns m_turns;
    /// Retry time for the next client that is refused because of limits, by service.
    std::map<ServiceName, TimePoint> m_nextReturnAt;
};

} // namespace swiftloft::gateway::admission
