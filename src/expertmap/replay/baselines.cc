#include "src/expertmap/replay/baselines.h"

#include <algorithm>
#include <numeric>

namespace swiftloft::expertmap::replay {

namespace {

struct Replica {
    std::uint32_t expert { 0 };
    double load { 0 };
};

std::vector<std::uint32_t> replicasByExpert(const MapShape& shape, std::span<const double> loads)
{
    std::vector<std::uint32_t> replicas(shape.experts, 1);
    auto loadOfReplica = [&](std::uint32_t expert) { return replicas[expert] >= shape.ranks ? -1.0 : loads[expert] / replicas[expert]; };
    for (std::uint32_t spare = shape.slotsPerLayer() - shape.experts; spare > 0; --spare) {
        std::uint32_t hottest = 0;
        for (std::uint32_t n = 1; n < shape.experts; ++n) {
            if (loadOfReplica(n) > loadOfReplica(hottest))
                hottest = n;
        }
        ++replicas[hottest];
    }
    return replicas;
}

} // namespace

std::vector<ExpertIndex> packLayer(const MapShape& shape, std::span<const double> loads, std::span<const double> speeds)
{
    std::vector<Replica> queue;
    auto replicas = replicasByExpert(shape, loads);
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert)
        queue.insert(queue.end(), replicas[expert], { expert, loads[expert] / replicas[expert] });
    std::stable_sort(queue.begin(), queue.end(), [](auto& a, auto& b) { return a.load > b.load; });
    std::vector<ExpertIndex> slots(shape.slotsPerLayer(), noExpert);
    std::vector<double> times(shape.ranks, 0.0);
    std::vector<std::uint32_t> used(shape.ranks, 0);
    for (auto& replica : queue) {
        std::uint32_t best = shape.ranks;
        for (std::uint32_t r = 0; r < shape.ranks; ++r) {
            auto begin = slots.begin() + r * shape.slotsPerRank;
            bool isHeld = std::find(begin, begin + used[r], ExpertIndex(replica.expert)) != begin + used[r];
            if (used[r] < shape.slotsPerRank && !isHeld && (best == shape.ranks || times[r] < times[best]))
                best = r;
        }
        // Skips the replica if every rank is full or already holds the expert, which can happen for the last replicas.
        if (best == shape.ranks)
            continue;
        slots[best * shape.slotsPerRank + used[best]++] = ExpertIndex(replica.expert);
        times[best] += replica.load / speeds[best];
    }
    return slots;
}

std::vector<ExpertIndex> matchRanks(const MapShape& shape, std::span<const ExpertIndex> held, std::span<const ExpertIndex> packed)
{
    struct Pair {
        std::uint32_t shared { 0 };
        std::uint32_t from { 0 };
        std::uint32_t to { 0 };
    };
    std::vector<Pair> pairs;
    for (std::uint32_t to = 0; to < shape.ranks; ++to) {
        auto heldRank = held.subspan(static_cast<std::size_t>(to) * shape.slotsPerRank, shape.slotsPerRank);
        for (std::uint32_t from = 0; from < shape.ranks; ++from) {
            auto packedRank = packed.subspan(static_cast<std::size_t>(from) * shape.slotsPerRank, shape.slotsPerRank);
            auto isShared = [&](auto it) { return it != noExpert && std::find(heldRank.begin(), heldRank.end(), it) != heldRank.end(); };
            pairs.push_back({ static_cast<std::uint32_t>(std::count_if(packedRank.begin(), packedRank.end(), isShared)), from, to });
        }
    }
    std::stable_sort(pairs.begin(), pairs.end(), [](auto& a, auto& b) { return a.shared > b.shared; });
    std::vector<ExpertIndex> matched(packed.size(), noExpert);
    std::vector<bool> isAssigned(shape.ranks, false);
    std::vector<bool> isFilled(shape.ranks, false);
    for (auto& pair : pairs) {
        if (isAssigned[pair.from] || isFilled[pair.to])
            continue;
        isAssigned[pair.from] = isFilled[pair.to] = true;
        auto source = packed.begin() + pair.from * shape.slotsPerRank;
        std::copy(source, source + shape.slotsPerRank, matched.begin() + pair.to * shape.slotsPerRank);
    }
    return matched;
}

} // namespace swiftloft::expertmap::replay
