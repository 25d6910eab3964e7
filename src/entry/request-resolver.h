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

/// A request with the settings that hold for it filled in.
struct ResolvedRequest {
    std::shared_ptr<const settings::ServiceSettings> service;
    std::shared_ptr<const settings::OrganisationSettings> organisation;
    bool isRepeatable { false };
    TimePoint deadline;
    Fingerprint fingerprint;
};

/// Finds the service and organisation of each request in the settings in force and checks the organisation's key.
///
/// Effective settings are worked out at first use and kept until the next revision, since a walk of the tree costs more
/// than a whole routing decision.
class RequestResolver {
public:
    explicit RequestResolver(settings::Tree tree);

    /// The request with its settings, or why it is refused; the refusal's verdict is the caller's to set.
    boost::variant2::variant<ResolvedRequest, Refusal> resolve(const RequestInfo& info, TimePoint now);

    /// Regions of the data centres.
    membership::Topology topology() const;

    std::vector<ServiceName> services() const { return m_tree.services(); }

    std::shared_ptr<const settings::ServiceSettings> service(const ServiceName& name);

    /// The longest time that clients keep an address answer of any service.
    microseconds maxKeepTime() const;

    /// Null when the settings name no such organisation or service.
    std::shared_ptr<const settings::OrganisationSettings> organisation(const policy::TrafficKey& key);

private:
    settings::Tree m_tree;
    boost::unordered_flat_map<ServiceName, std::shared_ptr<const settings::ServiceSettings>, std::hash<ServiceName>> m_services;
    boost::unordered_flat_map<policy::TrafficKey, std::shared_ptr<const settings::OrganisationSettings>> m_organisations;
};

} // namespace swiftloft::entry
