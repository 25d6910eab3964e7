#pragma once

#include "src/gateway/configuration.h"

#include <swiftloft/result.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Homes: the regions whose servers may get the requests of a route or an organisation.
namespace swiftloft::gateway {

/// The regions whose servers may get a request. By default every server may, also one whose region is unknown.
class HomeSet {
public:
    /// Allows only the regions of `bits`, which are bits of `DataCentreRegions`.
    static HomeSet only(std::uint64_t bits);

    /// `regionBit` is the bit of a server's region, 0 if that is unknown.
    bool allows(std::uint64_t regionBit) const { return !m_isRestricted || (m_bits & regionBit) != 0; }
    /// Bits of the allowed regions; 0 if every server is allowed.
    std::uint64_t bits() const { return m_bits; }
    bool isRestricted() const { return m_isRestricted; }
    /// True if no region is allowed.
    bool isEmpty() const { return m_isRestricted && m_bits == 0; }

    friend auto operator<=>(const HomeSet&, const HomeSet&) = default;

private:
    bool m_isRestricted { false };
    std::uint64_t m_bits { 0 };
};

/// The region of each data centre, from the settings of the process; constant while it runs. Each region is one bit, so
/// that a server is compared with the homes of a request without an allocation.
class DataCentreRegions {
public:
    static constexpr std::size_t maxRegions { 64 };

    /// Knows no region.
    DataCentreRegions() = default;
    /// Fails with `InvalidArgument` if there are more than `maxRegions` regions.
    static Result<DataCentreRegions> create(std::map<DataCentreName, RegionName> regions);

    bool isEmpty() const { return m_regions.empty(); }
    /// Null for an unknown data centre.
    const RegionName* regionOf(const DataCentreName& dataCentre) const;
    /// Bit of the data centre's region; 0 for an unknown data centre.
    std::uint64_t bitOf(const DataCentreName& dataCentre) const;
    /// 0 for an unknown region.
    std::uint64_t bitOf(const RegionName& region) const;
    /// Bits of the known regions among `regions`.
    std::uint64_t bitsOf(std::span<const RegionName> regions) const;
    /// The names of the regions of `bits`, in order; by default of all.
    std::vector<std::string> names(std::uint64_t bits = ~std::uint64_t(0)) const;

private:
    std::map<DataCentreName, RegionName> m_regions;
    std::map<RegionName, std::uint64_t> m_bits;
};

/// The regions whose servers may get a request of a route and an organisation with these homes: where both name homes,
/// the regions that both name. A list without elements does not restrict; an unknown region is left out.
HomeSet homesOf(std::span<const RegionName> route, std::span<const RegionName> organisation, const DataCentreRegions& regions);

/// Fails with `InvalidArgument` if a home is not a region of `regions`. The error names the route or organisation, `key`
/// (the document's key of homes), the home, and the known regions.
Result<void> checkHomes(const Configuration& configuration, const DataCentreRegions& regions, std::string_view key);

using ConfigurationDecoder = std::function<Result<std::shared_ptr<const Configuration>>(std::string_view document)>;

/// Returns `decode` with `checkHomes`: a document that names an unknown region fails with `MalformedInput`.
ConfigurationDecoder withCheckedHomes(ConfigurationDecoder decode, DataCentreRegions regions, std::string key);

} // namespace swiftloft::gateway
