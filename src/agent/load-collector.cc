#include "src/agent/load-collector.h"

#include <algorithm>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

/// Maximum distance in steps between two reports whose counts can be subtracted. Counts are reported modulo 2^16, and
/// over a longer distance they may wrap around: the hottest expert of a layer gets up to 1,400 tokens of one rank in a
/// step.
constexpr std::uint64_t maxStepsBetweenReports = 40;

} // namespace

LoadCollector::LoadCollector(const MapShape& shape, ReplicaPlanner planner)
    : m_shape(shape)
    , m_planner(std::move(planner))
    , m_loads(shape.ranks)
    , m_pendingTokens(static_cast<std::size_t>(shape.layers) * shape.experts)
    , m_hasReported(shape.ranks)
{
}

void LoadCollector::onLoads(const RankLoads& loads)
{
    bool hasTokens = !loads.tokens.empty();
    bool isFit = loads.rank.value() < m_loads.size() && (!hasTokens || loads.tokens.size() == m_pendingTokens.size())
        && loads.held.size() == static_cast<std::size_t>(m_shape.layers) * m_shape.slotsPerRank;
    if (!isFit)
        return;
    auto& last = m_loads[loads.rank.value()];
    // Datagrams can arrive out of order. If an older count were taken for a newer one, tokens would be added that have
    // already been counted.
    bool isSameIncarnation = last && last->engine == loads.engine;
    if (isSameIncarnation && loads.step <= last->step)
        return;
    // Counts may have wrapped around during a long gap between reports. Their differences would then be meaningless, so
    // the report only becomes the new baseline.
    bool isRecent = isSameIncarnation && hasTokens && !last->tokens.empty() && loads.step.value() - last->step.value() <= maxStepsBetweenReports;
    for (std::size_t n = 0; n < m_pendingTokens.size() && isRecent; ++n)
        m_pendingTokens[n] += static_cast<std::uint16_t>(loads.tokens[n] - last->tokens[n]);
    last = loads;
    m_planner.setPace(loads.rank, loads.pace);
    m_hasReported[loads.rank.value()] = hasTokens;
}

void LoadCollector::observe(TimePoint now)
{
    // The requests of a few ranks use other experts than the requests of the whole group. Passed to the planner alone,
    // their counts would look like a shift of demand. The counts of half of the counting ranks are representative.
    auto reportedRanks = std::count(m_hasReported.begin(), m_hasReported.end(), true);
    auto countingRanks = std::count_if(m_loads.begin(), m_loads.end(), [](auto& it) { return it && !it->tokens.empty(); });
    if (2 * reportedRanks < countingRanks)
        return;
    // Every value is a sum of counts, so the planner can't reject the input.
    m_planner.observe(now, m_pendingTokens);
    std::fill(m_pendingTokens.begin(), m_pendingTokens.end(), 0.0);
    std::fill(m_hasReported.begin(), m_hasReported.end(), false);
}

std::vector<RankIndex> LoadCollector::unknownRanks() const
{
    auto& first = m_loads[0];
    std::vector<RankIndex> ranks;
    for (std::uint32_t rank = 0; rank < m_shape.ranks; ++rank) {
        auto& loads = m_loads[rank];
        if (!loads || !first || loads->map != first->map || loads->engine != first->engine)
            ranks.emplace_back(rank);
    }
    return ranks;
}

std::optional<VersionedMap> LoadCollector::currentMap() const
{
    if (!unknownRanks().empty())
        return std::nullopt;
    std::vector<ExpertIndex> slots(static_cast<std::size_t>(m_shape.layers) * m_shape.slotsPerLayer(), noExpert);
    for (std::uint32_t rank = 0; rank < m_shape.ranks; ++rank) {
        auto& loads = m_loads[rank];
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
