#pragma once

#include "src/entry/events.h"

#include <swiftloft/policy/admission-queue.h>
#include <swiftloft/settings/views.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <vector>

namespace swiftloft::entry {

/// Capacity of a service's backend servers. An entry may use an equal share of it: the capacity divided by the number
/// of entries.
struct ServiceCapacity {
    std::size_t servers { 0 };
    /// Sum of the throughput that the servers report; 0 when none reports any.
    double tokensPerSecond { 0 };
    /// Number of entries that share the backend servers, including this one.
    std::size_t entries { 1 };
};

/// Holds a queue of waiting requests for each service, in front of the router. The queue is fair between organisations.
///
/// Engines serve requests in order of arrival. Without these queues a burst of one organisation would wait inside the
/// engines and could fill all batches. The entry therefore starts only the work that its share of the backend servers
/// can handle and queues the rest in fair order.
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
    /// Call this about once a second and whenever the servers of a service change.
    Decisions setCapacity(const settings::ServiceSettings& service, const ServiceCapacity& capacity, TimePoint now, policy::Generator& generator);
    Decisions onTimer(TimePoint now, policy::Generator& generator);

private:
    policy::AdmissionQueue& queueOf(const settings::ServiceSettings& service);

    boost::unordered_flat_map<ServiceName, policy::AdmissionQueue, std::hash<ServiceName>> m_queues;
};

/// Maps a priority in the settings to the priority that queues and engines use.
policy::Priority toPolicy(settings::Priority priority);

/// Cost of a request in the fair queue: prompt plus expected output tokens of a model request, 1 for a plain request.
Tokens costOf(const settings::ServiceSettings& service, const RequestInfo& info);

} // namespace swiftloft::entry
