#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <span>

namespace swiftloft::expertmap::replay {

/// Packs one layer from scratch. Each spare slot goes to the expert with the most load per replica; then the replicas
/// are placed in order of descending load, each on the rank with the least time that has a free slot and does not
/// hold the expert yet.
std::vector<ExpertIndex> packLayer(const MapShape& shape, std::span<const double> loads, std::span<const double> speeds);

/// Permutes the ranks of `packed` so that each rank of `held` is matched with a packed rank that shares many experts
/// with it. The greatest overlaps are matched first.
std::vector<ExpertIndex> matchRanks(const MapShape& shape, std::span<const ExpertIndex> held, std::span<const ExpertIndex> packed);

} // namespace swiftloft::expertmap::replay
