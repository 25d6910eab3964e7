#include "src/expertmap/layer-model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace swiftloft::expertmap::internal {

namespace {

constexpr std::uint32_t emptySlot = noExpert.value();
constexpr int initialSweeps = 4;
constexpr int sweepsAfterChange = 2;
/// Order of the norm that approximates the maximum, see `LayerModel::norm`. Must be a power of two.
constexpr int normOrder = 32;

double toNormOrder(double value)
{
    for (int order = 1; order < normOrder; order *= 2)
        value *= value;
    return value;
}

} // namespace

LayerModel::LayerModel(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> loads, std::span<const double> speeds)
    : m_slotsPerRank(shape.slotsPerRank)
    , m_slots(slots.size(), emptySlot)
    , m_slotsOfExpert(shape.experts)
    , m_loads(loads.begin(), loads.end())
    , m_speeds(speeds.begin(), speeds.end())
    , m_shares(slots.size(), 0.0)
    , m_rankLoads(shape.ranks, 0.0)
{
    for (std::uint32_t n = 0; n < slots.size(); ++n)
        assignSlot(n, slots[n].value());
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        for (auto slot : m_slotsOfExpert[expert]) {
            m_shares[slot] = m_loads[expert] / static_cast<double>(m_slotsOfExpert[expert].size());
            m_rankLoads[rankOf(slot)] += m_shares[slot];
        }
    }
    m_meanTime = std::accumulate(m_loads.begin(), m_loads.end(), 0.0) / std::accumulate(m_speeds.begin(), m_speeds.end(), 0.0);
    for (int n = 0; n < initialSweeps; ++n)
        sweep();
    m_norm = computeNorm();
}

double LayerModel::maxTime() const
{
    double time = 0;
    for (std::uint32_t r = 0; r < m_rankLoads.size(); ++r)
        time = std::max(time, rankTime(r));
    return time;
}

bool LayerModel::holds(std::uint32_t rank, std::uint32_t expert) const
{
    auto begin = m_slots.begin() + rank * m_slotsPerRank;
    return std::find(begin, begin + m_slotsPerRank, expert) != begin + m_slotsPerRank;
}

void LayerModel::assignSlot(std::uint32_t slot, std::uint32_t expert)
{
    auto old = m_slots[slot];
    if (old != emptySlot)
        std::erase(m_slotsOfExpert[old], slot);
    m_slots[slot] = expert;
    if (expert != emptySlot)
        m_slotsOfExpert[expert].push_back(slot);
}

/// Splits the tokens of `expert` among its replicas again by water-filling: all replicas that receive tokens finish
/// at the same time.
void LayerModel::waterFill(std::uint32_t expert)
{
    auto& slots = m_slotsOfExpert[expert];
    if (slots.size() == 1) {
        auto& share = m_shares[slots[0]];
        m_rankLoads[rankOf(slots[0])] += m_loads[expert] - share;
        share = m_loads[expert];
        return;
    }
    for (auto slot : slots) {
        m_rankLoads[rankOf(slot)] -= m_shares[slot];
        m_shares[slot] = 0;
    }
    std::sort(slots.begin(), slots.end(), [this](auto a, auto b) { return rankTime(rankOf(a)) < rankTime(rankOf(b)); });
    double load = m_loads[expert];
    double speed = 0;
    double level = 0;
    for (std::size_t n = 0; n < slots.size(); ++n) {
        auto rank = rankOf(slots[n]);
        load += m_rankLoads[rank];
        speed += m_speeds[rank];
        level = load / speed;
        bool isNextAbove = n + 1 < slots.size() && rankTime(rankOf(slots[n + 1])) >= level;
        if (isNextAbove)
            break;
    }
    for (auto slot : slots) {
        auto rank = rankOf(slot);
        double share = std::max(0.0, level * m_speeds[rank] - m_rankLoads[rank]);
        m_shares[slot] = share;
        m_rankLoads[rank] += share;
    }
}

void LayerModel::sweep()
{
    for (std::uint32_t expert = 0; expert < m_slotsOfExpert.size(); ++expert) {
        if (m_slotsOfExpert[expert].size() > 1)
            waterFill(expert);
    }
}

double LayerModel::computeNorm() const
{
    if (m_meanTime <= 0)
        return 1;
    double sum = 0;
    for (std::uint32_t r = 0; r < m_rankLoads.size(); ++r)
        sum += toNormOrder(rankTime(r) / m_meanTime);
    return std::pow(sum / static_cast<double>(m_rankLoads.size()), 1.0 / normOrder);
}

void LayerModel::updatePlacement(const PlacementChange& change)
{
    auto dropped = m_slots[change.slot];
    auto vacate = [this](std::uint32_t slot) {
        m_rankLoads[rankOf(slot)] -= m_shares[slot];
        m_shares[slot] = 0;
    };
    vacate(change.slot);
    if (change.isSwap())
        vacate(change.swapSlot);
    assignSlot(change.slot, change.expert);
    if (change.isSwap())
        assignSlot(change.swapSlot, dropped);
    if (dropped != emptySlot)
        waterFill(dropped);
    waterFill(change.expert);
    for (int n = 0; n < sweepsAfterChange; ++n)
        sweep();
}

double LayerModel::normAfter(const PlacementChange& change)
{
    m_savedShares = m_shares;
    m_savedRankLoads = m_rankLoads;
    auto dropped = m_slots[change.slot];
    updatePlacement(change);
    double norm = computeNorm();
    if (change.isSwap())
        assignSlot(change.swapSlot, change.expert);
    assignSlot(change.slot, dropped);
    m_shares.swap(m_savedShares);
    m_rankLoads.swap(m_savedRankLoads);
    return norm;
}

void LayerModel::apply(const PlacementChange& change)
{
    updatePlacement(change);
    m_norm = computeNorm();
}

double lowerBound(std::span<const double> loads, double totalSpeed, std::uint32_t maxReplicas)
{
    double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    double hottest = *std::max_element(loads.begin(), loads.end());
    return std::max(total / totalSpeed, hottest / maxReplicas);
}

} // namespace swiftloft::expertmap::internal
