#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// Models one layer of a map whose engines split tokens evenly among replicas, and searches for the change that
/// improves it most.
namespace swiftloft::expertmap::internal {

/// Puts `expert` into `slot` and drops the content of the slot. If `swapSlot` is set, the content moves there
/// instead: a swap.
struct ReplicaChange {
    std::uint32_t slot { 0 };
    std::uint32_t expert { 0 };
    std::optional<std::uint32_t> swapSlot;

    std::uint32_t copies() const { return swapSlot ? 2 : 1; }
};

class ReplicaLayer {
public:
    /// `paces` holds by rank how many times as long as usual a token takes there; 1 is usual.
    ReplicaLayer(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> tokens, std::span<const double> paces);

    /// Returns the rank that takes the longest.
    std::uint32_t slowestRank() const;
    /// Returns the time of the slowest rank relative to that of the mean load at the usual pace; 0 without tokens.
    double peakRatio() const;
    /// Finds the change with the best cost reduction per copy among those that take load off the slowest rank.
    /// `copyBudgets` holds by rank how many more experts it may copy. Returns `nullopt` when no change reduces the
    /// cost.
    std::optional<ReplicaChange> findBestChange(std::span<const std::uint32_t> copyBudgets) const;
    void apply(const ReplicaChange& change);

    std::span<const ExpertIndex> slots() const { return m_slots; }
    std::uint32_t rankOf(std::uint32_t slot) const { return slot / m_slotsPerRank; }

private:
    /// Load that a change adds to the few ranks that it affects.
    class LoadChanges;
    class BestChange;

    bool holds(std::uint32_t rank, std::uint32_t expert) const;
    bool mayMoveTo(std::uint32_t rank, std::uint32_t hot, std::uint32_t expert, std::span<const std::uint32_t> copyBudgets) const;
    void considerReplicas(std::uint32_t hot, std::uint32_t expert, std::span<const std::uint32_t> copyBudgets, BestChange& best) const;
    void considerSwaps(std::uint32_t hot, std::uint32_t hotSlot, std::span<const std::uint32_t> copyBudgets, BestChange& best) const;
    void collectLoadChanges(const ReplicaChange& change, LoadChanges& changes) const;
    /// Returns the reduction of the layer's cost by a change.
    double costSaved(const LoadChanges& changes) const;
    double timeOf(std::uint32_t rank) const { return m_loads[rank] * m_paces[rank]; }
    double costOf(std::uint32_t rank, double load) const;
    void setLoad(std::uint32_t rank, double load);
    double shareOf(std::uint32_t expert) const { return m_tokens[expert] / static_cast<double>(m_slotsOfExpert[expert].size()); }

    std::uint32_t m_ranks;
    std::uint32_t m_slotsPerRank;
    std::vector<ExpertIndex> m_slots;
    std::vector<std::vector<std::uint32_t>> m_slotsOfExpert;
    std::vector<double> m_tokens;
    std::vector<double> m_paces;
    std::vector<double> m_loads;
    /// Contribution of each rank to the cost of the layer.
    std::vector<double> m_costs;
    double m_meanLoad { 0 };
};

} // namespace swiftloft::expertmap::internal
