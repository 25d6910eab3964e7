#pragma once

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/expertmap/planner.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace swiftloft::expertmap {

/// Plans maps for engines that split an expert's tokens evenly among its replicas, where demand shifts within
/// seconds.
///
/// `Planner` is for demand that drifts over minutes and for engines that split tokens as instructed. This planner
/// reacts to one shift at a time. It keeps a short history of demand, which it discards when demand shifts. It
/// relieves the slowest rank by the change that gains most per copy: a replica in a spare slot, a replica in place of
/// one that is no longer needed, or a swap. The planner reads no clock: the time is passed with each call.
class ReplicaPlanner {
public:
    struct Options {
        /// Half-life of the token counts in the history. Must be long compared with the time between reports, and
        /// short compared with the time between shifts.
        milliseconds halfLife { 500 };
        /// Minimum number of tokens in the history of a layer before anything is planned, and in a report before it
        /// is compared with the history.
        double minTokens { 2000 };
        /// A report indicates a shift when its dissimilarity to the history exceeds this multiple of the usual
        /// dissimilarity of reports. Dissimilarity is 1 minus the cosine similarity of two demands, averaged over the
        /// layers.
        double shiftThreshold { 3 };
        /// Initial value of the usual dissimilarity, before reports have shown it. The usual dissimilarity is never
        /// assumed to be less than a third of this value.
        double baselineDissimilarity { 0.03 };
        /// Maximum number of experts of one layer that a rank copies in one change.
        std::uint32_t maxCopiesPerRankAndLayer { 4 };
        /// Maximum number of experts that a rank copies in one change, over all layers. This bounds the copying time,
        /// because ranks copy in parallel.
        std::uint32_t maxCopiesPerRank { 4 };
        /// A layer is left unchanged when its slowest rank takes at most this multiple of the mean.
        double balancedPeakRatio { 1.08 };
        /// Minimum fraction of the step time that a change must save per copy of the rank that copies most. Ranks
        /// copy in parallel, so that rank determines how long the change takes. If a change were charged for the
        /// copies of all ranks together, no change of a large group could pay off, whatever it gained.
        double minGainPerCopy { 0.024 };
        /// Part of the step time saved by all changes of a search that a plan keeps. The last changes relieve the
        /// slowest ranks little, and are left out for the memory that they move.
        double gainShare { 1 };
        /// Minimum fraction of the step time that a change must save in total.
        double minGain { 0.04 };
    };

    /// Fails with `InvalidArgument` when the half-life or a limit on copies is not positive, or the shape is invalid.
    static Result<ReplicaPlanner> create(const MapShape& shape, const Options& options);

    /// Adds a report of tokens by layer and expert counted since the previous report. Returns an error, and changes
    /// nothing, when the number of values is wrong or a value is negative or not finite.
    std::optional<Error> observe(TimePoint now, std::span<const double> tokens);
    /// Sets how many times as long as usual a token takes on a rank; the initial value is 1. One slow engine slows
    /// down its whole group, so the planner gives it the experts with the least demand. Values that are below 1 or
    /// not finite count as 1.
    void setPace(RankIndex rank, double pace);
    /// Plans the next map from `current`. The plan has no map when no change is worthwhile. `loadShare` is the fraction
    /// of the step time that depends on the number of tokens, 0 to 1. It is small for a group with little work, and
    /// then no map shortens the steps by much.
    Plan plan(const ExpertMap& current, double loadShare = 1) const;
    /// Plans several maps, each of which copies more experts than the one before: `copiesPerStage` on each rank, twice
    /// as many, and so on up to `Options::maxCopiesPerRank`. Each plan contains the moves from `current`. Plans are
    /// passed to `onStage` in this order, until it returns false. As in `plan`, a plan that is not worthwhile has no
    /// map, though a later one may have one.
    void planStages(const ExpertMap& current, double loadShare, std::uint32_t copiesPerStage, const std::function<bool(const Plan&)>& onStage) const;
    /// Returns how many times as long as usual a token takes on the slowest rank.
    double slowestPace() const;
    /// Returns the time of the slowest rank relative to that of evenly loaded ranks at the usual pace, averaged over
    /// the layers; 1 is balanced. Returns 0 while no tokens are known.
    double imbalance(const ExpertMap& map) const;
    bool hasEnoughTokens() const;
    /// Returns the time of the last report that indicated a shift; unset before the first shift. The report that
    /// indicates a shift may contain tokens of the old and of the new demand, so it is not a reliable basis for a plan.
    /// A second report that is similar to the first one is a reliable basis.
    std::optional<TimePoint> shiftedAt() const { return m_shiftedAt; }

private:
    ReplicaPlanner(const MapShape& shape, const Options& options);

    std::span<const double> layerTokens(std::uint32_t layer) const;
    bool detectShift();

    MapShape m_shape;
    Options m_options;
    /// Token counts by layer and expert, decayed over time.
    std::vector<double> m_decayedTokens;
    std::vector<double> m_paces;
    TimePoint m_observedAt;
    /// Tokens reported since the last comparison with the history.
    std::vector<double> m_recentTokens;
    std::optional<TimePoint> m_shiftedAt;
    /// Mean dissimilarity of the reports that did not indicate a shift.
    double m_baselineDissimilarity { 0 };
};

} // namespace swiftloft::expertmap
