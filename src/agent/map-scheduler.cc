#include "src/agent/map-scheduler.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

/// A map version is a counter in the high bits and a random part in the low bits, so that coordinators that don't know
/// of each other never assign one version to two maps.
constexpr unsigned versionRandomBits = 12;

} // namespace

MapScheduler::MapScheduler(LoadCollector loadCollector, const Options& options, std::uint64_t lastVersion, Hooks hooks)
    : m_loadCollector(std::move(loadCollector))
    , m_forecast(options.forecast)
    , m_options(options)
    , m_lastVersion(lastVersion)
    , m_hooks(std::move(hooks))
{
}

void MapScheduler::onMapChanged(TimePoint now, MapVersion version)
{
    if (m_change && m_change->map.version == version) {
        m_forecast.onChangeFinished(now - m_change->requestedAt, m_change->plan.copiesPerRank);
        m_imbalance = m_change->plan.plannedImbalance;
        m_finishedChange = FinishedChange { std::move(m_change->map), m_change->plan.plannedImbalance, now };
    }
    m_change.reset();
    m_nextPlanAt = now;
}

void MapScheduler::tick(TimePoint now, CoordinatorPhase phase, StepNumber step, std::optional<MapVersion> prepared, policy::Generator& generator)
{
    m_loadCollector.observe(now);
    m_passTimeEstimator.observe(now, step);
    updateMeanImbalance(now);
    if (auto shiftedAt = m_loadCollector.planner().shiftedAt())
        m_forecast.onShift(*shiftedAt);
    if (m_change && now >= m_change->deadline)
        withdraw("timeout");
    else if (isOvertaken(phase))
        withdraw("overtaken");
    if (!mayPlan(now, phase))
        return;
    // When a group has just formed again, its ranks are at their most unbalanced. A plan made before demand is known
    // would be rejected, and the next plan would have to wait for the delay after a rejection. No plan is therefore
    // made before there are enough counts.
    if (!m_loadCollector.planner().hasEnoughTokens() && m_loadCollector.unknownRanks().empty()) {
        reportRejectedPlan(now, { .reason = PlanReason::NotEnoughData });
        return;
    }
    if (auto current = currentMap(now))
        plan(now, *current, prepared, generator);
    else
        reportUnknownRanks(now);
}

/// Returns true if demand has shifted while ranks copy for the requested change. No rank is armed before all have
/// copied, so the change can be dropped without holding the group.
bool MapScheduler::isOvertaken(CoordinatorPhase phase) const
{
    auto shiftedAt = m_loadCollector.planner().shiftedAt();
    return m_change && phase == CoordinatorPhase::Staging && shiftedAt && *shiftedAt > m_change->requestedAt;
}

void MapScheduler::withdraw(std::string_view reason)
{
    m_change.reset();
    m_hooks.onMapChangeWithdrawn(reason);
}

bool MapScheduler::mayPlan(TimePoint now, CoordinatorPhase phase) const
{
    if (phase != CoordinatorPhase::Idle || m_change)
        return false;
    auto shiftedAt = m_loadCollector.planner().shiftedAt();
    bool isSettled = !shiftedAt || *shiftedAt + settleTime <= now;
    // A shift of demand ends the delay after a rejected plan, because the rejected plan was made for the earlier
    // demand.
    bool hasShifted = shiftedAt && *shiftedAt + rejectedPlanDelay > m_nextPlanAt;
    return isSettled && (now >= m_nextPlanAt || hasShifted);
}

/// Returns the map that all ranks run, or `nullopt` while it is unknown. After a change the map is known before the ranks
/// report it, which saves the time of these reports between two changes.
std::optional<VersionedMap> MapScheduler::currentMap(TimePoint now) const
{
    auto reported = m_loadCollector.currentMap();
    bool isJustChanged = m_finishedChange && now < m_finishedChange->finishedAt + reportDelay;
    if (isJustChanged && (!reported || reported->version < m_finishedChange->map.version))
        return m_finishedChange->map;
    return reported;
}

double MapScheduler::imbalance(TimePoint now) const
{
    auto current = currentMap(now);
    return current ? m_loadCollector.planner().imbalance(current->map) : 0;
}

Clock::duration MapScheduler::basePassTime() const
{
    return std::chrono::duration_cast<Clock::duration>(m_loadCollector.planner().slowestPace() * m_options.basePassTime);
}

/// Returns the fraction of a pass's duration that depends on the load of the ranks.
///
/// Without this fraction, a fleet in which hundreds of groups share the work of a few would change the map of each
/// group with every shift of demand. The changes would cost copies but make no request faster, because passes with so
/// little work last as long as empty ones. Where the load makes passes long, the same imbalance delays every stream of
/// the group.
double MapScheduler::loadShare() const
{
    return loadDependentShare(m_passTimeEstimator.shortest(), basePassTime());
}

void MapScheduler::plan(TimePoint now, const VersionedMap& current, std::optional<MapVersion> prepared, policy::Generator& generator)
{
    auto startedAt = Clock::now();
    auto [plan, saved] = choosePlan(now, current.map);
    m_hooks.onPlanned(plan, Clock::now() - startedAt);
    judgeLastChange(plan.imbalance);
    if (!plan.map) {
        m_nextPlanAt = now + rejectedPlanDelay;
        reportRejectedPlan(now, plan);
        return;
    }
    m_change = Change { { nextVersion(current, prepared, generator), *plan.map }, plan, now, now + changeTimeout };
    m_hooks.onMapChangeRequested(m_change->map, plan, saved);
}

std::pair<Plan, ForecastTime> MapScheduler::choosePlan(TimePoint now, const ExpertMap& current)
{
    std::vector<Plan> plans;
    m_loadCollector.planner().planStages(current, loadShare(), m_options.copiesPerStage, [&](const Plan& plan) {
        if (plans.empty())
            observePass(now, plan.imbalance);
        plans.push_back(plan);
        auto deepest = m_forecast.choose(now, plans);
        return plan.reason != PlanReason::NotEnoughData && deepest && deepest->lastStage == plans.size();
    });
    auto rejected = plans.front();
    rejected.map.reset();
    if (rejected.reason == PlanReason::Moved)
        rejected.reason = PlanReason::NoGain;
    std::erase_if(plans, [](auto& it) { return !it.map; });
    auto choice = m_forecast.choose(now, plans);
    if (!choice)
        return { rejected, ForecastTime(0) };
    return { plans[choice->stage - 1], choice->saved };
}

/// The measured pass covers up to a second, in which the imbalance may have changed. It is compared with the mean
/// imbalance over a similar time.
void MapScheduler::observePass(TimePoint now, double imbalance)
{
    m_imbalance = imbalance;
    if (m_meanImbalance <= 0)
        m_meanImbalance = imbalance;
    if (auto passTime = m_passTimeEstimator.recent())
        m_forecast.onPass(now, *passTime, basePassTime(), m_meanImbalance);
}

void MapScheduler::updateMeanImbalance(TimePoint now)
{
    auto halfLives = std::chrono::duration<double>(now - m_lastTickAt) / PassTimeEstimator::minMeasurementTime;
    m_meanImbalance += (m_imbalance - m_meanImbalance) * (1 - std::exp2(-halfLives));
    m_lastTickAt = now;
}

void MapScheduler::judgeLastChange(double imbalance)
{
    if (!m_finishedChange || m_finishedChange->isJudged)
        return;
    m_finishedChange->isJudged = true;
    auto shiftedAt = m_loadCollector.planner().shiftedAt();
    if (!shiftedAt || *shiftedAt <= m_finishedChange->finishedAt)
        m_hooks.onMapChangeJudged(m_finishedChange->plannedImbalance, imbalance);
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
