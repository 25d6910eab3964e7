#pragma once

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <optional>
#include <span>
#include <vector>

namespace swiftloft::expertmap {

/// Estimates the share of a layer's tokens that each expert receives, from delayed and noisy reports.
///
/// Keeps two exponential moving averages, a fast and a slow one; a plan must be good under both. Shares are scaled so
/// that the mean over the experts of a layer is 1, and are shrunk towards 1 as far as noise explains their spread.
class LoadEstimate {
public:
    struct Options {
        milliseconds fastHalfLife { 300'000 };
        milliseconds slowHalfLife { 2'400'000 };
        /// Number of reports needed before the estimate may be used.
        std::uint32_t minReports { 4 };
    };

    /// Fails with `InvalidArgument` when a half-life is not positive or the fast half-life is longer than the slow
    /// one.
    static Result<LoadEstimate> create(const MapShape& shape, const Options& options);

    /// Adds a report: tokens by layer and expert (`layers * experts` values) counted since the previous report.
    /// Returns an error, and changes nothing, when the number of values is wrong, a value is negative or not finite
    /// (`InvalidArgument`), or `now` is not later than the previous report (`Stale`).
    std::optional<Error> observe(TimePoint now, std::span<const double> tokens);

    bool hasEnoughReports() const { return m_reports >= m_options.minReports; }
    /// Shares of the experts of a layer under the fast and under the slow average.
    std::span<const double> fast(LayerIndex layer) const;
    std::span<const double> slow(LayerIndex layer) const;
    /// Shares by which to split tokens among replicas: the fast average, or the slow one while the layer is volatile.
    std::span<const double> splitShares(LayerIndex layer) const;
    /// True while demand changes faster than the averages follow. In that state, only moves that gain under the slow
    /// average are worthwhile.
    bool isVolatile(LayerIndex layer) const;

private:
    struct Layer {
        std::vector<double> fast;
        std::vector<double> slow;
        std::vector<double> fastShrunk;
        std::vector<double> slowShrunk;
        /// Mean square of the difference between reports and the fast average, averaged over time.
        double residual { 0 };
        /// Earliest time of the next reset after a shift of demand, and the wait after that reset.
        TimePoint nextResetAt;
        milliseconds nextResetInterval { 0 };
    };

    LoadEstimate(const MapShape& shape, const Options& options);

    void observeLayer(Layer& layer, TimePoint now, std::span<const double> tokens, double fastWeight, double slowWeight);
    void resetOnShift(Layer& layer, TimePoint now, std::span<const double> report);

    MapShape m_shape;
    Options m_options;
    std::vector<Layer> m_layers;
    std::uint32_t m_reports { 0 };
    TimePoint m_lastReport;
};

} // namespace swiftloft::expertmap
