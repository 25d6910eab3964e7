#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// One layer of a map under even splitting, and the search for the copy that helps it most.
namespace swiftloft::expertmap::internal {

/// Put `expert` into `slot`, dropping what is there. With `backSlot`, what was there goes to that slot: a swap.
struct ReplicaChange {
    std::uint32_t slot { 0 };
    std::uint32_t expert { 0 };
    std::optional<std::uint32_t> swapSlot;

    std::uint32_t copies() const { return swapSlot ? 2 : 1; }
};

class ReplicaLayer {
public:
    /// `paces` holds by rank how much longer a token takes there than usual; 1 is usual.
    ReplicaLayer(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> tokens, std::span<const double> paces);

    /// The one that takes the longest.
    std::uint32_t slowestRank() const;
    /// Time of the rank that takes the longest over that of the mean tokens at the usual pace.
    double peakRatio() const;
    /// The change with the best gain in cost per copy among those that take load off the most loaded rank. `mayTake` holds
    /// by rank how many more experts it may take in. Nothing when no change gains.
    std::optional<ReplicaChange> findBestChange(std::span<const std::uint32_t> copyBudgets) const;
    void apply(const ReplicaChange& change);

    std::span<const ExpertIndex> slots() const { return m_slots; }
    std::uint32_t rankOf(std::uint32_t slot) const { return slot / m_slotsPerRank; }

private:
    /// What a change adds to the loads of the few ranks that it touches.
    class LoadChanges;
    class BestChange;

    bool holds(std::uint32_t rank, std::uint32_t expert) const;
    bool mayMoveTo(std::uint32_t rank, std::uint32_t hot, std::uint32_t expert, std::span<const std::uint32_t> copyBudgets) const;
    void considerReplicas(std::uint32_t hot, std::uint32_t expert, std::span<const std::uint32_t> copyBudgets, BestChange& best) const;
    void considerSwaps(std::uint32_t hot, std::uint32_t hotSlot, std::span<const std::uint32_t> copyBudgets, BestChange& best) const;
    void collectLoadChanges(const ReplicaChange& change, LoadChanges& changes) const;
    /// What a change takes off the cost of the layer.
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
    /// What each rank adds to the cost of the layer.
    std::vector<double> m_costs;
    double m_meanLoad { 0 };
};

} // namespace swiftloft::expertmap::internal
