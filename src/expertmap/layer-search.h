#pragma once

#include "src/expertmap/layer-model.h"

#include <swiftloft/units.h>

#include <optional>
#include <vector>

namespace swiftloft::expertmap::internal {

struct FilledSlot {
    std::uint32_t slot { 0 };
    std::uint32_t expert { 0 };
};

struct SearchStep {
    /// Predicted time saved, in parts of the layer's mean time.
    double gain { 0 };
    std::vector<FilledSlot> filled;
};

/// Local search over the placement of one layer. A change counts by its gains under the fast and the slow estimate, the
/// latter with the weight `caution`.
class LayerSearch {
public:
    LayerSearch(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> fast, std::span<const double> slow,
        std::span<const double> speeds, std::span<const TimePoint> pinnedUntil, TimePoint now, double slowWeight);

    /// Predicted time of the layer over its mean time.
    double relativeTime() const { return m_fast.norm(); }
    /// How far the layer lies above the mean: no change gains more.
    double excess() const;
    /// Makes the change with the best gain per expert moved, if that gain is `leastGain` an expert or more and it moves
    /// no more than `allowed`. Counts predictions into `predictions`.
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
