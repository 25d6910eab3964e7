#include "src/expertmap/replay/policies.h"

#include "src/expertmap/replay/baselines.h"

#include <memory>

namespace swiftloft::expertmap::replay {

namespace {

/// A decision is bounded in time and may leave gains unused, so it is repeated up to this many times before the map
/// changes.
constexpr int decisionsPerInterval = 40;

} // namespace

Policy staticPolicy(const ExpertMap& initial)
{
    return { "static", [initial](const PolicyInput&) { return initial; } };
}

namespace {

ExpertMap pack(const PolicyInput& input, const LoadEstimate& estimate, const ExpertMap& current, bool isMatched)
{
    auto& shape = current.shape();
    std::vector<ExpertIndex> slots;
    slots.reserve(current.slots().size());
    for (std::uint32_t n = 0; n < shape.layers; ++n) {
        auto layer = packLayer(shape, estimate.fast(LayerIndex(n)), input.speeds);
        if (isMatched)
            layer = matchRanks(shape, current.layer(LayerIndex(n)), layer);
        slots.insert(slots.end(), layer.begin(), layer.end());
    }
    return ExpertMap::create(shape, std::move(slots)).value();
}

} // namespace

Policy repackPolicy(const ExpertMap& initial, bool isMatched)
{
    auto estimate = std::make_shared<LoadEstimate>(LoadEstimate::create(initial.shape(), {}).value());
    auto current = std::make_shared<ExpertMap>(initial);
    return { isMatched ? "repack-r" : "repack", [isMatched, estimate, current](const PolicyInput& input) {
                estimate->observe(input.now, input.report);
                *current = pack(input, *estimate, *current, isMatched);
                return *current;
            } };
}

Policy plannerPolicy(std::string name, const ExpertMap& initial, const Planner::Options& options)
{
    auto planner = std::make_shared<Planner>(Planner::create(options, initial).value());
    return { std::move(name), [planner](const PolicyInput& input) {
                planner->observe(input.now, input.report);
                planner->setSpeeds(input.speeds);
                for (int n = 0; n < decisionsPerInterval; ++n) {
                    if (planner->plan(input.now, input.minuteOfDay).reason != PlanReason::Moved)
                        break;
                }
                return planner->current();
            } };
}

Planner::Options viaHeOptions()
{
    Planner::Options options;
    options.skewWeight = 4;
    options.rebalanceWeight = 1;
    return options;
}

Planner::Options rasoiOptions()
{
    Planner::Options options;
    options.skewWeight = 1;
    options.rebalanceWeight = 4;
    options.quietHours = { { 420, 570 } };
    return options;
}

std::vector<Policy> allPolicies(const ExpertMap& initial)
{
    return { staticPolicy(initial), repackPolicy(initial, false), plannerPolicy("via-he", initial, viaHeOptions()),
        plannerPolicy("rasoi", initial, rasoiOptions()), repackPolicy(initial, true) };
}

} // namespace swiftloft::expertmap::replay
