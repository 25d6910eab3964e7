#include "src/agent/map-difference.h"

namespace swiftloft::agent {

using namespace expertmap;

MapDifference differenceBetween(const VersionedMap& base, const VersionedMap& next)
{
    MapDifference difference { base.version, next.version, {} };
    auto before = base.map.slots();
    auto after = next.map.slots();
    for (std::uint32_t n = 0; n < after.size(); ++n) {
        if (before[n] != after[n])
            difference.slots.push_back({ n, after[n] });
    }
    return difference;
}

Result<VersionedMap> applyDifference(const ExpertMap& base, const MapDifference& difference)
{
    std::vector<ExpertIndex> slots(base.slots().begin(), base.slots().end());
    for (auto& slot : difference.slots) {
        if (slot.index >= slots.size())
            return Error { ErrorCode::MalformedInput, "map difference names a slot outside its base map" };
        slots[slot.index] = slot.expert;
    }
    auto map = ExpertMap::create(base.shape(), std::move(slots));
    if (!map)
        return Error { ErrorCode::MalformedInput, map.error().message };
    return VersionedMap { difference.version, std::move(*map) };
}

} // namespace swiftloft::agent
