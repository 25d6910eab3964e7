#include "src/membership/probe-schedule.h"

namespace swiftloft::membership {

namespace {

constexpr unsigned regionEvery = 4;
constexpr unsigned remoteEvery = 8;
constexpr std::size_t deadEvery = 4;
constexpr int longestSkip = 16;

Locality localityOf(unsigned count)
{
    if (count % remoteEvery == 0)
        return Locality::Remote;
    return count % regionEvery == 1 ? Locality::SameRegion : Locality::SameDataCentre;
}

} // namespace

void ProbeSchedule::reset()
{
    for (auto& round : m_rounds)
        round = Round {};
}

std::optional<NodeKey> ProbeSchedule::next(const MemberTable& table, Random& random)
{
    auto first = localityOf(++m_count);
    if (auto key = nextAt(first, table, random))
        return key;
    for (auto locality : { Locality::SameDataCentre, Locality::SameRegion, Locality::Remote }) {
        if (auto key = nextAt(locality, table, random))
            return key;
    }
    return std::nullopt;
}

std::optional<NodeKey> ProbeSchedule::nextAt(Locality locality, const MemberTable& table, Random& random)
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

} // namespace swiftloft::membership
