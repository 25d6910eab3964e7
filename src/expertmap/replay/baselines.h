#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <span>

namespace swiftloft::expertmap::replay {

/// Packs one layer anew: spare slots go one by one to the expert with the most load a replica, then the replicas are
/// placed longest first on the rank with the least time that has a slot and not yet the expert.
std::vector<ExpertIndex> packLayer(const MapShape& shape, std::span<const double> loads, std::span<const double> speeds);

/// The same packing with its ranks renamed, so that each rank of `held` gets a packed rank with which it shares much:
/// the greatest overlaps are matched first.
std::vector<ExpertIndex> matchRanks(const MapShape& shape, std::span<const ExpertIndex> held, std::span<const ExpertIndex> packed);

} // namespace swiftloft::expertmap::replay
