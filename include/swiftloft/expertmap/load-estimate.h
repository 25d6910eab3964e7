#pragma once

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <optional>
#include <span>
#include <vector>

namespace swiftloft::expertmap {

/// What share of a layer's tokens each expert gets, from lagging and noisy reports.
///
/// Two exponential averages are kept, a fast and a slow one; a plan must be good under both. Shares are scaled so that
/// 1 is the mean over the experts of a layer, and are drawn towards 1 as far as their spread is no more than noise.
class LoadEstimate {
public:
    struct Options {
        milliseconds fastHalfLife { 300'000 };
        milliseconds slowHalfLife { 2'400'000 };
        /// Reports needed before the estimate counts as known.
        std::uint32_t minReports { 4 };
    };

    /// Fails with `InvalidArgument` when a half-life is not positive or the fast one is longer than the slow one.
    static Result<LoadEstimate> create(const MapShape& shape, const Options& options);

    /// Takes tokens by layer and expert (`layers * experts` values) counted since the last report. Returns an error, and
    /// changes nothing, when the count of values is wrong, one is negative or not finite, or `now` goes back.
    std::optional<Error> observe(TimePoint now, std::span<const double> tokens);

    bool hasEnoughReports() const { return m_reports >= m_options.minReports; }
    std::span<const double> fast(LayerIndex layer) const;
    std::span<const double> slow(LayerIndex layer) const;
    /// What to split tokens among replicas by: the fast average, or the slow one while the layer is volatile.
    std::span<const double> splitShares(LayerIndex layer) const;
    /// True while demand swings faster than the averages follow: only what holds under the slow average is worth a move.
    bool isVolatile(LayerIndex layer) const;

private:
    struct Layer {
        std::vector<double> fast;
        std::vector<double> slow;
        std::vector<double> fastShrunk;
        std::vector<double> slowShrunk;
        /// Mean square of report minus fast average, averaged over time.
        double residual { 0 };
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
