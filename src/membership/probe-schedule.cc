#include "src/membership/probe-schedule.h"

namespace swiftloft::membership {

namespace {

constexpr unsigned cycle = 4;
constexpr std::size_t deadEvery = 4;
constexpr int longestSkip = 16;

Locality localityOf(unsigned count)
{
    constexpr Locality order[cycle] = { Locality::SameDataCentre, Locality::SameRegion, Locality::SameDataCentre, Locality::Remote };
    return order[count % cycle];
}

} // namespace

void ProbeSchedule::reset()
{
    for (auto& round : m_rounds)
        round = Round {};
    m_remote.clear();
}

std::optional<NodeKey> ProbeSchedule::next(const MemberTable& table, const std::optional<DataCentreName>& doubtful, Random& random)
{
    auto locality = localityOf(m_count++);
    if (locality == Locality::Remote) {
        if (auto key = nextRemote(table, doubtful, random))
            return key;
    }
    if (locality == Locality::SameRegion) {
        if (auto key = nextNear(locality, table, random))
            return key;
    }
    for (auto near : { Locality::SameDataCentre, Locality::SameRegion }) {
        if (auto key = nextNear(near, table, random))
            return key;
    }
    return nextRemote(table, doubtful, random);
}

std::optional<NodeKey> ProbeSchedule::nextNear(Locality locality, const MemberTable& table, Random& random)
{
    auto& round = m_rounds[static_cast<std::size_t>(locality)];
    for (int i = 0; i < longestSkip; ++i) {
        if (round.position >= round.order.size()) {
            round.order = table.others(locality);
            random.shuffle(round.order);
            round.position = 0;
        }
        if (round.order.empty())
            return std::nullopt;
        auto key = round.order[round.position++];
        auto* record = table.find(key);
        if (!record)
            continue;
        if (record->health != Health::Dead || random.below(deadEvery) == 0)
            return key;
    }
    return std::nullopt;
}

std::optional<NodeKey> ProbeSchedule::nextRemote(const MemberTable& table, const std::optional<DataCentreName>& doubtful, Random& random)
{
    if (m_remote.empty()) {
        for (auto key : table.others(Locality::Remote))
            m_remote[table.find(key)->listed->dataCentre].push_back(key);
    }
    if (m_remote.empty())
        return std::nullopt;
    auto it = doubtful ? m_remote.find(*doubtful) : m_remote.end();
    if (it == m_remote.end()) {
        it = m_lastRemote ? m_remote.upper_bound(*m_lastRemote) : m_remote.begin();
        if (it == m_remote.end())
            it = m_remote.begin();
        m_lastRemote = it->first;
    }
    return it->second[random.below(it->second.size())];
}

} // namespace swiftloft::membership
