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
    std::optional<std::uint32_t> backSlot;

    std::uint32_t copies() const { return backSlot ? 2 : 1; }
};

class ReplicaLayer {
public:
    ReplicaLayer(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> tokens);

    /// Tokens of the most loaded rank over the mean.
    double peak() const;
    /// The change with the best gain in `cost` per copy among those that take load off the most loaded rank. `mayTake`
    /// holds by rank how many more experts it may take in. Nothing when no change gains.
    struct Found {
        ReplicaChange change;
        /// Of `peak`, for each copy.
        double gainPerCopy { 0 };
    };
    std::optional<Found> best(std::span<const std::uint32_t> mayTake) const;
    void make(const ReplicaChange& change);

    std::span<const ExpertIndex> slots() const { return m_slots; }
    std::uint32_t rankOf(std::uint32_t slot) const { return slot / m_slotsPerRank; }

private:
    struct Score {
        double peak { 0 };
        double cost { 0 };
    };

    bool holds(std::uint32_t rank, std::uint32_t expert) const;
    Score scoreWith(const ReplicaChange& change) const;
    void applyTo(std::vector<double>& loads, const ReplicaChange& change) const;
    void shiftReplicas(std::vector<double>& loads, std::uint32_t expert, double from, double to) const;
    Score scoreOf(std::span<const double> loads) const;
    double shareOf(std::uint32_t expert) const { return m_tokens[expert] / static_cast<double>(m_slotsOf[expert].size()); }

    std::uint32_t m_ranks;
    std::uint32_t m_slotsPerRank;
    std::vector<ExpertIndex> m_slots;
    std::vector<std::vector<std::uint32_t>> m_slotsOf;
    std::vector<double> m_tokens;
    std::vector<double> m_loads;
    double m_mean { 0 };
};

} // namespace swiftloft::expertmap::internal
