#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <boost/unordered/unordered_flat_map.hpp>

namespace swiftloft::policy {

/// Whose traffic earns and spends retries.
struct TrafficKey {
    ServiceName service;
    OrganisationName organisation;

    friend bool operator==(const TrafficKey&, const TrafficKey&) = default;
};

std::size_t hash_value(const TrafficKey& key); // NOLINT(readability-identifier-naming): found by Boost under this name

struct RetryBudgetOptions {
    /// Retries earned by each success.
    double fractionOfSuccesses { 0.1 };
    /// Most retries one service and organisation can save up.
    double maximumCredit { 10 };
    /// Retries a second that this entry grants beyond what was earned, over all services and organisations together.
    double floorPerSecond { 0.5 };
    /// Most retries the floor saves up.
    double maximumFloor { 3 };
};

/// Retry budgets of one entry, per service and organisation.
///
/// Guards against retry storms: when half of the fleet fails, retries of everything double the work just when there is
/// least room for it, and the healthy half fails too. A budget earned by successes keeps the extra work under the
/// fraction whatever the failure rate is. The floor lets rare traffic retry at all; it is one pool for the whole entry
/// because a floor per key would add up to many times the traffic (1,800 organisations x 11 services x 670 entries).
class RetryBudget {
public:
    /// Fails with `InvalidArgument` when a fraction or rate is negative.
    static Result<RetryBudget> create(RetryBudgetOptions options);

    void onSuccess(const TrafficKey& key);
    /// Takes one retry out of what the key earned, else out of the floor. False: no retry is left.
    bool tryTake(const TrafficKey& key, TimePoint now);
    /// Drops the credit of an organisation that left the settings.
    void removeOrganisation(const OrganisationName& organisation);

    std::size_t size() const { return m_credits.size(); }

private:
    explicit RetryBudget(RetryBudgetOptions options);
    void refillFloor(TimePoint now);

    RetryBudgetOptions m_options;
    boost::unordered_flat_map<TrafficKey, double> m_credits;
    double m_floor;
    TimePoint m_floorRefilledAt {};
};

} // namespace swiftloft::policy
