#pragma once

#include "src/entry/events.h"

#include <swiftloft/membership/types.h>
#include <swiftloft/policy/retry-budget.h>
#include <swiftloft/result.h>
#include <swiftloft/settings/tree.h>

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/variant2/variant.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace swiftloft::entry {

/// A request with the effective settings of its service and organisation.
struct ResolvedRequest {
    std::shared_ptr<const settings::ServiceSettings> service;
    std::shared_ptr<const settings::OrganisationSettings> organisation;
    bool isRepeatable { false };
    TimePoint deadline;
    Fingerprint fingerprint;
};

/// Looks up the service and organisation of each request in the active settings and checks the organisation's key.
///
/// Effective settings are computed at first use and cached until the next revision, because a walk of the settings tree
/// costs more than a routing decision.
class RequestResolver {
public:
    explicit RequestResolver(settings::Tree tree);

    /// Returns the request with its settings, or a refusal whose verdict the caller must set.
    boost::variant2::variant<ResolvedRequest, Refusal> resolve(const RequestInfo& info, TimePoint now);

    /// Returns the regions of the data centres.
    membership::Topology topology() const;

    std::vector<ServiceName> services() const { return m_tree.services(); }

    /// Returns null if the settings do not define the service.
    std::shared_ptr<const settings::ServiceSettings> service(const ServiceName& name);

    /// Returns the maximum time that clients of any service cache an address list.
    microseconds maxKeepTime() const;

    /// Returns null if the settings do not define the organisation or the service.
    std::shared_ptr<const settings::OrganisationSettings> organisation(const policy::TrafficKey& key);

private:
    settings::Tree m_tree;
    boost::unordered_flat_map<ServiceName, std::shared_ptr<const settings::ServiceSettings>, std::hash<ServiceName>> m_services;
    boost::unordered_flat_map<policy::TrafficKey, std::shared_ptr<const settings::OrganisationSettings>> m_organisations;
};

} // namespace swiftloft::entry
