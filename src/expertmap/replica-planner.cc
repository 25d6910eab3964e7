#include <swiftloft/expertmap/replica-planner.h>

#include "src/expertmap/replica-layer.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace swiftloft::expertmap {

using internal::ReplicaLayer;

namespace {

/// Weight of a report in the mean dissimilarity: the mean covers about twenty reports, which is one second.
constexpr double dissimilarityWeight = 0.05;

std::span<const double> layerSlice(std::span<const double> tokens, std::uint32_t layer, const MapShape& shape)
{
    return tokens.subspan(static_cast<std::size_t>(layer) * shape.experts, shape.experts);
}

double totalTokens(std::span<const double> tokens)
{
    return std::accumulate(tokens.begin(), tokens.end(), 0.0);
}

/// Returns the cosine similarity of two demands: 1 when they request the experts in the same proportions, or when one
/// of them has no tokens.
double cosineSimilarity(std::span<const double> one, std::span<const double> other)
{
    double product = std::inner_product(one.begin(), one.end(), other.begin(), 0.0);
    double squares = std::inner_product(one.begin(), one.end(), one.begin(), 0.0) * std::inner_product(other.begin(), other.end(), other.begin(), 0.0);
    return squares > 0 ? product / std::sqrt(squares) : 1;
}

} // namespace

Result<ReplicaPlanner> ReplicaPlanner::create(const MapShape& shape, const Options& options)
{
    if (options.halfLife <= milliseconds(0) || options.maxCopiesPerRankAndLayer == 0 || options.maxCopiesPerRank == 0)
        return Error { ErrorCode::InvalidArgument, "the half-life and the copy limits of a replica planner must be positive" };
    if (!isValid(shape))
        return Error { ErrorCode::InvalidArgument, fmt::format("{} ranks, {} layers, {} experts and {} slots per rank: one is zero or too large for an expert map", shape.ranks, shape.layers, shape.experts, shape.slotsPerRank) };
    return ReplicaPlanner(shape, options);
}

ReplicaPlanner::ReplicaPlanner(const MapShape& shape, const Options& options)
    : m_shape(shape)
    , m_options(options)
    , m_decayedTokens(static_cast<std::size_t>(shape.layers) * shape.experts)
    , m_paces(shape.ranks, 1.0)
    , m_recentTokens(m_decayedTokens.size())
    , m_baselineDissimilarity(options.baselineDissimilarity)
{
}

std::optional<Error> ReplicaPlanner::observe(TimePoint now, std::span<const double> tokens)
{
    if (tokens.size() != m_decayedTokens.size())
        return Error { ErrorCode::InvalidArgument, "load report must have one value for each layer and expert" };
    if (std::any_of(tokens.begin(), tokens.end(), [](double it) { return !std::isfinite(it) || it < 0; }))
        return Error { ErrorCode::InvalidArgument, "load report has a token count that is negative or not finite" };
    auto elapsed = std::chrono::duration<double, std::milli>(std::max(now - m_observedAt, Clock::duration(0))).count();
    auto keep = std::exp2(-elapsed / static_cast<double>(m_options.halfLife.count()));
    m_observedAt = now;
    for (std::size_t n = 0; n < tokens.size(); ++n) {
        m_decayedTokens[n] *= keep;
        m_recentTokens[n] += tokens[n];
    }
    if (totalTokens(layerSlice(m_recentTokens, 0, m_shape)) < m_options.minTokens)
        return std::nullopt;
    // After a sudden shift of demand, a plan from a mixture of the old and the new demand would copy experts that are
    // not needed, and every stream would be slow while they are copied. The old demand is therefore discarded, so that
    // the first map after a shift already fits the new demand, instead of only the second.
    if (detectShift()) {
        m_shiftedAt = now;
        std::fill(m_decayedTokens.begin(), m_decayedTokens.end(), 0.0);
    }
    std::transform(m_decayedTokens.begin(), m_decayedTokens.end(), m_recentTokens.begin(), m_decayedTokens.begin(), std::plus<>());
    std::fill(m_recentTokens.begin(), m_recentTokens.end(), 0.0);
    return std::nullopt;
}

/// Returns true when the last reported tokens differ so much from the history that demand must have shifted.
bool ReplicaPlanner::detectShift()
{
    if (!hasEnoughTokens())
        return false;
    double sum = 0;
    for (std::uint32_t n = 0; n < m_shape.layers; ++n)
        sum += 1 - cosineSimilarity(layerTokens(n), layerSlice(m_recentTokens, n, m_shape));
    double dissimilarity = sum / m_shape.layers;
    double baseline = std::max(m_baselineDissimilarity, m_options.baselineDissimilarity / 3);
    if (dissimilarity > m_options.shiftThreshold * baseline)
        return true;
    m_baselineDissimilarity += (dissimilarity - m_baselineDissimilarity) * dissimilarityWeight;
    return false;
}

std::span<const double> ReplicaPlanner::layerTokens(std::uint32_t layer) const
{
    return layerSlice(m_decayedTokens, layer, m_shape);
}

bool ReplicaPlanner::hasEnoughTokens() const
{
    return totalTokens(layerTokens(0)) >= m_options.minTokens;
}

void ReplicaPlanner::setPace(RankIndex rank, double pace)
{
    if (rank.value() < m_paces.size())
        m_paces[rank.value()] = std::isfinite(pace) ? std::max(pace, 1.0) : 1.0;
}

double ReplicaPlanner::imbalance(const ExpertMap& map) const
{
    double sum = 0;
    for (std::uint32_t n = 0; n < m_shape.layers; ++n)
        sum += ReplicaLayer(m_shape, map.layer(LayerIndex(n)), layerTokens(n), m_paces).peakRatio();
    return sum / m_shape.layers;
}

namespace {

/// Searches all layers for changes and counts the copies of each rank.
class MapSearch {
public:
    MapSearch(const MapShape& shape, const ReplicaPlanner::Options& options, std::vector<ReplicaLayer> layers)
        : m_shape(shape)
        , m_options(options)
        , m_layers(std::move(layers))
        , m_isDone(shape.layers)
        , m_copiesByRank(shape.ranks)
        , m_copiesByLayer(shape.layers, std::vector<std::uint32_t>(shape.ranks))
        , m_initialStepTime(stepTime())
    {
    }

    /// Improves the map until no rank may copy more. `maxCopiesPerRank` counts from the initial map.
    void run(std::uint32_t maxCopiesPerRank)
    {
        m_maxCopiesPerRank = maxCopiesPerRank;
        std::fill(m_isDone.begin(), m_isDone.end(), false);
        while (auto layer = worstLayer())
            improve(*layer);
    }

    /// Returns the fewest changes that save at least `share` of the step time that all changes so far save.
    std::size_t changesForGainShare(double share) const
    {
        if (m_changes.empty())
            return 0;
        double enough = m_initialStepTime - share * (m_initialStepTime - m_changes.back().stepTime);
        auto reached = std::find_if(m_changes.begin(), m_changes.end(), [&](auto& it) { return it.stepTime <= enough; });
        return std::min<std::size_t>(reached - m_changes.begin() + 1, m_changes.size());
    }

    /// Returns the step time after the first `count` changes, in the unit of `initialStepTime`.
    double stepTimeAfter(std::size_t count) const { return count == 0 ? m_initialStepTime : m_changes[count - 1].stepTime; }

    /// Returns the map that results from the first `count` changes of `current`, the map of the search.
    ExpertMap mapAfter(const ExpertMap& current, std::size_t count) const
    {
        std::vector<ExpertIndex> slots(current.slots().begin(), current.slots().end());
        for (std::size_t n = 0; n < count; ++n) {
            auto& [layer, change, stepTime] = m_changes[n];
            auto first = slots.begin() + static_cast<std::ptrdiff_t>(layer) * m_shape.slotsPerLayer();
            if (change.swapSlot)
                first[*change.swapSlot] = first[change.slot];
            first[change.slot] = ExpertIndex(change.expert);
        }
        return ExpertMap::create(m_shape, std::move(slots)).value();
    }

private:
    struct LayerChange {
        std::uint32_t layer { 0 };
        internal::ReplicaChange change;
        /// Step time after this change.
        double stepTime { 0 };
    };

    /// Returns the layer that is farthest from balanced. It comes first because each rank may copy only a limited
    /// number of experts.
    std::optional<std::uint32_t> worstLayer() const
    {
        std::optional<std::uint32_t> worst;
        for (std::uint32_t n = 0; n < m_shape.layers; ++n) {
            if (!m_isDone[n] && (!worst || m_layers[n].peakRatio() > m_layers[*worst].peakRatio()))
                worst = n;
        }
        return worst;
    }

    void improve(std::uint32_t layer)
    {
        auto found = m_layers[layer].peakRatio() > m_options.balancedPeakRatio ? m_layers[layer].findBestChange(copyBudgets(layer)) : std::nullopt;
        if (!found) {
            m_isDone[layer] = true;
            return;
        }
        countCopy(layer, found->slot);
        if (found->swapSlot)
            countCopy(layer, *found->swapSlot);
        double before = m_layers[layer].peakRatio();
        m_layers[layer].apply(*found);
        m_changes.push_back({ layer, *found, stepTimeAfter(m_changes.size()) + m_layers[layer].peakRatio() - before });
    }

    /// Returns the sum of the layers' peak ratios, a measure of the step time.
    double stepTime() const
    {
        return std::accumulate(m_layers.begin(), m_layers.end(), 0.0, [](double sum, auto& it) { return sum + it.peakRatio(); });
    }

    std::vector<std::uint32_t> copyBudgets(std::uint32_t layer) const
    {
        std::vector<std::uint32_t> left(m_shape.ranks);
        for (std::uint32_t r = 0; r < m_shape.ranks; ++r) {
            auto leftInLayer = m_options.maxCopiesPerRankAndLayer - std::min(m_copiesByLayer[layer][r], m_options.maxCopiesPerRankAndLayer);
            auto leftOnRank = m_maxCopiesPerRank - std::min(m_copiesByRank[r], m_maxCopiesPerRank);
            left[r] = std::min(leftInLayer, leftOnRank);
        }
        return left;
    }

    void countCopy(std::uint32_t layer, std::uint32_t slot)
    {
        auto rank = m_layers[layer].rankOf(slot);
        ++m_copiesByRank[rank];
        ++m_copiesByLayer[layer][rank];
    }

    const MapShape& m_shape;
    const ReplicaPlanner::Options& m_options;
    std::vector<ReplicaLayer> m_layers;
    std::uint32_t m_maxCopiesPerRank { 0 };
    std::vector<bool> m_isDone;
    std::vector<std::uint32_t> m_copiesByRank;
    std::vector<std::vector<std::uint32_t>> m_copiesByLayer;
    double m_initialStepTime { 0 };
    std::vector<LayerChange> m_changes;
};

/// Returns the experts that ranks hold in `to` and not in `from`.
std::vector<ExpertMove> movesBetween(const ExpertMap& from, const ExpertMap& to)
{
    auto& shape = to.shape();
    std::vector<ExpertMove> moves;
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        auto before = from.layer(LayerIndex(layer));
        auto after = to.layer(LayerIndex(layer));
        for (std::uint32_t slot = 0; slot < after.size(); ++slot) {
            auto rank = slot / shape.slotsPerRank;
            auto held = before.subspan(static_cast<std::size_t>(rank) * shape.slotsPerRank, shape.slotsPerRank);
            bool isNew = after[slot] != noExpert && std::find(held.begin(), held.end(), after[slot]) == held.end();
            if (isNew)
                moves.push_back({ LayerIndex(layer), after[slot], RankIndex(rank) });
        }
    }
    return moves;
}

/// Returns the number of copies of the rank that copies the most experts.
std::uint32_t maxCopiesOfRank(const std::vector<ExpertMove>& moves, std::uint32_t ranks)
{
    std::vector<std::uint32_t> copies(ranks);
    for (auto& move : moves)
        ++copies[move.rank.value()];
    return *std::max_element(copies.begin(), copies.end());
}

} // namespace

double ReplicaPlanner::slowestPace() const
{
    return *std::max_element(m_paces.begin(), m_paces.end());
}

Plan ReplicaPlanner::plan(const ExpertMap& current, double loadShare) const
{
    Plan plan;
    planStages(current, loadShare, m_options.maxCopiesPerRank, [&](const Plan& stage) {
        plan = stage;
        return false;
    });
    return plan;
}

void ReplicaPlanner::planStages(const ExpertMap& current, double loadShare, std::uint32_t copiesPerStage, const std::function<bool(const Plan&)>& onStage) const
{
    std::vector<ReplicaLayer> layers;
    for (std::uint32_t n = 0; n < m_shape.layers; ++n)
        layers.emplace_back(m_shape, current.layer(LayerIndex(n)), layerTokens(n), m_paces);
    MapSearch search(m_shape, m_options, std::move(layers));
    double before = search.stepTimeAfter(0);
    Plan plan;
    plan.reason = PlanReason::NotEnoughData;
    plan.imbalance = before / m_shape.layers;
    if (!hasEnoughTokens()) {
        onStage(plan);
        return;
    }
    for (auto copies = copiesPerStage; true; copies += copiesPerStage) {
        search.run(std::min(copies, m_options.maxCopiesPerRank));
        auto changes = search.changesForGainShare(m_options.gainShare);
        double after = search.stepTimeAfter(changes);
        auto map = search.mapAfter(current, changes);
        plan.moves = movesBetween(current, map);
        plan.copiesPerRank = maxCopiesOfRank(plan.moves, m_shape.ranks);
        plan.plannedImbalance = after / m_shape.layers;
        double loadTimeSaved = (before - after) / before;
        plan.gain = loadTimeSaved * loadShare;
        bool isWorthwhile = !plan.moves.empty() && plan.gain >= m_options.minGain && loadTimeSaved >= m_options.minGainPerCopy * plan.copiesPerRank;
        plan.reason = isWorthwhile ? PlanReason::Moved : PlanReason::NoGain;
        plan.map = isWorthwhile ? std::optional(std::move(map)) : std::nullopt;
        if (!onStage(plan) || copies >= m_options.maxCopiesPerRank)
            return;
    }
}

} // namespace swiftloft::expertmap
