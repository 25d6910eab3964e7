#include "src/entry/retry-controller.h"

namespace swiftloft::entry {

namespace {

policy::RetryPolicy makePolicy(const policy::BackoffOptions& backoff)
{
    policy::RetryPolicyOptions options;
    options.backoff = backoff;
    return policy::RetryPolicy::create(options).value();
}

policy::RetryBudget makeBudget(double ratio)
{
    policy::RetryBudgetOptions options;
    options.fractionOfSuccesses = ratio;
    return policy::RetryBudget::create(options).value();
}

} // namespace

void RetryController::setOptions(const settings::ServiceSettings& service)
{
    policy::BackoffOptions backoff;
    backoff.initial = std::chrono::ceil<milliseconds>(service.retryBackoffBase);
    backoff.ceiling = std::chrono::ceil<milliseconds>(service.retryBackoffMax);
    auto it = m_services.find(service.name);
    if (it == m_services.end()) {
        m_services.emplace(service.name, ServiceState { service.retryBudgetRatio, makePolicy(backoff), makeBudget(service.retryBudgetRatio.value()) });
        return;
    }
    it->second.policy = makePolicy(backoff);
    if (it->second.ratio == service.retryBudgetRatio)
        return;
    it->second.ratio = service.retryBudgetRatio;
    it->second.budget = makeBudget(service.retryBudgetRatio.value());
}

RetryController::ServiceState& RetryController::stateOf(const ServiceName& service)
{
    auto it = m_services.find(service);
    if (it != m_services.end())
        return it->second;
    policy::RetryBudgetOptions defaults;
    return m_services.emplace(service, ServiceState { settings::Ratio(defaults.fractionOfSuccesses), makePolicy({}), makeBudget(defaults.fractionOfSuccesses) }).first->second;
}

policy::RetryDecision RetryController::decide(const policy::FailedAttempt& attempt, TimePoint now, policy::Generator& generator)
{
    auto& state = stateOf(attempt.traffic.service);
    return state.policy.decide(attempt, state.budget, now, generator);
}

void RetryController::onSuccess(const policy::TrafficKey& traffic)
{
    stateOf(traffic.service).budget.onSuccess(traffic);
}

} // namespace swiftloft::entry
