#include "src/entry/retry-desk.h"

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

void RetryDesk::setOptions(const settings::ServiceSettings& service)
{
    policy::BackoffOptions backoff;
    backoff.initial = std::chrono::ceil<milliseconds>(service.retryBackoffBase);
    backoff.ceiling = std::chrono::ceil<milliseconds>(service.retryBackoffMax);
    auto it = m_desks.find(service.name);
    if (it == m_desks.end()) {
        m_desks.emplace(service.name, Desk { service.retryBudgetRatio, makePolicy(backoff), makeBudget(service.retryBudgetRatio.value()) });
        return;
    }
    it->second.policy = makePolicy(backoff);
    if (it->second.ratio == service.retryBudgetRatio)
        return;
    it->second.ratio = service.retryBudgetRatio;
    it->second.budget = makeBudget(service.retryBudgetRatio.value());
}

RetryDesk::Desk& RetryDesk::deskOf(const ServiceName& service)
{
    auto it = m_desks.find(service);
    if (it != m_desks.end())
        return it->second;
    policy::RetryBudgetOptions defaults;
    return m_desks.emplace(service, Desk { settings::Ratio(defaults.fractionOfSuccesses), makePolicy({}), makeBudget(defaults.fractionOfSuccesses) }).first->second;
}

policy::RetryDecision RetryDesk::decide(const policy::FailedAttempt& attempt, TimePoint now, policy::Generator& generator)
{
    auto& desk = deskOf(attempt.traffic.service);
    return desk.policy.decide(attempt, desk.budget, now, generator);
}

void RetryDesk::onSuccess(const policy::TrafficKey& traffic)
{
    deskOf(traffic.service).budget.onSuccess(traffic);
}

} // namespace swiftloft::entry
