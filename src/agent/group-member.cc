#include "src/agent/group-member.h"

#include "src/agent/map-distribution.h"
#include "src/log/logger.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

constexpr milliseconds busyTickInterval { 10 };
constexpr milliseconds idleTickInterval { 100 };
/// A group that has not begun a new step for this long during a change is considered held by the change.
constexpr milliseconds holdTimeout { 1000 };
/// Interval between the log lines of a held group.
constexpr milliseconds holdLogInterval { 5000 };
/// Delay before a coordinator that has stepped down starts again. Without the delay, two processes that both run rank 0
/// would supersede each other continuously.
constexpr milliseconds coordinatorRestartDelay { 1000 };
/// Three of the intervals at which the coordinator reads an idle group.
constexpr milliseconds silenceTimeout { 3000 };
/// Limits the number of coordinator addresses that are kept.
constexpr std::size_t maxCoordinatorAddresses = 16;

} // namespace

GroupMember::GroupMember(boost::asio::io_context& ioContext, Options options, Hooks hooks, RankAgent agent)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_agent(std::move(agent))
    , m_timer(ioContext)
    , m_addresses(m_options.shape.ranks)
{
    if (!m_options.initialMap)
        return;
    m_maps.add(*m_options.initialMap);
    m_lastSentMap = m_options.initialMap->version;
}

GroupMember::~GroupMember()
{
    stop();
}

Result<std::unique_ptr<GroupMember>> GroupMember::create(boost::asio::io_context& ioContext, Options options, Hooks hooks)
{
    auto agent = RankAgent::create({ options.rank, options.incarnation, options.checksFences, options.engineTimeout });
    if (!agent)
        return agent.error();
    options.coordination.incarnation = options.incarnation;
    options.coordination.ranks = options.shape.ranks;
    if (auto coordinator = Coordinator::create(options.coordination); !coordinator)
        return coordinator.error();
    std::unique_ptr<GroupMember> member(new GroupMember(ioContext, std::move(options), std::move(hooks), std::move(*agent)));
    auto onMessage = [self = member.get()](const GroupTransport::Endpoint& from, const GroupMessage& message) { self->onMessage(from, message); };
    auto transport = GroupTransport::create(ioContext, member->m_options.endpoint, member->m_options.group.value(), onMessage);
    if (!transport)
        return transport.error();
    member->m_transport = std::move(*transport);
    return member;
}

void GroupMember::start()
{
    m_lastStepAt = Clock::now();
    execute(m_agent.start(m_lastStepAt));
    if (m_options.rank == RankIndex(0))
        startCoordinator();
    tick();
}

void GroupMember::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_transport)
        m_transport->stop();
}

void GroupMember::setAddress(RankIndex rank, const GroupTransport::Endpoint& address)
{
    if (rank.value() < m_addresses.size())
        m_addresses[rank.value()] = address;
}

bool GroupMember::hasAllAddresses() const
{
    return std::all_of(m_addresses.begin(), m_addresses.end(), [](auto& it) { return it.has_value(); });
}

void GroupMember::startCoordinator()
{
    m_coordinatorRestartAt.reset();
    m_coordinator = Coordinator::create(m_options.coordination).value();
    if (m_targetMap)
        onCoordinatorEvent(coordination::MapChangeRequested { *m_targetMap });
    else
        onCoordinatorEvent(coordination::Ticked {});
}

void GroupMember::onEngineEvent(const rank::Event& event)
{
    if (m_isStopped)
        return;
    auto before = m_agent.status();
    auto effects = m_agent.apply(Clock::now(), event);
    logAdmission(before);
    execute(effects);
}

void GroupMember::onCoordinatorEvent(const coordination::Event& event)
{
    if (m_isStopped || !m_coordinator)
        return;
    execute(m_coordinator->apply(Clock::now(), event));
}

void GroupMember::execute(const rank::Effects& effects)
{
    for (auto& effect : effects)
        std::visit([this](auto& it) { perform(it); }, effect);
}

void GroupMember::execute(const coordination::Effects& effects)
{
    for (auto& effect : effects)
        std::visit([this](auto& it) { perform(it); }, effect);
}

void GroupMember::perform(const rank::SendToEngine& effect)
{
    auto* stage = std::get_if<StageMap>(&effect.order.order);
    if (!stage) {
        m_hooks.sendToEngine(effect.order, nullptr);
        return;
    }
    auto* map = m_maps.find(stage->version);
    if (map) {
        m_hooks.sendToEngine(effect.order, map);
        return;
    }
    // The content of the map has not arrived yet, so the engine's status is read instead. The coordinator repeats the
    // order until the engine reports the map.
    fetchMap(stage->version);
    m_hooks.sendToEngine({ effect.order.id, effect.order.fence, ReadStatus {} }, nullptr);
}

void GroupMember::perform(const rank::SendReport& effect)
{
    auto it = m_coordinatorAddresses.find(effect.to);
    if (it != m_coordinatorAddresses.end())
        m_transport->send(it->second, effect.report);
}

void GroupMember::perform(const rank::SendHello& effect)
{
    sendToRank(RankIndex(0), effect.hello);
}

void GroupMember::perform(const rank::OrderRefused& effect)
{
    log::write(log::Event::RankOrderRefused, "group={} rank={} order={} fence={} promised={}", m_options.group.value(), m_options.rank.value(),
        nameOf(effect.order.order), effect.order.fence.counter, m_agent.promised().counter);
}

void GroupMember::perform(const coordination::SendOrder& effect)
{
    sendToRank(effect.order.rank, effect.order);
}

void GroupMember::perform(const coordination::ChangeFinished& effect)
{
    log::write(log::Event::MapChangeFinished, "group={} version={:016x} step={}", m_options.group.value(), effect.point.version.value(), effect.point.step.value());
    if (m_hooks.onMapChanged)
        m_hooks.onMapChanged(effect.point);
}

void GroupMember::perform(const coordination::ChangePostponed& effect)
{
    log::write(log::Event::MapChangePostponed, "group={} version={:016x} step={}", m_options.group.value(), effect.point.version.value(), effect.point.step.value());
}

void GroupMember::perform(const coordination::SteppedDown& effect)
{
    log::write(log::Event::CoordinatorSteppedDown, "group={} newer={}", m_options.group.value(), effect.newer.counter);
    m_coordinatorRestartAt = Clock::now() + coordinatorRestartDelay;
}

void GroupMember::sendToRank(RankIndex rank, const GroupMessage& message)
{
    auto& address = m_addresses[rank.value()];
    if (address)
        m_transport->send(*address, message);
}

void GroupMember::onMessage(const GroupTransport::Endpoint& from, const GroupMessage& message)
{
    if (auto* order = std::get_if<RankOrder>(&message)) {
        if (m_coordinatorAddresses.size() >= maxCoordinatorAddresses)
            m_coordinatorAddresses.clear();
        m_coordinatorAddresses[order->fence.holder] = from;
        onEngineEvent(rank::OrderReceived { *order });
    } else if (auto* report = std::get_if<RankReport>(&message))
        onCoordinatorEvent(coordination::ReportReceived { *report });
    else if (auto* hello = std::get_if<RankHello>(&message))
        onCoordinatorEvent(coordination::HelloReceived { *hello });
    else if (auto* request = std::get_if<MapRequest>(&message)) {
        if (auto* map = m_maps.find(request->version))
            m_transport->send(from, VersionedMap { request->version, *map });
    } else if (auto* versioned = std::get_if<VersionedMap>(&message)) {
        onMap(*versioned);
    } else if (auto* difference = std::get_if<MapDifference>(&message))
        onMapDifference(*difference);
    else if (auto* loads = std::get_if<RankLoads>(&message)) {
        if (m_hooks.onLoads)
            m_hooks.onLoads(*loads);
    }
}

void GroupMember::forwardMap(const GroupMessage& message)
{
    for (auto rank : mapReceivers(m_options.rank, m_options.shape.ranks))
        sendToRank(rank, message);
}

void GroupMember::onMap(const VersionedMap& versioned)
{
    if (versioned.map.shape() != m_options.shape || m_maps.find(versioned.version))
        return;
    m_maps.add(versioned);
    forwardMap(versioned);
}

void GroupMember::onMapDifference(const MapDifference& difference)
{
    auto* base = m_maps.find(difference.base);
    // A map that is already known has already been forwarded.
    if (m_maps.find(difference.version))
        return;
    // The difference is forwarded even without the base, because the receivers may have the base.
    forwardMap(difference);
    if (!base)
        return;
    if (auto map = applyDifference(*base, difference))
        m_maps.add(*map);
    else
        log::write(log::Event::MapUnreadable, "group={} version={:016x} problem=\"{}\"", m_options.group.value(), difference.version.value(), map.error().message);
}

/// Requests go to one rank after another, starting at rank 0. Any rank that has the map can answer, because a version
/// never names two maps.
void GroupMember::fetchMap(MapVersion version)
{
    sendToRank(RankIndex(m_nextFetchRank), MapRequest { version });
    m_nextFetchRank = (m_nextFetchRank + 1) % m_options.shape.ranks;
}

void GroupMember::requestMapChange(const VersionedMap& versioned)
{
    if (m_isStopped)
        return;
    // The content is sent ahead of the orders, which contain only the version, so that ranks need not request it. A
    // rank that lacks the base of the difference requests the whole map.
    auto* base = m_lastSentMap ? m_maps.find(*m_lastSentMap) : nullptr;
    auto message = base ? GroupMessage(differenceBetween({ *m_lastSentMap, *base }, versioned)) : GroupMessage(versioned);
    forwardMap(message);
    m_maps.add(versioned);
    m_targetMap = versioned.version;
    m_lastSentMap = versioned.version;
    onCoordinatorEvent(coordination::MapChangeRequested { versioned.version });
}

void GroupMember::withdrawMapChange()
{
    m_targetMap.reset();
    onCoordinatorEvent(coordination::MapChangeWithdrawn {});
}

void GroupMember::sendLoads(const RankLoads& loads)
{
    if (m_isStopped)
        return;
    if (m_options.rank != RankIndex(0))
        sendToRank(RankIndex(0), loads);
    else if (m_hooks.onLoads)
        m_hooks.onLoads(loads);
}

void GroupMember::tick()
{
    if (m_isStopped)
        return;
    auto now = Clock::now();
    onEngineEvent(rank::Ticked {});
    if (m_coordinatorRestartAt && now >= *m_coordinatorRestartAt)
        startCoordinator();
    onCoordinatorEvent(coordination::Ticked {});
    if (m_coordinator)
        checkForHold(now);
    bool isIdle = !m_agent.isEngineWaiting() && (!m_coordinator || m_coordinator->phase() == CoordinatorPhase::Idle);
    m_timer.expires_at(now + (isIdle ? idleTickInterval : busyTickInterval));
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            tick();
    });
}

void GroupMember::logAdmission(const std::optional<EngineStatus>& before)
{
    auto& status = m_agent.status();
    if (before && status && !before->isAdmitted && status->isAdmitted && before->engine == status->engine)
        log::write(log::Event::EngineAdmitted, "group={} rank={} version={:016x}", m_options.group.value(), m_options.rank.value(), status->current.value());
}

void GroupMember::checkForHold(TimePoint now)
{
    auto& status = m_agent.status();
    auto step = status ? status->entered : m_lastStep;
    // While ranks load the weights of a map (staging), the group continues its steps, so staging can't hold the group.
    // Rank 0 is not read while other ranks stage.
    auto phase = m_coordinator->phase();
    bool mayHold = phase != CoordinatorPhase::Idle && phase != CoordinatorPhase::Staging;
    if (step != m_lastStep || !mayHold) {
        m_lastStep = step;
        m_lastStepAt = now;
        return;
    }
    if (!heldStep(now) || now < m_holdLoggedAt + holdLogInterval)
        return;
    m_holdLoggedAt = now;
    log::write(log::Event::GroupHeld, "group={} phase={} step={} silent-ranks={}", m_options.group.value(), toString(phase), step.value(), fmt::join(silentRanks(now), ","));
}

std::optional<StepNumber> GroupMember::heldStep(TimePoint now) const
{
    return now >= m_lastStepAt + holdTimeout ? std::optional(m_lastStep) : std::nullopt;
}

std::vector<std::uint32_t> GroupMember::silentRanks(TimePoint now) const
{
    std::vector<std::uint32_t> values;
    if (!m_coordinator)
        return values;
    for (auto rank : m_coordinator->silentRanks(now - silenceTimeout))
        values.push_back(rank.value());
    return values;
}

} // namespace swiftloft::agent
