#pragma once

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <vector>

namespace swiftloft::agent {

/// A map told by what differs from one that the receiver has: a change of 120 experts is half a kilobyte where the map of
/// 16 layers and 24 ranks is four. Told whole to 23 ranks over 8 Mbit/s it took 90 ms, in which all steps are uneven.
struct MapDifference {
    struct Slot {
        /// Place in the map, by layer, rank and slot.
        std::uint32_t index { 0 };
        ExpertIndex expert;

        friend bool operator==(const Slot&, const Slot&) = default;
    };

    MapVersion base;
    MapVersion version;
    std::vector<Slot> slots;
};

/// Both maps have one shape.
MapDifference differenceBetween(const expertmap::VersionedMap& base, const expertmap::VersionedMap& next);

/// The map that `difference` tells of. Fails with `MalformedInput` when it does not fit `base`.
Result<expertmap::VersionedMap> applyDifference(const expertmap::ExpertMap& base, const MapDifference& difference);

} // namespace swiftloft::agent
