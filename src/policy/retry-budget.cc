#include <swiftloft/policy/retry-budget.h>

#include <boost/container_hash/hash.hpp>

#include <algorithm>

namespace swiftloft::policy {

std::size_t hash_value(const TrafficKey& key)
{
    std::size_t seed = 0;
    boost::hash_combine(seed, key.service.value());
    boost::hash_combine(seed, key.organisation.value());
    return seed;
}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_floor(options.maximumFloor)
{
}

Result<RetryBudget> RetryBudget::create(RetryBudgetOptions options)
{
    auto isNegative = [](double value) { return !(value >= 0); };
    if (isNegative(options.fractionOfSuccesses) || isNegative(options.maximumCredit))
        return Error { ErrorCode::InvalidArgument, "retry budget: fraction of successes and maximum credit must not be negative" };
    if (isNegative(options.floorPerSecond) || isNegative(options.maximumFloor))
        return Error { ErrorCode::InvalidArgument, "retry budget: floor rate and maximum floor must not be negative" };
    return RetryBudget(options);
}

void RetryBudget::onSuccess(const TrafficKey& key)
{
    auto& credit = m_credits[key];
    credit = std::min(credit + m_options.fractionOfSuccesses, m_options.maximumCredit);
}

bool RetryBudget::tryTake(const TrafficKey& key, TimePoint now)
{
    // Ten additions of 0.1 give slightly less than one; the margin makes the tenth count.
    constexpr double wholeRetry = 1 - 1e-9;
    auto it = m_credits.find(key);
    if (it != m_credits.end() && it->second >= wholeRetry) {
        it->second -= 1;
        return true;
    }
    refillFloor(now);
    if (m_floor < wholeRetry)
        return false;
    m_floor -= 1;
    return true;
}

void RetryBudget::removeOrganisation(const OrganisationName& organisation)
{
    boost::unordered::erase_if(m_credits, [&](auto& entry) { return entry.first.organisation == organisation; });
}

void RetryBudget::refillFloor(TimePoint now)
{
    if (m_floorRefilledAt != TimePoint {} && now > m_floorRefilledAt) {
        auto elapsed = std::chrono::duration<double>(now - m_floorRefilledAt).count();
        m_floor = std::min(m_floor + elapsed * m_options.floorPerSecond, m_options.maximumFloor);
    }
    m_floorRefilledAt = std::max(m_floorRefilledAt, now);
}

} // namespace swiftloft::policy
