#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace swiftloft::expertmap {

/// Tells slow hardware from a hot expert: a rank that takes longer than the others for the same number of tokens.
///
/// Plain threshold with persistence: the time a token takes, over the median of the ranks, above a bound for some
/// observations in a row. docs/design/expert-maps.md compares it with a Pareto-tail expectation.
class StragglerDetector {
public:
    struct Options {
        /// A rank is suspect above this multiple of the median time a token takes.
        double factor { 1.12 };
        /// Observations in a row above the bound that make it a straggler, and below it that clear it.
        std::uint32_t persistence { 3 };
        /// Weight of a new observation in the speed that is reported.
        double speedWeight { 0.3 };
    };

    /// Fails with `InvalidArgument` when there are no ranks, the factor is not above 1 or the weight not within (0, 1].
    static Result<StragglerDetector> create(std::uint32_t ranks, const Options& options);

    /// Takes the busy time and the tokens of each rank over one report interval. Ranks without tokens are passed over.
    /// Returns an error, and changes nothing, when a count is wrong or a value is negative or not finite.
    std::optional<Error> observe(std::span<const double> busyTimes, std::span<const double> tokens);

    bool isStraggler(RankIndex rank) const { return m_ranks[rank.value()].isStraggler; }
    std::vector<RankIndex> stragglers() const;
    /// For `Planner::setSpeeds`: the smoothed speed of stragglers, 1 for all others.
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
