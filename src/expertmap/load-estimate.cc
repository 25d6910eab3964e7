#include <swiftloft/expertmap/load-estimate.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace swiftloft::expertmap {

namespace {

/// Minimum distance between a report and the slow average that counts as a shift of demand, as a fraction of the sum of
/// their spreads. A value of 1 means that report and average are unrelated. On ordinary mornings, even the steepest
/// change of demand stays below a third.
constexpr double minShiftOverSpread = 0.5;
/// A shift must also be this many times farther from the slow average than reports usually are from the fast one.
constexpr double minShiftOverNoise = 4;
/// Time between resets of the averages, in slow half-lives. Starts at the minimum and doubles with each reset up to
/// the maximum.
constexpr int minResetHalfLives = 4;
constexpr int maxResetHalfLives = 64;
/// Number of standard deviations of the measured spread from its mean that still count as noise.
constexpr double noiseDeviations = 5;
/// A layer is volatile while the mean square difference between reports and the fast average exceeds this fraction of
/// the spread.
constexpr double volatileResidualRatio = 0.3;

double meanSquare(std::span<const double> a, std::span<const double> b)
{
    double sum = 0;
    for (std::size_t n = 0; n < a.size(); ++n)
        sum += (a[n] - b[n]) * (a[n] - b[n]);
    return sum / static_cast<double>(a.size());
}

double spreadOf(std::span<const double> shares)
{
    double sum = 0;
    for (auto share : shares)
        sum += (share - 1) * (share - 1);
    return sum / static_cast<double>(shares.size());
}

/// Shrinks `shares` towards their mean of 1 as far as noise explains their spread (James-Stein estimator).
void shrink(std::span<const double> shares, double noise, std::vector<double>& out)
{
    double spread = spreadOf(shares);
    // With few experts, the spread caused by noise alone varies more from report to report.
    double margin = 1 + noiseDeviations * std::sqrt(2.0 / static_cast<double>(shares.size()));
    double retained = spread > 0 ? std::max(0.0, 1 - margin * noise / spread) : 0;
    for (std::size_t n = 0; n < shares.size(); ++n)
        out[n] = 1 + retained * (shares[n] - 1);
}

double sampleWeight(milliseconds elapsed, milliseconds halfLife)
{
    return 1 - std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(halfLife.count()));
}

} // namespace

Result<LoadEstimate> LoadEstimate::create(const MapShape& shape, const Options& options)
{
    if (options.fastHalfLife <= milliseconds(0) || options.slowHalfLife < options.fastHalfLife)
        return Error { ErrorCode::InvalidArgument, "the half-lives must be positive and the fast one not longer than the slow one" };
    return LoadEstimate(shape, options);
}

LoadEstimate::LoadEstimate(const MapShape& shape, const Options& options)
    : m_shape(shape)
    , m_options(options)
    , m_layers(shape.layers)
{
    std::vector<double> even(shape.experts, 1.0);
    for (auto& layer : m_layers)
        layer = { even, even, even, even };
}

std::optional<Error> LoadEstimate::observe(TimePoint now, std::span<const double> tokens)
{
    if (tokens.size() != static_cast<std::size_t>(m_shape.layers) * m_shape.experts)
        return Error { ErrorCode::InvalidArgument, fmt::format("load report has {} values, expected {} layers * {} experts", tokens.size(), m_shape.layers, m_shape.experts) };
    if (std::any_of(tokens.begin(), tokens.end(), [](double it) { return !std::isfinite(it) || it < 0; }))
        return Error { ErrorCode::InvalidArgument, "load report has a token count that is negative or not finite" };
    if (m_reports > 0 && now <= m_lastReport)
        return Error { ErrorCode::Stale, "load report is not newer than the previous one" };
    auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_lastReport);
    double fastWeight = m_reports == 0 ? 1 : sampleWeight(elapsed, m_options.fastHalfLife);
    double slowWeight = m_reports == 0 ? 1 : sampleWeight(elapsed, m_options.slowHalfLife);
    for (std::uint32_t n = 0; n < m_shape.layers; ++n)
        observeLayer(m_layers[n], now, tokens.subspan(static_cast<std::size_t>(n) * m_shape.experts, m_shape.experts), fastWeight, slowWeight);
    m_lastReport = now;
    ++m_reports;
    return std::nullopt;
}

void LoadEstimate::observeLayer(Layer& layer, TimePoint now, std::span<const double> tokens, double fastWeight, double slowWeight)
{
    double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
    if (total <= 0)
        return;
    double scale = m_shape.experts / total;
    double square = 0;
    std::vector<double> report(tokens.size());
    for (std::size_t n = 0; n < tokens.size(); ++n) {
        report[n] = tokens[n] * scale;
        double difference = report[n] - layer.fast[n];
        square += difference * difference;
        layer.fast[n] += fastWeight * difference;
        layer.slow[n] += slowWeight * (report[n] - layer.slow[n]);
    }
    if (m_reports == 0)
        return;
    square /= static_cast<double>(tokens.size());
    resetOnShift(layer, now, report);
    layer.residual = m_reports == 1 ? square : layer.residual + slowWeight * (square - layer.residual);
    // An exponential average that gives each new value the weight w has a variance of w / 2 times the mean square of
    // the residuals.
    shrink(layer.fast, layer.residual * fastWeight / 2, layer.fastShrunk);
    shrink(layer.slow, layer.residual * slowWeight / 2, layer.slowShrunk);
}

/// After a sudden shift of demand, the averages would lag for an hour. A plan must be good under both averages, so
/// plans would come that late. Both averages are therefore reset to the report. Resets become less and less frequent,
/// so that oscillating demand can't make the averages follow each swing.
void LoadEstimate::resetOnShift(Layer& layer, TimePoint now, std::span<const double> report)
{
    double distance = meanSquare(report, layer.slow);
    bool isShift = distance > minShiftOverSpread * (spreadOf(report) + spreadOf(layer.slow)) && distance > minShiftOverNoise * layer.residual;
    if (!isShift || now < layer.nextResetAt)
        return;
    layer.fast.assign(report.begin(), report.end());
    layer.slow = layer.fast;
    bool isLongAgo = now > layer.nextResetAt + layer.nextResetInterval;
    if (layer.nextResetInterval == milliseconds(0) || isLongAgo)
        layer.nextResetInterval = minResetHalfLives * m_options.slowHalfLife;
    layer.nextResetAt = now + layer.nextResetInterval;
    layer.nextResetInterval = std::min(2 * layer.nextResetInterval, maxResetHalfLives * m_options.slowHalfLife);
}

std::span<const double> LoadEstimate::fast(LayerIndex layer) const
{
    return m_layers[layer.value()].fastShrunk;
}

std::span<const double> LoadEstimate::splitShares(LayerIndex layer) const
{
    return isVolatile(layer) ? slow(layer) : fast(layer);
}

bool LoadEstimate::isVolatile(LayerIndex layer) const
{
    auto& it = m_layers[layer.value()];
    return it.residual > volatileResidualRatio * std::max(spreadOf(it.fast), spreadOf(it.slow));
}

std::span<const double> LoadEstimate::slow(LayerIndex layer) const
{
    return m_layers[layer.value()].slowShrunk;
}

} // namespace swiftloft::expertmap
