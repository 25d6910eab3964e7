#pragma once

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/expertmap/planner.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace swiftloft::expertmap {

/// Plans maps for engines that split an expert's tokens evenly among its replicas, where demand shifts within seconds.
///
/// `Planner` is for demand that drifts over minutes and for engines that split tokens as told. This one reacts to one
/// shift at a time: it keeps a short memory that ends where demand shifts, and takes from the rank with the most tokens
/// what gains most for one copy, by a replica in a spare slot, a replica in the place of one that is no longer needed, or
/// a swap. Pure: the time comes with each call.
class ReplicaPlanner {
public:
    struct Options {
        /// Memory of the token counts. Long against the time between reports, short against the time between shifts.
        milliseconds halfLife { 500 };
        /// Tokens a layer must have seen within the memory before anything is planned, and within a report before it is
        /// compared with the memory.
        double minTokens { 2000 };
        /// A report that is so many times as unlike the memory as reports usually are tells of a shift. Unlikeness is 1
        /// less the cosine of the two demands, averaged over the layers.
        double shiftThreshold { 3 };
        /// What passes for usual before reports have shown it; never less than a third of it.
        double baselineDissimilarity { 0.03 };
        /// Most experts of one layer that a rank takes in with one change.
        std::uint32_t maxCopiesPerRankAndLayer { 4 };
        /// Most experts that a rank takes in with one change, over all layers: copying time, as ranks copy side by side.
        std::uint32_t maxCopiesPerRank { 4 };
        /// A layer whose most loaded rank has at most so many times the mean is left alone.
        double balancedPeakRatio { 1.08 };
        /// Least part of the step time that a change must save for each copy of the rank with the most: ranks copy side by
        /// side, so that one decides how long the change takes. Charged for the copies of all ranks together, no change of a
        /// large group could pay off, whatever it gained.
        double minGainPerCopy { 0.024 };
        /// Least part of the step time that a change must save in all.
        double minGain { 0.04 };
    };

    /// Fails with `InvalidArgument` when a bound or time is not positive.
    static Result<ReplicaPlanner> create(const MapShape& shape, const Options& options);

    /// Takes tokens by layer and expert counted since the last report.
    std::optional<Error> observe(TimePoint now, std::span<const double> tokens);
    /// How much longer a token takes at a rank than usual; 1 until it is told. One slow engine paces all of its group: the
    /// planner gives it the experts that are least in demand. Values below 1 and no numbers count as 1.
    void setPace(RankIndex rank, double pace);
    /// The next map, from `current`. No map when nothing is worth a change. `loadShare` is the part of a step that depends on
    /// the tokens, 0 to 1: a group with little work has steps that no map makes shorter.
    Plan plan(const ExpertMap& current, double loadShare = 1) const;
    /// How much longer a token takes at the slowest rank than usual.
    double slowestPace() const;
    /// Time of the slowest rank over that of even ranks at the usual pace, averaged over the layers; 1 is even. 0 while
    /// nothing is known.
    double imbalance(const ExpertMap& map) const;
    bool hasEnoughTokens() const;
    /// When a report last told of a shift. Around a shift reports hold tokens of both demands, so the first one after it
    /// is no good ground for a plan; a second one like it is. Unset before the first shift.
    std::optional<TimePoint> shiftedAt() const { return m_shiftedAt; }

private:
    ReplicaPlanner(const MapShape& shape, const Options& options);

    std::span<const double> layerTokens(std::uint32_t layer) const;
    bool detectShift();

    MapShape m_shape;
    Options m_options;
    /// Decayed token counts by layer and expert.
    std::vector<double> m_decayedTokens;
    std::vector<double> m_paces;
    TimePoint m_observedAt;
    /// Tokens reported since the last comparison with the memory.
    std::vector<double> m_recentTokens;
    std::optional<TimePoint> m_shiftedAt;
    /// Mean unlikeness of the reports that told of no shift.
    double m_baselineDissimilarity { 0 };
};

} // namespace swiftloft::expertmap
