#include "src/agent/map-leader.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

/// A map's number is a count in the high bits and a random part below, so that coordinators that don't know of each other
/// never give one number to two maps.
constexpr unsigned versionRandomBits = 12;

} // namespace

MapLeader::MapLeader(LoadPlanning planning, Clock::duration fixedPass, std::uint64_t lastVersion, Hooks hooks)
    : m_planning(std::move(planning))
    , m_fixedPass(fixedPass)
    , m_lastVersion(lastVersion)
    , m_hooks(std::move(hooks))
{
}

void MapLeader::onChanged(TimePoint now)
{
    m_wishUntil.reset();
    m_planAgainAt = now + planPause;
}

void MapLeader::tick(TimePoint now, CoordinatorPhase phase, StepNumber step, std::optional<MapVersion> prepared, policy::Generator& generator)
{
    m_planning.observe(now);
    m_passTime.observe(now, step);
    if (m_wishUntil && now >= *m_wishUntil) {
        m_wishUntil.reset();
        m_hooks.onGivenUp();
    }
    if (!mayPlan(now, phase))
        return;
    // Failure: a group has formed anew and its ranks are at their most uneven. Sought before demand is known, a plan is refused,
    // and the next one waits for the pause that follows a refusal.
    if (!m_planning.planner().hasEnoughTokens() && m_planning.unknownRanks().empty()) {
        sayRefused(now, { .reason = PlanReason::NotEnoughData });
        return;
    }
    if (auto current = m_planning.current())
        plan(now, *current, prepared, generator);
    else
        sayUnknown(now);
}

bool MapLeader::mayPlan(TimePoint now, CoordinatorPhase phase) const
{
    if (phase != CoordinatorPhase::Idle || m_wishUntil)
        return false;
    auto shiftedAt = m_planning.planner().shiftedAt();
    bool isSettled = !shiftedAt || *shiftedAt + settleFor <= now;
    // A shift ends the pause after a refused plan.
    bool hasShifted = shiftedAt && *shiftedAt + refusedPlanPause > m_planAgainAt;
    return isSettled && (now >= m_planAgainAt || hasShifted);
}

/// Failure: hundreds of groups share the work of a few, and each changes its map with every shift of demand. Nobody is served
/// sooner by it, as their passes last as long as empty ones, and the copies are paid for. Where passes are long for their load,
/// the same unevenness makes every stream of the group late.
double MapLeader::loadShare() const
{
    auto fixed = std::chrono::duration_cast<Clock::duration>(m_planning.planner().slowestPace() * m_fixedPass);
    return loadShareOf(m_passTime.shortest(), fixed);
}

void MapLeader::plan(TimePoint now, const VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator)
{
    auto begunAt = Clock::now();
    auto plan = m_planning.planner().plan(current.map, loadShare());
    m_hooks.onPlanned(plan, Clock::now() - begunAt);
    if (!plan.map) {
        m_planAgainAt = now + refusedPlanPause;
        sayRefused(now, plan);
        return;
    }
    m_wishUntil = now + wishFor;
    m_hooks.onWanted({ nextVersion(current, prepared, generator), *plan.map }, plan);
}

/// Failure: a leader that plans nothing looks like one that has nothing to plan, while the most loaded rank slows the whole
/// group. What is said tells which of the two it is, and whose word is missing.
void MapLeader::sayUnknown(TimePoint now)
{
    if (!takeTurnToSay(now))
        return;
    std::vector<std::uint32_t> unknown;
    for (auto rank : m_planning.unknownRanks())
        unknown.push_back(rank.value());
    m_hooks.onUnplanned("ranks-unknown", fmt::format("ranks={}", fmt::join(unknown, ",")));
}

void MapLeader::sayRefused(TimePoint now, const Plan& plan)
{
    if (!takeTurnToSay(now))
        return;
    auto* reason = plan.reason == PlanReason::NotEnoughData ? "demand-unknown" : "no-gain";
    m_hooks.onUnplanned(reason, fmt::format("imbalance={:.2f} gain={:.3f}", plan.imbalance, plan.gain));
}

bool MapLeader::takeTurnToSay(TimePoint now)
{
    if (now < m_unplannedSaidAt + unplannedSaidEvery)
        return false;
    m_unplannedSaidAt = now;
    return true;
}

MapVersion MapLeader::nextVersion(const VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator)
{
    auto highest = std::max(m_lastVersion, current.version.value());
    if (prepared)
        highest = std::max(highest, prepared->value());
    boost::random::uniform_int_distribution<std::uint64_t> random(0, (1U << versionRandomBits) - 1);
    m_lastVersion = (((highest >> versionRandomBits) + 1) << versionRandomBits) + random(generator);
    return MapVersion(m_lastVersion);
}

} // namespace swiftloft::agent
