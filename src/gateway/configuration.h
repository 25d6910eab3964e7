#pragma once

#include "src/gateway/model.h"

#include <swiftloft/result.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::gateway {

/// Orders published configurations: a higher version is newer.
using ConfigurationVersion = Strong<struct ConfigurationVersionTag, std::uint64_t>;

/// Decoded content of a configuration.
struct ConfigurationParts {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<OrganisationKeys> organisations;
    ClientLimits limits;
};

/// The homes of a host's routes. Routes without homes are left out.
struct HostHomes {
    /// Regions that are a home of each of the routes.
    std::vector<RegionName> shared;
    /// Regions that are a home of at least one of the routes.
    std::vector<RegionName> all;
};

/// One published configuration, immutable and indexed for the lookups of each request.
class Configuration {
public:
    /// Fails with `InvalidArgument`, naming the route, when a prefix does not begin and end with a slash or a route has
    /// no service or no positive timeout. Also fails when two routes share host and prefix.
    static Result<std::shared_ptr<const Configuration>> create(ConfigurationParts parts);

    ConfigurationVersion version() const { return m_parts.version; }
    const ClientLimits& limits() const { return m_parts.limits; }
    const std::vector<Route>& routes() const { return m_parts.routes; }
    const std::vector<OrganisationKeys>& organisations() const { return m_parts.organisations; }
    const std::vector<Service>& services() const { return m_parts.services; }

    /// Returns the route of `host` with the longest prefix of `path`; null when there is none.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// Returns the organisation that holds `key`; null when there is none.
    const OrganisationKeys* findOrganisation(std::string_view key) const;
    /// Returns null for a service that the configuration does not describe.
    const Service* findService(const ServiceName& name) const;
    /// Returns null if no route of `host` has homes.
    const HostHomes* findHostHomes(std::string_view host) const;
    /// False when no organisation is configured. Requests then need no key.
    bool hasOrganisations() const { return !m_parts.organisations.empty(); }

private:
    explicit Configuration(ConfigurationParts parts);
    std::string validationError(const Route& route) const;
    bool buildIndexes();
    void addHostHomes(const Route& route);

    ConfigurationParts m_parts;
    /// Index of routes. The key is the host, a newline and the prefix.
    boost::unordered_flat_map<std::string, std::size_t> m_routes;
    boost::unordered_flat_map<std::string, std::size_t> m_keys;
    /// The homes of the routes of each host that has a route with homes.
    boost::unordered_flat_map<std::string, HostHomes> m_hostHomes;
};

/// Priority of an organisation's requests on a route: its own, else that of the route. `organisation` may be null.
inline unsigned priorityOf(const Route& route, const OrganisationKeys* organisation)
{
    return organisation ? organisation->priority.value_or(route.priority) : route.priority;
}

} // namespace swiftloft::gateway
