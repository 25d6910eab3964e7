#include "src/gateway/homes.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace swiftloft::gateway {

namespace {

Error unknownHome(std::string_view owner, std::string_view name, std::string_view key, const RegionName& home, const DataCentreRegions& regions)
{
    auto known = regions.isEmpty() ? std::string("the settings name no regions") : fmt::format("known regions are {}", fmt::join(regions.names(), ", "));
    return { ErrorCode::InvalidArgument, fmt::format("{} {}: key '{}' names the unknown region '{}'; {}", owner, name, key, home.value(), known) };
}

} // namespace

HomeSet HomeSet::only(std::uint64_t bits)
{
    HomeSet homes;
    homes.m_isRestricted = true;
    homes.m_bits = bits;
    return homes;
}

Result<DataCentreRegions> DataCentreRegions::create(std::map<DataCentreName, RegionName> regions)
{
    DataCentreRegions out;
    for (auto& [dataCentre, region] : regions)
        out.m_bits.emplace(region, 0);
    if (out.m_bits.size() > maxRegions)
        return Error { ErrorCode::InvalidArgument, fmt::format("{} regions; at most {} are possible", out.m_bits.size(), maxRegions) };
    std::uint64_t bit = 1;
    for (auto& [region, assigned] : out.m_bits)
        assigned = std::exchange(bit, bit << 1);
    out.m_regions = std::move(regions);
    return out;
}

const RegionName* DataCentreRegions::regionOf(const DataCentreName& dataCentre) const
{
    auto it = m_regions.find(dataCentre);
    return it == m_regions.end() ? nullptr : &it->second;
}

std::uint64_t DataCentreRegions::bitOf(const DataCentreName& dataCentre) const
{
    auto* region = regionOf(dataCentre);
    return region ? bitOf(*region) : 0;
}

std::uint64_t DataCentreRegions::bitOf(const RegionName& region) const
{
    auto it = m_bits.find(region);
    return it == m_bits.end() ? 0 : it->second;
}

std::uint64_t DataCentreRegions::bitsOf(std::span<const RegionName> regions) const
{
    std::uint64_t bits = 0;
    for (auto& region : regions)
        bits |= bitOf(region);
    return bits;
}

std::vector<std::string> DataCentreRegions::names(std::uint64_t bits) const
{
    std::vector<std::string> names;
    for (auto& [region, bit] : m_bits) {
        if ((bits & bit) != 0)
            names.push_back(region.value());
    }
    return names;
}

HomeSet homesOf(std::span<const RegionName> route, std::span<const RegionName> organisation, const DataCentreRegions& regions)
{
    if (route.empty() && organisation.empty())
        return {};
    auto bits = ~std::uint64_t(0);
    for (auto& homes : { route, organisation }) {
        if (!homes.empty())
            bits &= regions.bitsOf(homes);
    }
    return HomeSet::only(bits);
}

Result<void> checkHomes(const Configuration& configuration, const DataCentreRegions& regions, std::string_view key)
{
    auto firstUnknown = [&](const std::vector<RegionName>& homes) {
        return std::find_if(homes.begin(), homes.end(), [&](auto& home) { return regions.bitOf(home) == 0; });
    };
    for (auto& route : configuration.routes()) {
        if (auto home = firstUnknown(route.homes); home != route.homes.end())
            return unknownHome("route", route.name, key, *home, regions);
    }
    for (auto& organisation : configuration.organisations()) {
        if (auto home = firstUnknown(organisation.homes); home != organisation.homes.end())
            return unknownHome("organisation", organisation.name.value(), key, *home, regions);
    }
    return {};
}

ConfigurationDecoder withCheckedHomes(ConfigurationDecoder decode, DataCentreRegions regions, std::string key)
{
    return [decode = std::move(decode), regions = std::move(regions), key = std::move(key)](std::string_view document) {
        auto configuration = decode(document);
        if (!configuration)
            return configuration;
        auto checked = checkHomes(**configuration, regions, key);
        if (!checked)
            return Result<std::shared_ptr<const Configuration>>(Error { ErrorCode::MalformedInput, checked.error().message });
        return configuration;
    };
}

} // namespace swiftloft::gateway
