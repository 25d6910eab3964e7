#include <swiftloft/expertmap/planner.h>

#include "src/expertmap/layer-search.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>

namespace swiftloft::expertmap {

using internal::LayerSearch;

namespace {

constexpr std::uint32_t minutesPerDay = 1440;
/// Lower bound of divisors, which keeps quotients finite.
constexpr double minDivisor = 1e-9;

Error invalid(const char* text)
{
    return { ErrorCode::InvalidArgument, text };
}

} // namespace

bool QuietHours::contains(std::uint32_t minuteOfDay) const
{
    if (fromMinute <= toMinute)
        return minuteOfDay >= fromMinute && minuteOfDay < toMinute;
    return minuteOfDay >= fromMinute || minuteOfDay < toMinute;
}

const char* toString(PlanReason reason)
{
    constexpr std::array<const char*, 5> names { "moved", "not-known", "quiet-hours", "byte-cap", "no-gain" };
    return names[static_cast<std::size_t>(reason)];
}

Result<Planner> Planner::create(const Options& options, const ExpertMap& current)
{
    if (!(options.skewWeight >= 0) || !(options.rebalanceWeight >= 0))
        return invalid("the weights of a planner must not be negative");
    for (auto& it : options.quietHours) {
        if (it.fromMinute >= minutesPerDay || it.toMinute > minutesPerDay)
            return invalid("quiet hours must lie within a day");
    }
    if (!(options.horizonSteps > 0) || !(options.minGain >= 0) || options.bytesPerExpert == Bytes(0))
        return invalid("the horizon and the size of an expert must be positive");
    auto estimate = LoadEstimate::create(current.shape(), options.estimate);
    if (!estimate)
        return estimate.error();
    return Planner(options, current, std::move(*estimate));
}

Planner::Planner(const Options& options, const ExpertMap& current, LoadEstimate estimate)
    : m_options(options)
    , m_current(current)
    , m_estimate(std::move(estimate))
    , m_speeds(current.shape().ranks, 1.0)
    , m_pinnedUntil(current.slots().size())
{
}

std::optional<Error> Planner::setSpeeds(std::vector<double> speeds)
{
    if (speeds.size() != m_speeds.size())
        return invalid("the number of speeds must equal the number of ranks");
    if (std::any_of(speeds.begin(), speeds.end(), [](double it) { return !std::isfinite(it) || it <= 0; }))
        return invalid("rank speeds must be positive and finite");
    m_speeds = std::move(speeds);
    return std::nullopt;
}

void Planner::setCurrent(const ExpertMap& map)
{
    m_current = map;
}

std::uint64_t Planner::expertBudget(TimePoint now) const
{
    if (!m_options.bytesPerMinute)
        return std::numeric_limits<std::uint64_t>::max();
    auto free = std::chrono::duration<double>(now + m_options.burst - std::max(m_budgetRestoredAt, now)).count();
    double bytes = std::max(0.0, free) / 60 * static_cast<double>(m_options.bytesPerMinute->value());
    return static_cast<std::uint64_t>(bytes / static_cast<double>(m_options.bytesPerExpert.value()));
}

void Planner::chargeBytes(TimePoint now, Bytes bytes)
{
    if (!m_options.bytesPerMinute)
        return;
    double minutes = static_cast<double>(bytes.value()) / static_cast<double>(m_options.bytesPerMinute->value());
    m_budgetRestoredAt = std::max(m_budgetRestoredAt, now) + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(60 * minutes));
}

std::optional<PlanReason> Planner::blockingReason(TimePoint now, std::uint32_t minuteOfDay) const
{
    if (!m_estimate.hasEnoughReports())
        return PlanReason::NotEnoughData;
    if (std::any_of(m_options.quietHours.begin(), m_options.quietHours.end(), [&](auto& it) { return it.contains(minuteOfDay); }))
        return PlanReason::InQuietHours;
    if (expertBudget(now) == 0)
        return PlanReason::OverByteCap;
    return std::nullopt;
}

std::vector<LayerSearch> Planner::createSearches(TimePoint now) const
{
    auto& shape = m_current.shape();
    // A higher rebalance weight gives the slow average more weight, so that experts are moved only for lasting
    // demand.
    double slowWeight = m_options.rebalanceWeight / std::max(m_options.skewWeight + m_options.rebalanceWeight, minDivisor);
    std::vector<LayerSearch> found;
    found.reserve(shape.layers);
    for (std::uint32_t n = 0; n < shape.layers; ++n) {
        LayerIndex layer(n);
        auto pinnedUntil = std::span(m_pinnedUntil).subspan(static_cast<std::size_t>(n) * shape.slotsPerLayer(), shape.slotsPerLayer());
        found.emplace_back(shape, m_current.layer(layer), m_estimate.fast(layer), m_estimate.slow(layer), m_speeds, pinnedUntil, now,
            m_estimate.isVolatile(layer) ? 1 : slowWeight);
    }
    return found;
}

/// Returns the minimum gain, as a fraction of a layer's time, that pays for moving one expert: the weighted steps
/// saved over the horizon must outweigh the weighted cost of the move. A layer counts by its fraction of the step.
double Planner::minGainPerExpert(double stepTime) const
{
    double cost = m_options.rebalanceWeight * m_options.moveCostSteps / m_current.shape().layers;
    double value = m_options.skewWeight * m_options.horizonSteps / std::max(stepTime, minDivisor);
    return std::max(m_options.minGain, value > 0 ? cost / value : std::numeric_limits<double>::infinity());
}

Plan Planner::plan(TimePoint now, std::uint32_t minuteOfDay)
{
    Plan plan;
    if (auto reason = blockingReason(now, minuteOfDay)) {
        plan.reason = *reason;
        return plan;
    }
    auto layers = createSearches(now);
    double stepTime = std::accumulate(layers.begin(), layers.end(), 0.0, [](double sum, auto& it) { return sum + it.relativeTime(); });
    std::vector<std::uint32_t> order(layers.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](auto a, auto b) { return layers[a].excess() > layers[b].excess(); });

    auto& shape = m_current.shape();
    auto budget = expertBudget(now);
    double minGain = minGainPerExpert(stepTime);
    std::uint32_t predictions = 0;
    std::vector<ExpertIndex> slots(m_current.slots().begin(), m_current.slots().end());
    for (auto layer : order) {
        while (layers[layer].excess() > minGain && predictions < m_options.maxPredictions) {
            auto step = layers[layer].improve(minGain, budget, predictions);
            if (!step)
                break;
            plan.gain += step->gain / stepTime;
            budget -= step->filled.size();
            for (auto& it : step->filled) {
                auto index = static_cast<std::size_t>(layer) * shape.slotsPerLayer() + it.slot;
                slots[index] = ExpertIndex(it.expert);
                m_pinnedUntil[index] = now + m_options.pinDuration;
                plan.moves.push_back({ LayerIndex(layer), ExpertIndex(it.expert), RankIndex(it.slot / shape.slotsPerRank) });
            }
        }
    }
    if (!plan.moves.empty())
        commitPlan(now, std::move(slots), plan);
    return plan;
}

void Planner::commitPlan(TimePoint now, std::vector<ExpertIndex> slots, Plan& plan)
{
    plan.reason = PlanReason::Moved;
    plan.bytes = Bytes(plan.moves.size() * m_options.bytesPerExpert.value());
    chargeBytes(now, plan.bytes);
    m_current = ExpertMap::create(m_current.shape(), std::move(slots)).value();
    plan.map = m_current;
}

} // namespace swiftloft::expertmap
