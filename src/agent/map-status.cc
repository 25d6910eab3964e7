#include "src/agent/map-control.h"

#include <boost/json.hpp>

/// The status page of `MapControl`, as JSON.
namespace swiftloft::agent {

namespace json = boost::json;
using namespace expertmap;

namespace {

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

json::object coordinatorJson(const GroupMember& member)
{
    auto& coordinator = *member.coordinator();
    auto now = Clock::now();
    json::object out {
        { "phase", toString(coordinator.phase()) },
        { "fence", coordinator.fence().counter },
        { "wanted", nullptr },
        { "pending", pointJson(coordinator.pendingSwitch()) },
        { "silent_ranks", json::value_from(member.silentRanks(now)) },
        { "held_step", nullptr },
    };
    if (coordinator.targetMap())
        out["wanted"] = coordinator.targetMap()->value();
    if (auto step = member.heldStep(now))
        out["held_step"] = step->value();
    return out;
}

} // namespace

std::string MapControl::toJson() const
{
    if (!m_member)
        return json::serialize(json::object { { "group", nullptr }, { "problem", m_problem } });
    auto& options = m_member->options();
    auto& agent = m_member->agent();
    json::object out { { "group", options.group.value() }, { "rank", options.rank.value() }, { "ranks", options.shape.ranks }, { "is_waiting", agent.isEngineWaiting() }, { "problem", m_problem } };
    out["engine"] = agent.status() ? json::value(statusJson(*agent.status())) : json::value(nullptr);
    out["coordinator"] = m_member->coordinator() ? json::value(coordinatorJson(*m_member)) : json::value(nullptr);
    return json::serialize(out);
}

} // namespace swiftloft::agent
