#include "src/agent/map-scheduler.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

/// A map version is a counter in the high bits and a random part in the low bits, so that coordinators that don't know
/// of each other never assign one version to two maps.
constexpr unsigned versionRandomBits = 12;

} // namespace

MapScheduler::MapScheduler(LoadCollector loadCollector, Clock::duration basePassTime, std::uint64_t lastVersion, Hooks hooks)
    : m_loadCollector(std::move(loadCollector))
    , m_basePassTime(basePassTime)
    , m_lastVersion(lastVersion)
    , m_hooks(std::move(hooks))
{
}

void MapScheduler::onMapChanged(TimePoint now)
{
    m_changeDeadline.reset();
    m_nextPlanAt = now + postChangeDelay;
}

void MapScheduler::tick(TimePoint now, CoordinatorPhase phase, StepNumber step, std::optional<MapVersion> prepared, policy::Generator& generator)
{
    m_loadCollector.observe(now);
    m_passTimeEstimator.observe(now, step);
    if (m_changeDeadline && now >= *m_changeDeadline) {
        m_changeDeadline.reset();
        m_hooks.onMapChangeWithdrawn();
    }
    if (!mayPlan(now, phase))
        return;
    // When a group has just formed again, its ranks are at their most unbalanced. A plan made before demand is known
    // would be rejected, and the next plan would have to wait for the delay after a rejection. No plan is therefore
    // made before there are enough counts.
    if (!m_loadCollector.planner().hasEnoughTokens() && m_loadCollector.unknownRanks().empty()) {
        reportRejectedPlan(now, { .reason = PlanReason::NotEnoughData });
        return;
    }
    if (auto current = m_loadCollector.currentMap())
        plan(now, *current, prepared, generator);
    else
        reportUnknownRanks(now);
}

bool MapScheduler::mayPlan(TimePoint now, CoordinatorPhase phase) const
{
    if (phase != CoordinatorPhase::Idle || m_changeDeadline)
        return false;
    auto shiftedAt = m_loadCollector.planner().shiftedAt();
    bool isSettled = !shiftedAt || *shiftedAt + settleTime <= now;
    // A shift of demand ends the delay after a rejected plan, because the rejected plan was made for the earlier
    // demand.
    bool hasShifted = shiftedAt && *shiftedAt + rejectedPlanDelay > m_nextPlanAt;
    return isSettled && (now >= m_nextPlanAt || hasShifted);
}

/// Returns the fraction of a pass's duration that depends on the load of the ranks.
///
/// Without this fraction, a fleet in which hundreds of groups share the work of a few would change the map of each
/// group with every shift of demand. The changes would cost copies but make no request faster, because passes with so
/// little work last as long as empty ones. Where the load makes passes long, the same imbalance delays every stream of
/// the group.
double MapScheduler::loadShare() const
{
    auto basePassTime = std::chrono::duration_cast<Clock::duration>(m_loadCollector.planner().slowestPace() * m_basePassTime);
    return loadDependentShare(m_passTimeEstimator.shortest(), basePassTime);
}

void MapScheduler::plan(TimePoint now, const VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator)
{
    auto startedAt = Clock::now();
    auto plan = m_loadCollector.planner().plan(current.map, loadShare());
    m_hooks.onPlanned(plan, Clock::now() - startedAt);
    if (!plan.map) {
        m_nextPlanAt = now + rejectedPlanDelay;
        reportRejectedPlan(now, plan);
        return;
    }
    m_changeDeadline = now + changeTimeout;
    m_hooks.onMapChangeRequested({ nextVersion(current, prepared, generator), *plan.map }, plan);
}

/// A scheduler that can't plan looks like one that has nothing to plan, while the most loaded rank slows the whole
/// group. This report distinguishes the two cases and names the ranks without a usable report.
void MapScheduler::reportUnknownRanks(TimePoint now)
{
    if (!takeLogAllowance(now))
        return;
    std::vector<std::uint32_t> unknown;
    for (auto rank : m_loadCollector.unknownRanks())
        unknown.push_back(rank.value());
    m_hooks.onNotPlanned("ranks-unknown", fmt::format("ranks={}", fmt::join(unknown, ",")));
}

void MapScheduler::reportRejectedPlan(TimePoint now, const Plan& plan)
{
    if (!takeLogAllowance(now))
        return;
    auto* reason = plan.reason == PlanReason::NotEnoughData ? "demand-unknown" : "no-gain";
    m_hooks.onNotPlanned(reason, fmt::format("imbalance={:.2f} gain={:.3f}", plan.imbalance, plan.gain));
}

bool MapScheduler::takeLogAllowance(TimePoint now)
{
    if (now < m_unplannedLoggedAt + unplannedLogInterval)
        return false;
    m_unplannedLoggedAt = now;
    return true;
}

MapVersion MapScheduler::nextVersion(const VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator)
{
    auto highest = std::max(m_lastVersion, current.version.value());
    if (prepared)
        highest = std::max(highest, prepared->value());
    boost::random::uniform_int_distribution<std::uint64_t> random(0, (1U << versionRandomBits) - 1);
    m_lastVersion = (((highest >> versionRandomBits) + 1) << versionRandomBits) + random(generator);
    return MapVersion(m_lastVersion);
}

} // namespace swiftloft::agent
