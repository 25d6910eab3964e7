#include "src/gateway/retry-allowance.h"

namespace swiftloft::gateway {

void RetryAllowance::expireOld(Traffic& traffic, TimePoint now) const
{
    while (!traffic.requests.empty() && traffic.requests.front() + m_options.window <= now)
        traffic.requests.pop_front();
    while (!traffic.retries.empty() && traffic.retries.front() + m_options.window <= now)
        traffic.retries.pop_front();
}

void RetryAllowance::onRequest(const ServiceName& service, TimePoint now)
{
    auto& traffic = m_traffic[service];
    expireOld(traffic, now);
    traffic.requests.push_back(now);
}

double RetryAllowance::allowedRetries(std::size_t requests, TimePoint now) const
{
    double earned = m_options.ratio * static_cast<double>(requests);
    double slack = m_options.slack / static_cast<double>(m_maxEntries);
    if (!m_startEndsAt)
        return 0;
    if (now >= *m_startEndsAt)
        return m_options.margin * (earned + slack);
    std::chrono::duration<double> missing = *m_startEndsAt - now;
    return m_options.startMargin * (earned + slack * (1 - missing / m_options.window));
}

RetryUse RetryAllowance::use(const ServiceName& service, TimePoint now)
{
    auto& traffic = m_traffic[service];
    expireOld(traffic, now);
    return { traffic.retries.size(), allowedRetries(traffic.requests.size(), now), traffic.requests.size() };
}

bool RetryAllowance::tryTake(const ServiceName& service, TimePoint now)
{
    auto current = use(service, now);
    if (static_cast<double>(current.spent + 1) > current.allowed)
        return false;
    m_traffic[service].retries.push_back(now);
    return true;
}

} // namespace swiftloft::gateway
