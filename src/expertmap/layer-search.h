#pragma once

#include "src/expertmap/layer-model.h"

#include <swiftloft/units.h>

#include <optional>
#include <vector>

namespace swiftloft::expertmap::internal {

/// A slot and the expert that a change puts into it.
struct FilledSlot {
    std::uint32_t slot { 0 };
    std::uint32_t expert { 0 };
};

/// One change that the search has applied.
struct SearchStep {
    /// Predicted time saved, as a fraction of the layer's mean time.
    double gain { 0 };
    std::vector<FilledSlot> filled;
};

/// Local search over the placement of one layer. The gain of a change is the weighted mean of its gains under the fast
/// and the slow average of `LoadEstimate`, where the slow one has the weight `slowWeight`.
class LayerSearch {
public:
    LayerSearch(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> fast, std::span<const double> slow,
        std::span<const double> speeds, std::span<const TimePoint> pinnedUntil, TimePoint now, double slowWeight);

    /// Predicted time of the layer relative to its mean time.
    double relativeTime() const { return m_fast.norm(); }
    /// Amount by which the predicted time of the layer exceeds its mean time, as a fraction of the mean. No change can
    /// gain more than this.
    double excess() const;
    /// Applies the change with the best gain per moved expert, if that gain is at least `minGain` and the change moves
    /// at most `budget` experts. Returns `nullopt` if there is no such change. Adds the number of predictions made to
    /// `predictions`.
    std::optional<SearchStep> improve(double minGain, std::uint64_t budget, std::uint32_t& predictions);

private:
    struct Candidate {
        PlacementChange change;
        double gainPerExpert { 0 };
    };

    std::vector<PlacementChange> candidates() const;
    void addCandidates(std::uint32_t hotSlot, std::uint32_t coldRank, std::vector<PlacementChange>& out) const;
    bool mayFill(std::uint32_t slot) const { return m_pinnedUntil[slot] <= m_now; }
    double blend(double fast, double slow) const { return (1 - m_slowWeight) * fast + m_slowWeight * slow; }
    SearchStep apply(const PlacementChange& change, double gain);

    std::uint32_t m_slotsPerRank;
    LayerModel m_fast;
    LayerModel m_slow;
    std::vector<TimePoint> m_pinnedUntil;
    TimePoint m_now;
    double m_slowWeight;
};

} // namespace swiftloft::expertmap::internal
