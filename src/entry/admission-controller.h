#pragma once

#include "src/entry/events.h"

#include <swiftloft/policy/admission-queue.h>
#include <swiftloft/settings/views.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <vector>

namespace swiftloft::entry {

/// What a service's backend servers can hold, as far as this entry may fill them.
struct ServiceCapacity {
    std::size_t servers { 0 };
    /// Reported speeds added up; 0 when no server reports one.
    double tokensPerSecond { 0 };
    /// Entries that share the backend servers, this one included.
    std::size_t entries { 1 };
};

/// One fair queue for each service, in front of the router.
///
/// Without it a burst would wait inside the engines, where the first come is served first and one organisation can fill
/// all batches. So this entry starts only as much as its share of the backend servers keeps busy, and holds the rest here
/// in fair order.
class AdmissionController {
public:
    struct Decision {
        RequestId id;
        bool isStarted { false };
        policy::AdmissionReason reason { policy::AdmissionReason::WaitTooLong };
        seconds retryAfter { 0 };
    };
    using Decisions = std::vector<Decision>;

    Decisions onArrive(RequestId id, const settings::ServiceSettings& service, const settings::OrganisationSettings& organisation, Tokens cost, TimePoint latestStart,
        TimePoint now, policy::Generator& generator);
    Decisions onFinish(const ServiceName& service, Tokens cost, TimePoint now, policy::Generator& generator);
    void onAbandon(const ServiceName& service, RequestId id);
    /// To be called about once a second, and whenever the servers of a service change.
    Decisions setCapacity(const settings::ServiceSettings& service, const ServiceCapacity& capacity, TimePoint now, policy::Generator& generator);
    Decisions onTimer(TimePoint now, policy::Generator& generator);

private:
    policy::AdmissionQueue& queueOf(const settings::ServiceSettings& service);

    boost::unordered_flat_map<ServiceName, policy::AdmissionQueue, std::hash<ServiceName>> m_queues;
};

/// High first, as queues and engines count.
policy::Priority toPolicy(settings::Priority priority);

/// Work of one request for fair shares: prompt and expected output of a model request, one of a plain one.
Tokens costOf(const settings::ServiceSettings& service, const RequestInfo& info);

} // namespace swiftloft::entry
