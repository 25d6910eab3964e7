#include "src/agent/group-member.h"

#include "src/agent/map-spread.h"
#include "src/log/logger.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

constexpr milliseconds busyTick { 10 };
constexpr milliseconds idleTick { 100 };
/// A group that stands for this long is held.
constexpr milliseconds holdNoticedAfter { 1000 };
/// A held group says so this often.
constexpr milliseconds holdLoggedEvery { 5000 };
/// A stepped-down coordinator starts anew after this long, so that two processes that both run rank 0 don't outbid each
/// other in turn without a pause.
constexpr milliseconds newCoordinatorAfter { 1000 };
/// Three of the coordinator's reads of an idle group.
constexpr milliseconds silentAfter { 3000 };
/// Coordinators whose addresses are remembered.
constexpr std::size_t mostHolders = 16;

} // namespace

GroupMember::GroupMember(boost::asio::io_context& ioContext, Options options, Hooks hooks, RankAgent agent)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_agent(std::move(agent))
    , m_timer(ioContext)
    , m_addresses(m_options.shape.ranks)
{
    if (!m_options.first)
        return;
    m_maps.add(*m_options.first);
    m_lastTold = m_options.first->version;
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
    m_stepSeenAt = Clock::now();
    carryOut(m_agent.start(m_stepSeenAt));
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

bool GroupMember::knowsAllAddresses() const
{
    return std::all_of(m_addresses.begin(), m_addresses.end(), [](auto& it) { return it.has_value(); });
}

void GroupMember::startCoordinator()
{
    m_coordinatorDueAt.reset();
    m_coordinator = Coordinator::create(m_options.coordination).value();
    if (m_wanted)
        onCoordinatorEvent(coordination::MapChangeRequested { *m_wanted });
    else
        onCoordinatorEvent(coordination::Ticked {});
}

void GroupMember::onEngine(const rank::Event& event)
{
    if (m_isStopped)
        return;
    auto before = m_agent.status();
    auto effects = m_agent.apply(Clock::now(), event);
    logAdmission(before);
    carryOut(effects);
}

void GroupMember::onCoordinatorEvent(const coordination::Event& event)
{
    if (m_isStopped || !m_coordinator)
        return;
    carryOut(m_coordinator->apply(Clock::now(), event));
}

void GroupMember::carryOut(const rank::Effects& effects)
{
    for (auto& effect : effects)
        std::visit([this](auto& it) { perform(it); }, effect);
}

void GroupMember::carryOut(const coordination::Effects& effects)
{
    for (auto& effect : effects)
        std::visit([this](auto& it) { perform(it); }, effect);
}

void GroupMember::perform(const rank::SendToEngine& effect)
{
    auto* stage = std::get_if<StageMap>(&effect.order.order);
    if (!stage) {
        m_hooks.writeEngine(effect.order, nullptr);
        return;
    }
    auto* map = m_maps.find(stage->version);
    if (map) {
        m_hooks.writeEngine(effect.order, map);
        return;
    }
    // The content isn't here yet. The engine is read in place of the order; the coordinator repeats the order until the
    // engine shows the map.
    fetchMap(stage->version);
    m_hooks.writeEngine({ effect.order.id, effect.order.fence, ReadStatus {} }, nullptr);
}

void GroupMember::perform(const rank::SendReport& effect)
{
    auto it = m_holders.find(effect.to);
    if (it != m_holders.end())
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
    if (m_hooks.onChanged)
        m_hooks.onChanged(effect.point);
}

void GroupMember::perform(const coordination::ChangePostponed& effect)
{
    log::write(log::Event::MapChangePostponed, "group={} version={:016x} step={}", m_options.group.value(), effect.point.version.value(), effect.point.step.value());
}

void GroupMember::perform(const coordination::SteppedDown& effect)
{
    log::write(log::Event::CoordinatorSteppedDown, "group={} newer={}", m_options.group.value(), effect.newer.counter);
    m_coordinatorDueAt = Clock::now() + newCoordinatorAfter;
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
        if (m_holders.size() >= mostHolders)
            m_holders.clear();
        m_holders[order->fence.holder] = from;
        onEngine(rank::OrderReceived { *order });
    } else if (auto* report = std::get_if<RankReport>(&message))
        onCoordinatorEvent(coordination::ReportReceived { *report });
    else if (auto* hello = std::get_if<RankHello>(&message))
        onCoordinatorEvent(coordination::HelloReceived { *hello });
    else if (auto* wanted = std::get_if<MapWantedFrom>(&message)) {
        if (auto* map = m_maps.find(wanted->version))
            m_transport->send(from, VersionedMap { wanted->version, *map });
    } else if (auto* named = std::get_if<VersionedMap>(&message)) {
        takeMap(*named);
    } else if (auto* difference = std::get_if<MapDifference>(&message))
        takeDifference(*difference);
    else if (auto* loads = std::get_if<RankLoads>(&message)) {
        if (m_hooks.onLoads)
            m_hooks.onLoads(*loads);
    }
}

void GroupMember::passOn(const GroupMessage& message)
{
    for (auto rank : receiversOf(m_options.rank, m_options.shape.ranks))
        sendToRank(rank, message);
}

void GroupMember::takeMap(const VersionedMap& named)
{
    if (named.map.shape() != m_options.shape || m_maps.find(named.version))
        return;
    m_maps.add(named);
    passOn(named);
}

void GroupMember::takeDifference(const MapDifference& difference)
{
    auto* base = m_maps.find(difference.base);
    // One that is known already was passed on already.
    if (m_maps.find(difference.version))
        return;
    // One that lacks the base can still pass the difference on, to ranks that may have it.
    passOn(difference);
    if (!base)
        return;
    if (auto map = applied(*base, difference))
        m_maps.add(*map);
    else
        log::write(log::Event::MapUnreadable, "group={} version={:016x} problem=\"{}\"", m_options.group.value(), difference.version.value(), map.error().message);
}

/// Asks one rank after the other, from rank 0 on: any that holds the map will do, as no version ever names two maps.
void GroupMember::fetchMap(MapVersion version)
{
    sendToRank(RankIndex(m_fetchedFrom), MapWantedFrom { version });
    m_fetchedFrom = (m_fetchedFrom + 1) % m_options.shape.ranks;
}

void GroupMember::want(const VersionedMap& named)
{
    if (m_isStopped)
        return;
    // Sent ahead of the orders, which name it only: a rank that has it need not ask first. One that lacks the map that the
    // difference is from does ask.
    auto* base = m_lastTold ? m_maps.find(*m_lastTold) : nullptr;
    auto message = base ? GroupMessage(differenceBetween({ *m_lastTold, *base }, named)) : GroupMessage(named);
    passOn(message);
    m_maps.add(named);
    m_wanted = named.version;
    m_lastTold = named.version;
    onCoordinatorEvent(coordination::MapChangeRequested { named.version });
}

void GroupMember::withdraw()
{
    m_wanted.reset();
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
    onEngine(rank::Ticked {});
    if (m_coordinatorDueAt && now >= *m_coordinatorDueAt)
        startCoordinator();
    onCoordinatorEvent(coordination::Ticked {});
    if (m_coordinator)
        noticeHold(now);
    bool isIdle = !m_agent.isEngineWaiting() && (!m_coordinator || m_coordinator->phase() == CoordinatorPhase::Idle);
    m_timer.expires_at(now + (isIdle ? idleTick : busyTick));
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

void GroupMember::noticeHold(TimePoint now)
{
    auto& status = m_agent.status();
    auto step = status ? status->entered : m_stepSeen;
    // Loading beside the steps holds nothing, and rank 0 is not read while other ranks load.
    auto phase = m_coordinator->phase();
    bool mayHold = phase != CoordinatorPhase::Idle && phase != CoordinatorPhase::Staging;
    if (step != m_stepSeen || !mayHold) {
        m_stepSeen = step;
        m_stepSeenAt = now;
        return;
    }
    if (!heldStep(now) || now < m_holdLoggedAt + holdLoggedEvery)
        return;
    m_holdLoggedAt = now;
    log::write(log::Event::GroupHeld, "group={} phase={} step={} silent-ranks={}", m_options.group.value(), toString(phase), step.value(), fmt::join(silentRanks(now), ","));
}

std::optional<StepNumber> GroupMember::heldStep(TimePoint now) const
{
    return now >= m_stepSeenAt + holdNoticedAfter ? std::optional(m_stepSeen) : std::nullopt;
}

std::vector<std::uint32_t> GroupMember::silentRanks(TimePoint now) const
{
    std::vector<std::uint32_t> values;
    if (!m_coordinator)
        return values;
    for (auto rank : m_coordinator->silentRanks(now - silentAfter))
        values.push_back(rank.value());
    return values;
}

} // namespace swiftloft::agent
