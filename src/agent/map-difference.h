#pragma once

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <vector>

namespace swiftloft::agent {

/// An expert map expressed as its difference from a map that the receiver already has. A change of 120 experts takes
/// half a kilobyte, while the whole map of 16 layers and 24 ranks takes four. Sending the whole map to 23 ranks over 8
/// Mbit/s took 90 ms, and until all ranks have the new map, all steps are unbalanced.
struct MapDifference {
    struct Slot {
        /// Position in the map, ordered by layer, rank and slot.
        std::uint32_t index { 0 };
        ExpertIndex expert;

        friend bool operator==(const Slot&, const Slot&) = default;
    };

    MapVersion base;
    MapVersion version;
    std::vector<Slot> slots;
};

/// Returns the difference that turns `base` into `next`. Both maps must have the same shape.
MapDifference differenceBetween(const expertmap::VersionedMap& base, const expertmap::VersionedMap& next);

/// Returns the map that results from applying `difference` to `base`. Fails with `MalformedInput` if the difference
/// does not fit `base`.
Result<expertmap::VersionedMap> applyDifference(const expertmap::ExpertMap& base, const MapDifference& difference);

} // namespace swiftloft::agent
