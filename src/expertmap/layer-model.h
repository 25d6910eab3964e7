#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <cstdint>
#include <span>
#include <vector>

/// Predicts the time of one layer under a placement. The tokens of an expert are split among its replicas so that the
/// ranks that hold it finish as evenly as possible. All times are given as the number of tokens that a rank of speed 1
/// processes in that time.
namespace swiftloft::expertmap::internal {

/// Puts `expert` into `slot` and drops the content of the slot. If `swapSlot` is set, the content moves there
/// instead: a swap.
struct PlacementChange {
    std::uint32_t slot { 0 };
    std::uint32_t expert { 0 };
    std::uint32_t swapSlot { noSlot };

    static constexpr std::uint32_t noSlot = 0xffffffff;

    bool isSwap() const { return swapSlot != noSlot; }
};

class LayerModel {
public:
    /// `loads` holds the tokens by expert, `speeds` the speed by rank (1 is normal).
    LayerModel(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> loads, std::span<const double> speeds);

    double rankTime(std::uint32_t rank) const { return m_rankLoads[rank] / m_speeds[rank]; }
    double maxTime() const;
    /// Time at which all ranks would finish together: total tokens over total speed.
    double meanTime() const { return m_meanTime; }
    /// Smooth approximation of the greatest rank time over the mean: the 32-norm over the ranks. Unlike the maximum,
    /// it also improves when one of several equally slow ranks does.
    double norm() const { return m_norm; }

    double shareOf(std::uint32_t slot) const { return m_shares[slot]; }
    std::uint32_t expertAt(std::uint32_t slot) const { return m_slots[slot]; }
    std::uint32_t replicas(std::uint32_t expert) const { return static_cast<std::uint32_t>(m_slotsOfExpert[expert].size()); }
    bool holds(std::uint32_t rank, std::uint32_t expert) const;
    std::span<const double> shares() const { return m_shares; }

    /// Returns the norm that the model would have after `change`. The model itself is left unchanged.
    double normAfter(const PlacementChange& change);
    void apply(const PlacementChange& change);

private:
    void assignSlot(std::uint32_t slot, std::uint32_t expert);
    void updatePlacement(const PlacementChange& change);
    void waterFill(std::uint32_t expert);
    void sweep();
    double computeNorm() const;
    std::uint32_t rankOf(std::uint32_t slot) const { return slot / m_slotsPerRank; }

    std::uint32_t m_slotsPerRank;
    std::vector<std::uint32_t> m_slots;
    std::vector<std::vector<std::uint32_t>> m_slotsOfExpert;
    std::vector<double> m_loads;
    std::vector<double> m_speeds;
    std::vector<double> m_shares;
    std::vector<double> m_rankLoads;
    std::vector<double> m_savedShares;
    std::vector<double> m_savedRankLoads;
    double m_meanTime { 0 };
    double m_norm { 0 };
};

/// Returns a lower bound of the time of any placement: the mean, or the time of the expert with the most tokens when
/// these are spread over `maxReplicas` ranks. `loads` holds the loads of one layer; `totalSpeed` is the sum over all
/// ranks.
double lowerBound(std::span<const double> loads, double totalSpeed, std::uint32_t maxReplicas);

} // namespace swiftloft::expertmap::internal
