#include <swiftloft/expertmap/coordinator.h>

#include <algorithm>
#include <array>

namespace swiftloft::expertmap {

using namespace coordination;

const char* toString(CoordinatorPhase phase)
{
    constexpr std::array<const char*, 8> names { "inquiring", "idle", "staging", "arming", "confirming", "cancelling", "admitting", "stepped-down" };
    return names[static_cast<std::size_t>(phase)];
}

Result<Coordinator> Coordinator::create(const Options& options)
{
    if (options.incarnation.value() == 0)
        return Error { ErrorCode::InvalidArgument, "the incarnation of a coordinator must not be 0" };
    if (options.ranks == 0 || options.maxStagingRanks == 0)
        return Error { ErrorCode::InvalidArgument, "a coordinator needs at least one rank and one staging rank" };
    if (options.leadSteps == 0 || options.maxLeadSteps < options.leadSteps)
        return Error { ErrorCode::InvalidArgument, "leadSteps must be at least 1 and at most maxLeadSteps" };
    if (options.retryInterval <= milliseconds(0) || options.idleReadInterval <= milliseconds(0) || options.stagePollInterval <= milliseconds(0))
        return Error { ErrorCode::InvalidArgument, "retryInterval, idleReadInterval and stagePollInterval must be positive" };
    return Coordinator(options);
}

Coordinator::Coordinator(const Options& options)
    : m_options(options)
    , m_fence { 1, options.incarnation }
    , m_ranks(options.ranks)
{
}

Effects Coordinator::apply(TimePoint now, const Event& event)
{
    Effects effects;
    if (m_phase == CoordinatorPhase::SteppedDown)
        return effects;
    if (auto* received = std::get_if<ReportReceived>(&event))
        onReport(now, received->report, effects);
    else if (auto* hello = std::get_if<HelloReceived>(&event))
        onHello(now, hello->hello, effects);
    else if (auto* request = std::get_if<MapChangeRequested>(&event))
        m_targetMap = request->version;
    else if (std::holds_alternative<MapChangeWithdrawn>(event))
        m_targetMap.reset();
    if (m_phase != CoordinatorPhase::SteppedDown)
        advance(now, effects);
    return effects;
}

void Coordinator::onReport(TimePoint now, const RankReport& report, Effects& effects)
{
    if (report.rank.value() >= m_ranks.size())
        return;
    if (report.promised > m_fence) {
        // Another process may have taken over rank 0 while this one was frozen. If both coordinators kept taking a
        // higher fencing number than the other, no change could proceed. So a coordinator that has already led steps
        // down permanently. One that has only just started takes a higher number.
        if (m_hasLed) {
            m_phase = CoordinatorPhase::SteppedDown;
            effects.push_back(SteppedDown { report.promised });
            return;
        }
        restartInquiry(report.promised);
        return;
    }
    auto& view = m_ranks[report.rank.value()];
    // Reports can overtake each other in transit. An agent reads the status after the order of a round has arrived, so
    // a report of a higher round is never older than the known status. All other reports are ignored.
    if (report.promised != m_fence || report.round <= view.round || !report.status)
        return;
    view.round = report.round;
    view.status = report.status;
    view.reportedAt = now;
    measureStep(now, report.status->entered);
}

void Coordinator::onHello(TimePoint now, const RankHello& hello, Effects& effects)
{
    if (hello.rank.value() >= m_ranks.size())
        return;
    auto& view = m_ranks[hello.rank.value()];
    view.lastOrder.reset();
    send(now, hello.rank.value(), ReadStatus {}, effects);
}

void Coordinator::restartInquiry(FencingNumber newer)
{
    m_fence.counter = newer.counter + 1;
    for (auto& view : m_ranks)
        view = {};
}

std::vector<RankIndex> Coordinator::ranksWithoutStatus() const
{
    std::vector<RankIndex> ranks;
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r) {
        if (!m_ranks[r].status)
            ranks.push_back(RankIndex(r));
    }
    return ranks;
}

std::vector<RankIndex> Coordinator::silentRanks(TimePoint time) const
{
    std::vector<RankIndex> ranks;
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r) {
        if (!m_ranks[r].status || m_ranks[r].reportedAt < time)
            ranks.push_back(RankIndex(r));
    }
    return ranks;
}

bool Coordinator::hasAllStatuses() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [](auto& view) { return view.status.has_value(); });
}

std::optional<SwitchPoint> Coordinator::pendingSwitch() const
{
    std::optional<SwitchPoint> point;
    for (auto& view : m_ranks) {
        if (view.status && view.status->armed && (!point || view.status->armed->step < point->step))
            point = view.status->armed;
    }
    return point;
}

bool Coordinator::isKnownArmed(RankIndex rank) const
{
    auto& status = m_ranks[rank.value()].status;
    auto point = pendingSwitch();
    return status && point && status->isArmedFor(*point);
}

StepNumber Coordinator::newestStep() const
{
    StepNumber step;
    for (auto& view : m_ranks)
        step = std::max(step, view.status->entered);
    return step;
}

MapVersion Coordinator::groupMap() const
{
    const EngineStatus* newest = nullptr;
    for (auto& view : m_ranks) {
        if (view.status->isAdmitted && (!newest || view.status->entered > newest->entered))
            newest = &*view.status;
    }
    return newest ? newest->current : m_targetMap.value_or(m_options.initial);
}

void Coordinator::send(TimePoint now, std::uint32_t rank, const Order& order, Effects& effects, std::optional<milliseconds> every)
{
    auto& view = m_ranks[rank];
    if (view.lastOrder == order && now < view.resendAt)
        return;
    view.lastOrder = order;
    view.resendAt = now + every.value_or(m_options.retryInterval);
    RankOrder message { m_fence, ++m_round, RankIndex(rank), std::nullopt, order };
    if (!std::holds_alternative<ReadStatus>(order))
        message.engine = view.status->engine;
    effects.push_back(SendOrder { message });
}

void Coordinator::readAll(TimePoint now, milliseconds every, Effects& effects)
{
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r)
        send(now, r, ReadStatus {}, effects, every);
}

void Coordinator::advance(TimePoint now, Effects& effects)
{
    // An earlier coordinator may have died after it had sent `Go` to some ranks but not to others. Its successor can't
    // know the outcome before it has the status of every rank, so until then it only reads. Each answered read also
    // binds that rank's agent to the newer fencing number.
    if (!hasAllStatuses()) {
        m_phase = CoordinatorPhase::Inquiring;
        for (auto rank : ranksWithoutStatus())
            send(now, rank.value(), ReadStatus {}, effects);
        return;
    }
    m_hasLed = true;
    if (auto point = pendingSwitch()) {
        m_switchPoint = point;
        resolveSwitch(now, *point, effects);
        return;
    }
    if (m_switchPoint)
        finishChange(effects);
    if (admitEngines(now, effects))
        return;
    m_unadmittedEngines.clear();
    // Once rank 0 may be armed, the switch is completed first; a change request that arrives meanwhile waits.
    auto target = m_switchPoint ? std::optional(m_switchPoint->version) : m_targetMap;
    if (target && *target != groupMap()) {
        advanceChange(now, *target, effects);
        return;
    }
    m_phase = CoordinatorPhase::Idle;
    dropOldMaps(now, effects);
}

void Coordinator::resolveSwitch(TimePoint now, const SwitchPoint& point, Effects& effects)
{
    auto anyRank = [this](auto&& predicate) { return std::any_of(m_ranks.begin(), m_ranks.end(), [&](auto& view) { return predicate(*view.status); }); };
    if (anyRank([&](auto& status) { return status.isCommittedTo(point); })) {
        release(now, point, effects);
        return;
    }
    // A rank entered the step with the old map. It was therefore never armed for the switch point, and no rank was ever
    // sent a `Go`.
    if (anyRank([&](auto& status) { return status.hasMissed(point); })) {
        cancel(now, point, effects);
        return;
    }
    bool allArmed = !anyRank([&](auto& status) { return !status.isArmedFor(point); });
    if (allArmed)
        release(now, point, effects);
    else
        armRemaining(now, point, effects);
}

void Coordinator::release(TimePoint now, const SwitchPoint& point, Effects& effects)
{
    m_phase = CoordinatorPhase::Confirming;
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r) {
        auto& status = *m_ranks[r].status;
        if (!status.isAdmitted)
            readmit(now, r, point, effects);
        else if (status.isArmedFor(point) && !status.isReleased)
            send(now, r, Go { point }, effects);
        else
            send(now, r, ReadStatus {}, effects);
    }
}

void Coordinator::cancel(TimePoint now, const SwitchPoint& point, Effects& effects)
{
    m_phase = CoordinatorPhase::Cancelling;
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r) {
        if (m_ranks[r].status->isArmedFor(point))
            send(now, r, Cancel { point }, effects);
    }
}

void Coordinator::armRemaining(TimePoint now, const SwitchPoint& point, Effects& effects)
{
    m_phase = CoordinatorPhase::Arming;
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r) {
        auto& status = *m_ranks[r].status;
        if (!status.isAdmitted)
            readmit(now, r, point, effects);
        else if (status.isArmedFor(point))
            continue;
        // An engine that restarted after it had loaded the map must load it again. The group holds meanwhile.
        else if (!status.hasStaged(point.version))
            send(now, r, StageMap { point.version }, effects);
        else
            send(now, r, Arm { point }, effects);
    }
}

std::vector<Incarnation> Coordinator::unadmittedEngines() const
{
    std::vector<Incarnation> engines;
    for (auto& view : m_ranks) {
        if (!view.status->isAdmitted)
            engines.push_back(view.status->engine);
    }
    return engines;
}

bool Coordinator::admitEngines(TimePoint now, Effects& effects)
{
    auto engines = unadmittedEngines();
    if (engines.empty())
        return false;
    m_phase = CoordinatorPhase::Admitting;
    bool isNew = std::any_of(engines.begin(), engines.end(), [this](auto engine) { return std::find(m_unadmittedEngines.begin(), m_unadmittedEngines.end(), engine) == m_unadmittedEngines.end(); });
    m_unadmittedEngines = std::move(engines);
    // An engine may restart just as the others switch. The known status of the others may then be from before the
    // switch, and the engine would be admitted with the old map. All ranks are therefore read again after a restart has
    // been detected.
    if (isNew) {
        m_freshAfterRound = m_round;
        for (auto& view : m_ranks)
            view.lastOrder.reset();
    }
    bool isFresh = std::all_of(m_ranks.begin(), m_ranks.end(), [this](auto& view) { return view.round > m_freshAfterRound; });
    if (!isFresh) {
        readAll(now, m_options.retryInterval, effects);
        return true;
    }
    // While no rank is admitted, a late order of an earlier coordinator could admit one rank with another map than the
    // rest. Rank 0 is therefore admitted first and alone, and all other ranks follow the map that its engine then
    // reports.
    bool isNoRankAdmitted = m_unadmittedEngines.size() == m_ranks.size();
    std::uint32_t end = isNoRankAdmitted ? 1 : static_cast<std::uint32_t>(m_ranks.size());
    for (std::uint32_t r = 0; r < end; ++r) {
        if (!m_ranks[r].status->isAdmitted)
            readmit(now, r, std::nullopt, effects);
    }
    return true;
}

void Coordinator::readmit(TimePoint now, std::uint32_t rank, const std::optional<SwitchPoint>& point, Effects& effects)
{
    auto& status = *m_ranks[rank].status;
    auto version = groupMap();
    // The other ranks may not have reached the switch step yet, or may already have entered it. An engine that is armed
    // from its start is correct in both cases, because it does not pass the switch step without a `Go` or a `Cancel`.
    bool hasSwitched = point && version == point->version;
    if (!status.hasStaged(version))
        send(now, rank, StageMap { version }, effects);
    else if (point && !hasSwitched && !status.hasStaged(point->version))
        send(now, rank, StageMap { point->version }, effects);
    else
        send(now, rank, Admit { version, hasSwitched ? std::nullopt : point }, effects);
}

bool Coordinator::stage(TimePoint now, MapVersion version, Effects& effects)
{
    std::vector<std::uint32_t> otherRanks;
    std::uint32_t loading = 0;
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r) {
        if (m_ranks[r].status->hasStaged(version) || loading == m_options.maxStagingRanks) {
            otherRanks.push_back(r);
            continue;
        }
        send(now, r, StageMap { version }, effects, m_options.stagePollInterval);
        ++loading;
    }
    if (loading == 0)
        return true;
    // Loading takes minutes. If the other ranks were not read in that time, they would send no reports and would be
    // listed as silent.
    for (auto r : otherRanks)
        send(now, r, ReadStatus {}, effects, m_options.idleReadInterval);
    return false;
}

void Coordinator::advanceChange(TimePoint now, MapVersion version, Effects& effects)
{
    m_phase = CoordinatorPhase::Staging;
    if (!stage(now, version, effects))
        return;
    m_phase = CoordinatorPhase::Arming;
    if (!m_switchPoint)
        m_switchPoint = SwitchPoint { version, StepNumber(newestStep().value() + effectiveLeadSteps()) };
    // A successor must find this switch point armed at rank 0 whenever any rank could have been sent a `Go`. Rank 0 is
    // therefore armed first; see "Rank 0 is armed first" in docs/design/expert-maps.md.
    send(now, 0, Arm { *m_switchPoint }, effects);
}

void Coordinator::measureStep(TimePoint now, StepNumber newest)
{
    if (newest <= m_measuredStep || now < m_measuredAt + m_options.minStepMeasurementTime)
        return;
    if (m_measuredAt != TimePoint {})
        m_stepTime = (now - m_measuredAt) / static_cast<Clock::rep>(newest.value() - m_measuredStep.value());
    m_measuredStep = newest;
    m_measuredAt = now;
}

/// Returns the lead: the number of steps from the newest known step to the switch step. If the lead is too short, the
/// group waits at the switch step until the last rank is armed. If the lead is too long, the group keeps running with a
/// map that no longer fits the load. Steps with uneven load are slow, so a fixed number of steps would last longest
/// just when the change is needed most. `leadTime` is therefore converted to steps where it is set.
std::uint64_t Coordinator::effectiveLeadSteps() const
{
    auto steps = m_options.leadSteps;
    if (m_options.leadTime > milliseconds(0) && m_stepTime && *m_stepTime > Clock::duration(0))
        steps = static_cast<std::uint64_t>((m_options.leadTime + *m_stepTime - Clock::duration(1)) / *m_stepTime);
    return std::min(std::max<std::uint64_t>(steps, 1) * m_leadFactor, m_options.maxLeadSteps);
}

void Coordinator::finishChange(Effects& effects)
{
    auto point = *m_switchPoint;
    bool allCommitted = std::all_of(m_ranks.begin(), m_ranks.end(), [&](auto& view) { return view.status->isCommittedTo(point); });
    if (allCommitted) {
        effects.push_back(ChangeFinished { point });
        m_leadFactor = 1;
        m_switchPoint.reset();
        return;
    }
    bool isMissed = std::any_of(m_ranks.begin(), m_ranks.end(), [&](auto& view) { return view.status->hasMissed(point); });
    if (!isMissed)
        return;
    effects.push_back(ChangePostponed { point });
    m_leadFactor = std::min(m_leadFactor * 2, m_options.maxLeadSteps);
    m_switchPoint.reset();
}

void Coordinator::dropOldMaps(TimePoint now, Effects& effects)
{
    auto version = groupMap();
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r) {
        auto& staged = m_ranks[r].status->staged;
        bool hasObsoleteMap = std::any_of(staged.begin(), staged.end(), [&](auto it) { return it != version; });
        if (hasObsoleteMap)
            send(now, r, DropMaps { version }, effects, m_options.idleReadInterval);
        else
            send(now, r, ReadStatus {}, effects, m_options.idleReadInterval);
    }
}

} // namespace swiftloft::expertmap
