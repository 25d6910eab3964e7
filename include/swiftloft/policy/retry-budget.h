#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <boost/unordered/unordered_flat_map.hpp>

namespace swiftloft::policy {

/// Unit for which retries are accounted: one service of one organisation.
struct TrafficKey {
    ServiceName service;
    OrganisationName organisation;

    friend bool operator==(const TrafficKey&, const TrafficKey&) = default;
};

std::size_t hash_value(const TrafficKey& key); // NOLINT(readability-identifier-naming): found by Boost under this name

struct RetryBudgetOptions {
    /// Retry credit earned by each success.
    double fractionOfSuccesses { 0.1 };
    /// Maximum retry credit of one service and organisation.
    double maximumCredit { 10 };
    /// Retries per second that this entry grants beyond the earned credit, over all services and organisations
    /// together.
    double floorPerSecond { 0.5 };
    /// Maximum credit of the floor.
    double maximumFloor { 3 };
};

/// Retry budgets of one entry, per service and organisation.
///
/// Guards against retry storms: when half of the fleet fails, retrying every request doubles the load just when there
/// is least capacity, and the healthy half fails too. A budget earned by successes keeps the additional load under the
/// configured fraction, whatever the failure rate is. The floor allows retries of infrequent traffic. It is one pool
/// for the whole entry, because a floor per key would add up to many times the traffic (1,800 organisations x 11
/// services x 670 entries).
class RetryBudget {
public:
    /// Fails with `InvalidArgument` when a fraction, rate or credit is negative.
    static Result<RetryBudget> create(RetryBudgetOptions options);

    void onSuccess(const TrafficKey& key);
    /// Takes one retry from the credit of the key, or else from the floor. Returns false when no retry is left.
    bool tryTake(const TrafficKey& key, TimePoint now);
    /// Removes the credit of an organisation that is no longer in the settings.
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
