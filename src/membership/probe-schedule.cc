#include "src/membership/probe-schedule.h"

namespace swiftloft::membership {

namespace {

constexpr unsigned cycleLength = 4;
constexpr std::size_t deadProbePeriod = 4;
constexpr int maxSkips = 16;

Locality localityOf(unsigned count)
{
    constexpr Locality order[cycleLength] = { Locality::SameDataCentre, Locality::SameRegion, Locality::SameDataCentre, Locality::Remote };
    return order[count % cycleLength];
}

} // namespace

void ProbeSchedule::reset()
{
    for (auto& round : m_rounds)
        round = Round {};
    m_remoteMembers.clear();
}

std::optional<NodeKey> ProbeSchedule::next(const MemberTable& table, const std::optional<DataCentreName>& suspectDataCentre, Random& random)
{
    auto locality = localityOf(m_probeCount++);
    if (locality == Locality::Remote) {
        if (auto key = nextRemote(table, suspectDataCentre, random))
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
    return nextRemote(table, suspectDataCentre, random);
}

std::optional<NodeKey> ProbeSchedule::nextNear(Locality locality, const MemberTable& table, Random& random)
{
    auto& round = m_rounds[static_cast<std::size_t>(locality)];
    for (int i = 0; i < maxSkips; ++i) {
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
        if (record->health != Health::Dead || random.below(deadProbePeriod) == 0)
            return key;
    }
    return std::nullopt;
}

std::optional<NodeKey> ProbeSchedule::nextRemote(const MemberTable& table, const std::optional<DataCentreName>& suspectDataCentre, Random& random)
{
    if (m_remoteMembers.empty()) {
        for (auto key : table.others(Locality::Remote))
            m_remoteMembers[table.find(key)->listed->dataCentre].push_back(key);
    }
    if (m_remoteMembers.empty())
        return std::nullopt;
    auto it = suspectDataCentre ? m_remoteMembers.find(*suspectDataCentre) : m_remoteMembers.end();
    if (it == m_remoteMembers.end()) {
        it = m_lastRemoteDataCentre ? m_remoteMembers.upper_bound(*m_lastRemoteDataCentre) : m_remoteMembers.begin();
        if (it == m_remoteMembers.end())
            it = m_remoteMembers.begin();
        m_lastRemoteDataCentre = it->first;
    }
    return it->second[random.below(it->second.size())];
}

} // namespace swiftloft::membership
