#include "src/expertmap/layer-search.h"

#include <algorithm>
#include <numeric>

namespace swiftloft::expertmap::internal {

namespace {

/// Bounds of the search from one placement. The search examines this many of the slowest ranks, of the experts that
/// contribute most to the load of such a rank, and of the fastest ranks as destinations.
constexpr std::size_t hotRanks = 2;
constexpr std::size_t hotSlots = 3;
constexpr std::size_t coldRanks = 6;
/// Number of best candidates whose gain is checked under the slow estimate.
constexpr std::size_t checkedCandidates = 4;

} // namespace

LayerSearch::LayerSearch(const MapShape& shape, std::span<const ExpertIndex> slots, std::span<const double> fast, std::span<const double> slow,
    std::span<const double> speeds, std::span<const TimePoint> pinnedUntil, TimePoint now, double slowWeight)
    : m_slotsPerRank(shape.slotsPerRank)
    , m_fast(shape, slots, fast, speeds)
    , m_slow(shape, slots, slow, speeds)
    , m_pinnedUntil(pinnedUntil.begin(), pinnedUntil.end())
    , m_now(now)
    , m_slowWeight(slowWeight)
{
}

double LayerSearch::excess() const
{
    return blend(m_fast.norm(), m_slow.norm()) - 1;
}

std::vector<PlacementChange> LayerSearch::candidates() const
{
    std::vector<std::uint32_t> ranks(m_pinnedUntil.size() / m_slotsPerRank);
    std::iota(ranks.begin(), ranks.end(), 0);
    std::sort(ranks.begin(), ranks.end(), [this](auto a, auto b) { return m_fast.rankTime(a) > m_fast.rankTime(b); });
    std::vector<PlacementChange> found;
    auto hotEnd = std::min(hotRanks, ranks.size() / 2);
    for (std::size_t h = 0; h < hotEnd; ++h) {
        std::vector<std::uint32_t> slots(m_slotsPerRank);
        std::iota(slots.begin(), slots.end(), ranks[h] * m_slotsPerRank);
        std::sort(slots.begin(), slots.end(), [this](auto a, auto b) { return m_fast.shareOf(a) > m_fast.shareOf(b); });
        slots.resize(std::min(hotSlots, slots.size()));
        auto coldBegin = std::max(hotEnd, ranks.size() - std::min(coldRanks, ranks.size()));
        for (auto slot : slots) {
            for (auto c = coldBegin; c < ranks.size(); ++c)
                addCandidates(slot, ranks[c], found);
        }
    }
    return found;
}

void LayerSearch::addCandidates(std::uint32_t hotSlot, std::uint32_t coldRank, std::vector<PlacementChange>& out) const
{
    auto expert = m_fast.expertAt(hotSlot);
    if (m_fast.shareOf(hotSlot) <= 0 || m_fast.holds(coldRank, expert))
        return;
    auto hotRank = hotSlot / m_slotsPerRank;
    auto begin = coldRank * m_slotsPerRank;
    for (auto slot = begin; slot < begin + m_slotsPerRank; ++slot) {
        if (!mayFill(slot))
            continue;
        auto held = m_fast.expertAt(slot);
        bool isSpare = held == noExpert.value() || m_fast.replicas(held) > 1;
        if (isSpare)
            out.push_back({ slot, expert });
        if (held != noExpert.value() && !m_fast.holds(hotRank, held) && mayFill(hotSlot))
            out.push_back({ slot, expert, hotSlot });
    }
}

std::optional<SearchStep> LayerSearch::improve(double minGain, std::uint64_t budget, std::uint32_t& predictions)
{
    std::vector<Candidate> found;
    for (auto& change : candidates()) {
        double cost = change.isSwap() ? 2 : 1;
        if (cost > static_cast<double>(budget))
            continue;
        ++predictions;
        double gain = (m_fast.norm() - m_fast.normAfter(change)) / cost;
        if (gain >= minGain)
            found.push_back({ change, gain });
    }
    std::sort(found.begin(), found.end(), [](auto& a, auto& b) { return a.gainPerExpert > b.gainPerExpert; });
    found.resize(std::min(found.size(), checkedCandidates));
    for (auto& it : found) {
        ++predictions;
        double cost = it.change.isSwap() ? 2 : 1;
        double slowGain = (m_slow.norm() - m_slow.normAfter(it.change)) / cost;
        double gain = blend(it.gainPerExpert, slowGain);
        if (gain >= minGain)
            return apply(it.change, gain * cost);
    }
    return std::nullopt;
}

SearchStep LayerSearch::apply(const PlacementChange& change, double gain)
{
    SearchStep step { gain, { { change.slot, change.expert } } };
    if (change.isSwap())
        step.filled.push_back({ change.swapSlot, m_fast.expertAt(change.slot) });
    m_fast.apply(change);
    m_slow.apply(change);
    for (auto& it : step.filled)
        m_pinnedUntil[it.slot] = m_now + milliseconds(1);
    return step;
}

} // namespace swiftloft::expertmap::internal
