#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace swiftloft::expertmap {

/// Distinguishes slow hardware from an expert in high demand: detects ranks that take longer than the others for the
/// same number of tokens.
///
/// Uses a threshold with persistence: a rank is a straggler when its time per token, relative to the median of the
/// ranks, stays above a bound for several consecutive observations. docs/design/expert-maps.md compares this method
/// with a Pareto-tail expectation.
class StragglerDetector {
public:
    struct Options {
        /// A rank is suspect when its time per token is above this multiple of the median.
        double factor { 1.12 };
        /// Number of consecutive observations above the bound that mark a rank as a straggler, and below it that
        /// clear the mark.
        std::uint32_t persistence { 3 };
        /// Weight of a new observation in the reported speed.
        double speedWeight { 0.3 };
    };

    /// Fails with `InvalidArgument` when there are no ranks, the factor is not above 1, the persistence is 0 or the
    /// weight is not within (0, 1].
    static Result<StragglerDetector> create(std::uint32_t ranks, const Options& options);

    /// Adds the busy time and the tokens of each rank over one report interval. Ranks without tokens are skipped.
    /// Returns an error, and changes nothing, when the number of values is wrong or a value is negative or not
    /// finite.
    std::optional<Error> observe(std::span<const double> busyTimes, std::span<const double> tokens);

    bool isStraggler(RankIndex rank) const { return m_ranks[rank.value()].isStraggler; }
    std::vector<RankIndex> stragglers() const;
    /// Returns the speeds for `Planner::setSpeeds`: the smoothed speed of stragglers, 1 for all others.
    std::vector<double> speeds() const;

private:
    struct Rank {
        double speed { 1 };
        std::uint32_t streak { 0 };
        bool isStraggler { false };
    };

    StragglerDetector(std::uint32_t ranks, const Options& options);

    void update(Rank& rank, double timeOverMedian);

    Options m_options;
    std::vector<Rank> m_ranks;
};

} // namespace swiftloft::expertmap
