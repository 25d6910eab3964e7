#include "src/expertmap/replica-layer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

using namespace swiftloft;
using namespace swiftloft::expertmap;
using namespace swiftloft::expertmap::internal;

namespace {

/// Cost that the search reduces, summed over all ranks.
double costOf(const MapShape& shape, const std::vector<ExpertIndex>& slots, const std::vector<double>& tokens)
{
    std::vector<double> loads(shape.ranks);
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        auto replicas = std::count(slots.begin(), slots.end(), ExpertIndex(expert));
        for (std::uint32_t slot = 0; slot < slots.size(); ++slot) {
            if (slots[slot] == ExpertIndex(expert))
                loads[slot / shape.slotsPerRank] += tokens[expert] / static_cast<double>(replicas);
        }
    }
    auto mean = std::accumulate(loads.begin(), loads.end(), 0.0) / shape.ranks;
    return std::accumulate(loads.begin(), loads.end(), 0.0, [&](double sum, double load) { return sum + std::pow(load / mean, 12); });
}

std::vector<ExpertIndex> withChange(std::vector<ExpertIndex> slots, const ReplicaChange& change)
{
    if (change.swapSlot)
        slots[*change.swapSlot] = slots[change.slot];
    slots[change.slot] = ExpertIndex(change.expert);
    return slots;
}

bool isValidMap(const MapShape& shape, const std::vector<ExpertIndex>& slots)
{
    return static_cast<bool>(ExpertMap::create({ shape.ranks, 1, shape.experts, shape.slotsPerRank }, slots));
}

} // namespace

// The search evaluates only the ranks that a change affects and skips changes that cannot be the best. It must find
// what evaluating every change over all ranks finds, on maps with and without free slots, at each change of a plan.
TEST_CASE("ReplicaLayer: no change reduces the cost more per copy than the one that is found")
{
    std::mt19937 random(11);
    MapShape shape { 6, 1, 18, 4 };
    for (int seed = 0; seed < 12; ++seed) {
        std::vector<double> tokens(shape.experts);
        std::generate(tokens.begin(), tokens.end(), [&] { return std::exp(std::uniform_real_distribution<double>(0, 5)(random)); });
        auto map = ExpertMap::roundRobin(shape).value();
        ReplicaLayer layer(shape, map.layer(LayerIndex(0)), tokens, std::vector<double>(shape.ranks, 1.0));
        std::vector<std::uint32_t> copyBudgets(shape.ranks, 8);
        for (int changes = 0; changes < 10; ++changes) {
            std::vector<ExpertIndex> slots(layer.slots().begin(), layer.slots().end());
            auto before = costOf(shape, slots, tokens);
            auto found = layer.findBestChange(copyBudgets);
            double bestGain = 0;
            auto hot = layer.slowestRank();
            // All changes that take tokens off the slowest rank: each of its experts is added to any other rank or
            // swapped with one there.
            for (std::uint32_t slot = 0; slot < slots.size(); ++slot) {
                for (auto back = hot * shape.slotsPerRank; back < (hot + 1) * shape.slotsPerRank; ++back) {
                    if (slots[back] == noExpert || layer.rankOf(slot) == hot)
                        continue;
                    auto expert = slots[back].value();
                    auto replica = withChange(slots, { slot, expert, std::nullopt });
                    if (isValidMap(shape, replica))
                        bestGain = std::max(bestGain, before - costOf(shape, replica, tokens));
                    if (slots[slot] == noExpert)
                        continue;
                    auto swapped = withChange(slots, { slot, expert, back });
                    if (isValidMap(shape, swapped))
                        bestGain = std::max(bestGain, (before - costOf(shape, swapped, tokens)) / 2);
                }
            }
            if (!found) {
                INFO("seed " << seed << ", change " << changes << ": a gain of " << bestGain << " of " << before << " was not found");
                CHECK(bestGain <= before * 1e-6);
                break;
            }
            auto gain = (before - costOf(shape, withChange(slots, *found), tokens)) / found->copies();
            INFO("seed " << seed << ", change " << changes << ": found " << gain << ", best " << bestGain);
            CHECK(gain >= bestGain * (1 - 1e-9));
            layer.apply(*found);
        }
    }
}
