#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <span>
#include <vector>

namespace swiftloft::expertmap {

/// The dimensions of a group's expert map. Each rank has `slotsPerRank` slots for expert weights in every layer. The
/// slots that remain when each expert has one slot are spare slots for replicas.
struct MapShape {
    std::uint32_t ranks { 0 };
    std::uint32_t layers { 0 };
    std::uint32_t experts { 0 };
    std::uint32_t slotsPerRank { 0 };

    std::uint32_t slotsPerLayer() const { return ranks * slotsPerRank; }

    friend bool operator==(const MapShape&, const MapShape&) = default;
};

/// True if no dimension is zero or too large: at most 4,096 ranks, 1,024 layers, 4,096 experts and 4,096 slots per rank.
bool isValid(const MapShape& shape);

/// Marks a slot that holds no expert.
inline constexpr ExpertIndex noExpert { 0xffff };

/// Assignment of experts to ranks, by layer. The slots of a layer are ordered by rank.
class ExpertMap {
public:
    /// `slots` holds `layers * ranks * slotsPerRank` entries. Fails with `InvalidArgument` when a size is zero, too
    /// large or does not match, when a slot holds an expert out of range, when an expert of some layer has no slot, or
    /// when a rank holds one expert twice in a layer.
    static Result<ExpertMap> create(const MapShape& shape, std::vector<ExpertIndex> slots);
    /// Assigns a contiguous range of experts to each rank and fills the spare slots with replicas in the same order,
    /// offset by half of the ranks. Fails when the experts don't fit.
    static Result<ExpertMap> contiguous(const MapShape& shape);

    /// Assigns experts to the ranks round-robin and leaves the spare slots empty. Fails when the experts don't fit.
    static Result<ExpertMap> roundRobin(const MapShape& shape);

    const MapShape& shape() const { return m_shape; }
    std::span<const ExpertIndex> layer(LayerIndex layer) const;
    std::span<const ExpertIndex> slots() const { return m_slots; }
    /// Digest of shape and slots: equal maps have the same version in every process, different maps have different
    /// versions.
    MapVersion version() const;

    friend bool operator==(const ExpertMap&, const ExpertMap&) = default;

private:
    ExpertMap(const MapShape& shape, std::vector<ExpertIndex> slots);

    MapShape m_shape;
    std::vector<ExpertIndex> m_slots;
};

/// A map and the version under which its group runs it: the map's digest, or a number where engines require increasing
/// versions.
struct VersionedMap {
    MapVersion version;
    ExpertMap map;

    friend bool operator==(const VersionedMap&, const VersionedMap&) = default;
};

/// Returns the number of experts that ranks must load to change from one map to the other: those that a rank holds in
/// `to` but not in `from`. Both maps must have the same shape.
std::uint64_t expertsMoved(const ExpertMap& from, const ExpertMap& to);

} // namespace swiftloft::expertmap
