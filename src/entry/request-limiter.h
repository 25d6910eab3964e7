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

/// Limits of organisations at services: requests and tokens a second and requests in progress, over all entries.
class RequestLimiter {
public:
    RequestLimiter(InstanceId self, Incarnation incarnation, bool isFirstStart, TimePoint now);

    struct Decision {
        /// Nothing when the request may go on.
        std::optional<RefusalReason> refusal;
        TimePoint retryAt;
        /// A peer has been asked for some of its share: trying again within a round trip may succeed.
        bool isBorrowing { false };
    };

    Decision admit(const std::shared_ptr<const settings::OrganisationSettings>& settings, Tokens estimate, TimePoint now, Effects& effects);
    /// A request that was admitted has its final answer. One that did not run gives its tokens back.
    void release(const settings::OrganisationSettings& settings, Tokens estimate, Verdict verdict, TimePoint now);

    /// Makes the organisation's share known here, so that it can be lent before it is used.
    void ensureLimit(const std::shared_ptr<const settings::OrganisationSettings>& settings, TimePoint now);
    /// The service and organisation of the name that a loan carries.
    static std::optional<policy::TrafficKey> trafficKeyOf(const OrganisationName& limitName);

    void onView(const membership::View& view, TimePoint now);
    void onLendingMessage(const LendingMessage& message, TimePoint now, Effects& effects);

private:
    struct LimitState {
        /// What the limit was set from; another one means that the settings have changed.
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
