#pragma once

#include "src/entry/events.h"

#include <swiftloft/policy/organisation-limits.h>
#include <swiftloft/policy/retry-budget.h>
#include <swiftloft/settings/views.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace swiftloft::entry {

/// Enforces the limits of organisations at services: requests per second, tokens per second and requests in progress. A
/// limit applies to the sum over all entries; each entry enforces its share of the limit.
class RequestLimiter {
public:
    RequestLimiter(InstanceId self, Incarnation incarnation, bool isFirstStart, TimePoint now);

    struct Decision {
        /// Unset if the request is admitted.
        std::optional<RefusalReason> refusal;
        TimePoint retryAt;
        /// A loan was requested from a peer, so a retry after one round trip may succeed.
        bool isBorrowing { false };
    };

    Decision admit(const std::shared_ptr<const settings::OrganisationSettings>& settings, Tokens estimate, TimePoint now, Effects& effects);
    /// Call when an admitted request has its final response. If the request did not run, its tokens are credited again.
    void release(const settings::OrganisationSettings& settings, Tokens estimate, Verdict verdict, TimePoint now);

    /// Creates or updates the organisation's limit at this entry, so that the entry can lend its share before it has
    /// received a request of the organisation.
    void ensureLimit(const std::shared_ptr<const settings::OrganisationSettings>& settings, TimePoint now);
    /// Splits a limit name, as lending messages carry it, into service and organisation.
    static std::optional<policy::TrafficKey> trafficKeyOf(const OrganisationName& limitName);

    void onView(const membership::View& view, TimePoint now);
    void onLendingMessage(const LendingMessage& message, TimePoint now, Effects& effects);

private:
    struct LimitState {
        /// The settings that the limit was created from. A different pointer means that the settings have changed.
        std::shared_ptr<const settings::OrganisationSettings> settings;
        std::int64_t inFlight { 0 };
    };

    static OrganisationName limitName(const settings::OrganisationSettings& settings);
    LimitState& limitState(const std::shared_ptr<const settings::OrganisationSettings>& settings, TimePoint now);
    static void sendLendingMessages(const policy::LimitEffects& from, Effects& effects);

    InstanceId m_self;
    bool m_isFirstStart;
    policy::OrganisationLimits m_limits;
    std::size_t m_entries { 1 };
    boost::unordered_flat_map<OrganisationName, LimitState, std::hash<OrganisationName>> m_limitStates;
};

} // namespace swiftloft::entry
