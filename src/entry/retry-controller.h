#pragma once

#include <swiftloft/policy/random.h>
#include <swiftloft/policy/retry-budget.h>
#include <swiftloft/policy/retry-policy.h>
#include <swiftloft/settings/views.h>

#include <boost/unordered/unordered_flat_map.hpp>

namespace swiftloft::entry {

/// Holds the retry policy and the retry budget of each service, configured from its settings.
class RetryController {
public:
    /// Sets the options of a new or changed service. Keeps the retry budget that its organisations have earned, unless
    /// the ratio of the budget changes.
    void setOptions(const settings::ServiceSettings& service);

    policy::RetryDecision decide(const policy::FailedAttempt& attempt, TimePoint now, policy::Generator& generator);
    void onSuccess(const policy::TrafficKey& traffic);

private:
    struct ServiceState {
        settings::Ratio ratio;
        policy::RetryPolicy policy;
        policy::RetryBudget budget;
    };

    ServiceState& stateOf(const ServiceName& service);

    boost::unordered_flat_map<ServiceName, ServiceState, std::hash<ServiceName>> m_services;
};

} // namespace swiftloft::entry
