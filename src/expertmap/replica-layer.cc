#include "src/expertmap/replica-layer.h"

#include <algorithm>
#include <numeric>

namespace swiftloft::expertmap::internal {

namespace {

/// Power of the norm that stands for the greatest load: high enough that the most loaded rank rules, low enough that one
/// of several equally loaded ranks counts when it improves.
double power(double x)
{
    auto x2 = x * x;
    auto x4 = x2 * x2;
    auto x8 = x4 * x4;
    return x8 * x4;
}

/// Gains below this are rounding.
constexpr double leastGain = 1e-6;

} // namespace

ReplicaLayer::ReplicaLayer(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> tokens)
    : m_ranks(shape.ranks)
    , m_slotsPerRank(shape.slotsPerRank)
    , m_slots(slots.begin(), slots.end())
    , m_slotsOf(shape.experts)
    , m_tokens(tokens.begin(), tokens.end())
    , m_loads(shape.ranks)
{
    for (std::uint32_t n = 0; n < m_slots.size(); ++n) {
        if (m_slots[n] != noExpert)
            m_slotsOf[m_slots[n].value()].push_back(n);
    }
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        for (auto slot : m_slotsOf[expert])
            m_loads[rankOf(slot)] += shareOf(expert);
    }
    m_mean = std::accumulate(m_loads.begin(), m_loads.end(), 0.0) / m_ranks;
}

double ReplicaLayer::peak() const
{
    return m_mean > 0 ? *std::max_element(m_loads.begin(), m_loads.end()) / m_mean : 0;
}

bool ReplicaLayer::holds(std::uint32_t rank, std::uint32_t expert) const
{
    auto& slots = m_slotsOf[expert];
    return std::any_of(slots.begin(), slots.end(), [&](auto slot) { return rankOf(slot) == rank; });
}

ReplicaLayer::Score ReplicaLayer::scoreOf(std::span<const double> loads) const
{
    Score score;
    for (auto load : loads) {
        auto relative = load / m_mean;
        score.peak = std::max(score.peak, relative);
        score.cost += power(relative);
    }
    return score;
}

/// Changes what each replica of `expert` carries.
void ReplicaLayer::shiftReplicas(std::vector<double>& loads, std::uint32_t expert, double from, double to) const
{
    for (auto slot : m_slotsOf[expert])
        loads[rankOf(slot)] += to - from;
}

void ReplicaLayer::applyTo(std::vector<double>& loads, const ReplicaChange& change) const
{
    auto rank = rankOf(change.slot);
    auto dropped = m_slots[change.slot];
    if (change.backSlot) {
        // A swap: each expert keeps its number of replicas.
        auto backRank = rankOf(*change.backSlot);
        loads[rank] += shareOf(change.expert) - shareOf(dropped.value());
        loads[backRank] += shareOf(dropped.value()) - shareOf(change.expert);
        return;
    }
    auto replicas = static_cast<double>(m_slotsOf[change.expert].size());
    auto share = m_tokens[change.expert] / (replicas + 1);
    shiftReplicas(loads, change.expert, m_tokens[change.expert] / replicas, share);
    loads[rank] += share;
    if (dropped == noExpert)
        return;
    auto others = static_cast<double>(m_slotsOf[dropped.value()].size()) - 1;
    auto before = m_tokens[dropped.value()] / (others + 1);
    auto after = m_tokens[dropped.value()] / others;
    shiftReplicas(loads, dropped.value(), before, after);
    loads[rank] -= after;
}

ReplicaLayer::Score ReplicaLayer::scoreWith(const ReplicaChange& change) const
{
    auto loads = m_loads;
    applyTo(loads, change);
    return scoreOf(loads);
}

std::optional<ReplicaLayer::Found> ReplicaLayer::best(std::span<const std::uint32_t> mayTake) const
{
    if (m_mean <= 0)
        return std::nullopt;
    auto current = scoreOf(m_loads);
    auto hot = static_cast<std::uint32_t>(std::max_element(m_loads.begin(), m_loads.end()) - m_loads.begin());
    std::optional<Found> found;
    double bestGain = leastGain;
    auto consider = [&](const ReplicaChange& change) {
        auto score = scoreWith(change);
        auto gain = (current.cost - score.cost) / change.copies();
        if (gain <= bestGain)
            return;
        bestGain = gain;
        found = Found { change, (current.peak - score.peak) / change.copies() };
    };
    for (std::uint32_t hotSlot = hot * m_slotsPerRank; hotSlot < (hot + 1) * m_slotsPerRank; ++hotSlot) {
        if (m_slots[hotSlot] == noExpert)
            continue;
        auto expert = m_slots[hotSlot].value();
        for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
            auto rank = rankOf(slot);
            if (rank == hot || mayTake[rank] == 0 || m_loads[rank] >= m_loads[hot] || holds(rank, expert))
                continue;
            auto other = m_slots[slot];
            if (other == noExpert || m_slotsOf[other.value()].size() > 1)
                consider({ slot, expert, std::nullopt });
            bool maySwap = other != noExpert && mayTake[hot] > 0 && !holds(hot, other.value()) && shareOf(other.value()) < shareOf(expert);
            if (maySwap)
                consider({ slot, expert, hotSlot });
        }
    }
    return found;
}

void ReplicaLayer::make(const ReplicaChange& change)
{
    applyTo(m_loads, change);
    auto dropped = m_slots[change.slot];
    if (dropped != noExpert)
        std::erase(m_slotsOf[dropped.value()], change.slot);
    m_slots[change.slot] = ExpertIndex(change.expert);
    if (change.backSlot) {
        std::erase(m_slotsOf[change.expert], *change.backSlot);
        m_slots[*change.backSlot] = dropped;
        m_slotsOf[dropped.value()].push_back(*change.backSlot);
    }
    m_slotsOf[change.expert].push_back(change.slot);
}

} // namespace swiftloft::expertmap::internal
