#include "src/gateway/configuration.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace swiftloft::gateway {

namespace {

std::string routeKey(std::string_view host, std::string_view prefix)
{
    return fmt::format("{}\n{}", host, prefix);
}

} // namespace

Configuration::Configuration(ConfigurationParts parts)
    : m_parts(std::move(parts))
{
}

Result<std::shared_ptr<const Configuration>> Configuration::create(ConfigurationParts parts)
{
    std::shared_ptr<Configuration> configuration(new Configuration(std::move(parts)));
    for (auto& route : configuration->m_parts.routes) {
        auto problem = configuration->validationError(route);
        if (!problem.empty())
            return Error { ErrorCode::InvalidArgument, fmt::format("route {}: {}", route.name, problem) };
    }
    if (!configuration->buildIndexes())
        return Error { ErrorCode::InvalidArgument, "two routes share host and prefix; give each its own prefix" };
    return std::shared_ptr<const Configuration>(std::move(configuration));
}

std::string Configuration::validationError(const Route& route) const
{
    auto& prefix = route.prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return fmt::format("prefix \"{}\" must begin and end with a slash", prefix);
    if (route.services.empty())
        return "must name at least one service";
    if (route.timeout <= milliseconds(0))
        return "timeout must be positive";
    return {};
}

bool Configuration::buildIndexes()
{
    for (std::size_t n = 0; n < m_parts.routes.size(); ++n) {
        auto& route = m_parts.routes[n];
        if (!m_routes.emplace(routeKey(route.host, route.prefix), n).second)
            return false;
        addHostHomes(route);
    }
    for (std::size_t n = 0; n < m_parts.organisations.size(); ++n) {
        for (auto& key : m_parts.organisations[n].keys)
            m_keys.emplace(key, n);
    }
    return true;
}

void Configuration::addHostHomes(const Route& route)
{
    if (route.homes.empty())
        return;
    auto [it, isNew] = m_hostHomes.try_emplace(route.host, HostHomes { route.homes, {} });
    auto& homes = it->second;
    auto isIn = [](const std::vector<RegionName>& regions, const RegionName& region) { return std::find(regions.begin(), regions.end(), region) != regions.end(); };
    std::erase_if(homes.shared, [&](auto& region) { return !isIn(route.homes, region); });
    std::copy_if(route.homes.begin(), route.homes.end(), std::back_inserter(homes.all), [&](auto& region) { return !isIn(homes.all, region); });
}

const HostHomes* Configuration::findHostHomes(std::string_view host) const
{
    auto it = m_hostHomes.empty() ? m_hostHomes.end() : m_hostHomes.find(std::string(host));
    return it == m_hostHomes.end() ? nullptr : &it->second;
}

const Route* Configuration::findRoute(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so only a slash of the path can be the end of a match.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        auto it = m_routes.find(routeKey(host, path.substr(0, end + 1)));
        if (it != m_routes.end())
            return &m_parts.routes[it->second];
    }
    return nullptr;
}

const OrganisationKeys* Configuration::findOrganisation(std::string_view key) const
{
    auto it = m_keys.find(std::string(key));
    return it == m_keys.end() ? nullptr : &m_parts.organisations[it->second];
}

const Service* Configuration::findService(const ServiceName& name) const
{
    auto it = std::find_if(m_parts.services.begin(), m_parts.services.end(), [&](auto& service) { return service.name == name; });
    return it == m_parts.services.end() ? nullptr : &*it;
}

} // namespace swiftloft::gateway
