#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <span>
#include <vector>

namespace swiftloft::expertmap {

/// The size of a group's expert map. Each rank has `slotsPerRank` places for expert weights in every layer; what is left
/// over when each expert has one place are spare slots for replicas.
struct MapShape {
    std::uint32_t ranks { 0 };
    std::uint32_t layers { 0 };
    std::uint32_t experts { 0 };
    std::uint32_t slotsPerRank { 0 };

    std::uint32_t slotsPerLayer() const { return ranks * slotsPerRank; }

    friend bool operator==(const MapShape&, const MapShape&) = default;
};

/// A slot that holds no expert.
inline constexpr ExpertIndex noExpert { 0xffff };

/// Which rank holds which experts, by layer. Slots of a layer are ordered by rank.
class ExpertMap {
public:
    /// `slots` holds `layers * ranks * slotsPerRank` entries. Fails with `InvalidArgument` when a size is zero or does not
    /// match, when an expert of some layer has no slot, or when a rank holds one expert twice in a layer.
    static Result<ExpertMap> create(const MapShape& shape, std::vector<ExpertIndex> slots);
    /// Experts in order over the ranks, and spare slots filled with replicas in the same order, half the ranks further
    /// on. Fails when the experts don't fit.
    static Result<ExpertMap> contiguous(const MapShape& shape);

    /// Experts dealt to the ranks one by one, and spare slots empty. Fails when the experts don't fit.
    static Result<ExpertMap> roundRobin(const MapShape& shape);

    const MapShape& shape() const { return m_shape; }
    std::span<const ExpertIndex> layer(LayerIndex layer) const;
    std::span<const ExpertIndex> slots() const { return m_slots; }
    /// Digest of shape and slots: equal maps have equal versions at every process, different ones different.
    MapVersion version() const;

    friend bool operator==(const ExpertMap&, const ExpertMap&) = default;

private:
    ExpertMap(const MapShape& shape, std::vector<ExpertIndex> slots);

    MapShape m_shape;
    std::vector<ExpertIndex> m_slots;
};

/// A map with the name under which its group runs it: its digest, or a number where engines ask for rising ones.
struct VersionedMap {
    MapVersion version;
    ExpertMap map;

    friend bool operator==(const VersionedMap&, const VersionedMap&) = default;
};

/// Counts the experts that ranks must load to go from one map to the other: those that a rank holds in `to` and not in
/// `from`. The maps have one shape.
std::uint64_t expertsMoved(const ExpertMap& from, const ExpertMap& to);

} // namespace swiftloft::expertmap
