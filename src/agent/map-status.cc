#include "src/agent/map-part.h"

#include <boost/json.hpp>

namespace swiftloft::agent {

namespace json = boost::json;
using namespace expertmap;

namespace {

/// Three of the coordinator's reads of an idle group.
constexpr milliseconds silentAfter { 3000 };

json::value pointJson(const std::optional<SwitchPoint>& point)
{
    if (!point)
        return nullptr;
    return json::object { { "map_version", point->version.value() }, { "step", point->step.value() } };
}

json::object statusJson(const EngineStatus& status)
{
    json::array staged;
    for (auto version : status.staged)
        staged.push_back(version.value());
    return {
        { "is_admitted", status.isAdmitted },
        { "map_version", status.current.value() },
        { "step", status.entered.value() },
        { "armed", pointJson(status.armed) },
        { "is_released", status.isReleased },
        { "staged", std::move(staged) },
    };
}

} // namespace

std::vector<std::uint32_t> MapControl::Part::silentRanks(TimePoint now) const
{
    auto ranks = coordinator->silentRanks(now - silentAfter);
    std::vector<std::uint32_t> values;
    values.reserve(ranks.size());
    for (auto rank : ranks)
        values.push_back(rank.value());
    return values;
}

json::object MapControl::coordinatorJson() const
{
    auto& coordinator = *m_part->coordinator;
    auto now = Clock::now();
    json::object out {
        { "phase", toString(coordinator.phase()) },
        { "fence", coordinator.fence().counter },
        { "wanted", nullptr },
        { "pending", pointJson(coordinator.pending()) },
        { "silent_ranks", json::value_from(m_part->silentRanks(now)) },
        { "held_step", nullptr },
    };
    if (coordinator.wanted())
        out["wanted"] = coordinator.wanted()->value();
    if (m_part->isHeld(now))
        out["held_step"] = m_part->stepSeen.value();
    return out;
}

std::string MapControl::toJson() const
{
    if (!m_part)
        return json::serialize(json::object { { "group", nullptr }, { "problem", m_problem } });
    json::object out { { "group", m_part->group.value() }, { "rank", m_part->rank.value() }, { "ranks", m_part->shape.ranks }, { "is_waiting", m_part->agent.isWaiting() }, { "problem", m_problem } };
    out["engine"] = m_part->agent.status() ? json::value(statusJson(*m_part->agent.status())) : json::value(nullptr);
    out["coordinator"] = m_part->coordinator ? json::value(coordinatorJson()) : json::value(nullptr);
    return json::serialize(out);
}

} // namespace swiftloft::agent
