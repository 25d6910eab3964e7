#include "src/agent/load-planning.h"

#include <algorithm>

namespace swiftloft::agent {

using namespace expertmap;

LoadPlanning::LoadPlanning(const MapShape& shape, ReplicaPlanner planner)
    : m_shape(shape)
    , m_planner(std::move(planner))
    , m_loads(shape.ranks)
    , m_pending(static_cast<std::size_t>(shape.layers) * shape.experts)
{
}

void LoadPlanning::onLoads(const RankLoads& loads)
{
    bool isFit = loads.rank.value() < m_loads.size() && loads.tokens.size() == m_pending.size()
        && loads.held.size() == static_cast<std::size_t>(m_shape.layers) * m_shape.slotsPerRank;
    if (!isFit)
        return;
    auto& last = m_loads[loads.rank.value()];
    // Failure: datagrams overtake each other; an older count taken as newer would add what was counted already.
    bool isSameLife = last && last->engine == loads.engine;
    if (isSameLife && loads.step <= last->step)
        return;
    for (std::size_t n = 0; n < m_pending.size() && isSameLife; ++n)
        m_pending[n] += static_cast<double>(loads.tokens[n] - last->tokens[n]);
    last = loads;
}

void LoadPlanning::observe(TimePoint now)
{
    // Every value is a sum of counts, so the planner has nothing to refuse.
    m_planner.observe(now, m_pending);
    std::fill(m_pending.begin(), m_pending.end(), 0.0);
}

std::optional<VersionedMap> LoadPlanning::current() const
{
    std::vector<ExpertIndex> slots(static_cast<std::size_t>(m_shape.layers) * m_shape.slotsPerLayer(), noExpert);
    for (std::uint32_t rank = 0; rank < m_shape.ranks; ++rank) {
        auto& loads = m_loads[rank];
        if (!loads || loads->map != m_loads[0]->map || loads->engine != m_loads[0]->engine)
            return std::nullopt;
        for (std::uint32_t layer = 0; layer < m_shape.layers; ++layer) {
            auto from = loads->held.begin() + layer * m_shape.slotsPerRank;
            std::copy(from, from + m_shape.slotsPerRank, slots.begin() + layer * m_shape.slotsPerLayer() + rank * m_shape.slotsPerRank);
        }
    }
    auto map = ExpertMap::create(m_shape, std::move(slots));
    if (!map)
        return std::nullopt;
    return VersionedMap { m_loads[0]->map, std::move(*map) };
}

} // namespace swiftloft::agent
