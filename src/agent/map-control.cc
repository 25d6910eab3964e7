#include "src/agent/map-control.h"

#include "src/agent/map-part.h"
#include "src/log/logger.h"
#include "src/process/process-config.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

constexpr milliseconds busyTick { 10 };
constexpr milliseconds idleTick { 100 };
/// An engine on a busy machine may take this long for an answer; then it is read again.
constexpr milliseconds engineTimeout { 200 };
/// A held group says so this often.
constexpr milliseconds holdLoggedEvery { 5000 };
/// A stepped-down coordinator starts anew after this long, so that two processes that both run rank 0 don't outbid each
/// other in turn without a pause.
constexpr milliseconds newCoordinatorAfter { 1000 };
/// Coordinators whose addresses are remembered.
constexpr std::size_t mostHolders = 16;

MapShape shapeOf(const settings::GroupSettings& settings)
{
    // The schema keeps ranks above 0.
    auto evenShare = (settings.experts + settings.ranks - 1) / settings.ranks;
    return { settings.ranks, settings.layers, settings.experts, evenShare + settings.spareSlotsPerRank };
}

} // namespace

MapControl::MapControl(boost::asio::io_context& ioContext, const Options& options)
    : m_ioContext(ioContext)
    , m_options(options)
    , m_timer(ioContext)
{
}

MapControl::~MapControl() = default;

void MapControl::setSettings(const settings::Tree& tree)
{
    m_settings = tree;
    beginIfKnown();
    if (!m_part)
        return;
    auto settings = tree.group(m_part->group);
    if (!settings)
        return;
    m_part->settings = *settings;
    // The planner has the weights of its beginning: the next look at the group begins it anew.
    if (m_part->planning)
        m_part->planning->stop();
}

void MapControl::setView(const std::shared_ptr<const membership::View>& view)
{
    m_view = view;
    beginIfKnown();
    if (m_part)
        learnAddresses();
}

void MapControl::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_part)
        m_part->transport->stop();
}

void MapControl::beginIfKnown()
{
    if (m_part || m_isStopped || !m_view || !m_settings)
        return;
    auto* self = m_view->find(membership::NodeId(m_options.self));
    if (!self || self->listed->group.value().empty() || !self->listed->rank)
        return;
    auto settings = m_settings->group(self->listed->group);
    if (settings)
        begin(*self->listed, *settings);
    else
        m_problem = settings.error().message;
}

void MapControl::begin(const membership::ListedInstance& listed, const settings::GroupSettings& settings)
{
    auto shape = shapeOf(settings);
    auto initial = ExpertMap::even(shape);
    auto agent = RankAgent::create({ *listed.rank, m_options.incarnation, settings.checksFencing, engineTimeout });
    if (!initial || !agent || listed.rank->value() >= shape.ranks) {
        m_problem = !initial ? initial.error().message : !agent ? agent.error().message
                                                                : fmt::format("rank {} of the list is not below the {} ranks of the settings", listed.rank->value(), shape.ranks);
        return;
    }
    m_problem.clear();
    GroupTransport::Endpoint endpoint(m_options.rpc.address(), m_options.rpc.port());
    auto onMessage = [this](const GroupTransport::Endpoint& from, const GroupMessage& message) { this->onMessage(from, message); };
    auto transport = GroupTransport::create(m_ioContext, endpoint, listed.group.value(), onMessage).value();
    m_part.reset(new Part { listed.group, *listed.rank, shape, settings, initial->version(), std::move(*agent), {}, std::move(transport) });
    m_part->maps.add(*initial);
    m_part->addresses.resize(shape.ranks);
    EngineOrders::Hooks hooks;
    hooks.onAnswered = [this](const rank::EngineAnswered& answered) { onRankEvent(answered); };
    hooks.onLost = [this] { onRankEvent(rank::EngineLost {}); };
    m_part->engine = std::make_unique<EngineOrders>(m_ioContext, m_options.engine, std::move(hooks));
    learnAddresses();
    m_part->stepSeenAt = Clock::now();
    carryOut(m_part->agent.start(m_part->stepSeenAt));
    if (m_part->rank == RankIndex(0)) {
        m_part->planning = std::make_unique<MapPlanning>(m_ioContext, m_options.engine, [this](const PlannedMap& planned) { onPlanned(planned); });
        startCoordinator();
    }
    tick();
}

void MapControl::learnAddresses()
{
    for (auto& member : m_view->members) {
        auto& listed = *member.listed;
        if (listed.group != m_part->group || !listed.rank || listed.rank->value() >= m_part->addresses.size())
            continue;
        auto endpoint = process::parseEndpoint(listed.address.value());
        if (endpoint)
            m_part->addresses[listed.rank->value()] = GroupTransport::Endpoint(endpoint->address(), endpoint->port());
    }
}

void MapControl::startCoordinator()
{
    Coordinator::Options options;
    options.incarnation = m_options.incarnation;
    options.ranks = m_part->shape.ranks;
    options.initial = m_part->initial;
    m_part->coordinatorDueAt.reset();
    m_part->coordinator = Coordinator::create(options).value();
    if (m_part->wanted)
        onCoordinatorEvent(coordination::MapWanted { *m_part->wanted });
    else
        onCoordinatorEvent(coordination::Ticked {});
}

void MapControl::onRankEvent(const rank::Event& event)
{
    if (m_isStopped)
        return;
    auto before = m_part->agent.status();
    auto effects = m_part->agent.apply(Clock::now(), event);
    logAdmission(before);
    carryOut(effects);
}

void MapControl::onCoordinatorEvent(const coordination::Event& event)
{
    if (m_isStopped || !m_part->coordinator)
        return;
    carryOut(m_part->coordinator->apply(Clock::now(), event));
}

void MapControl::carryOut(const rank::Effects& effects)
{
    for (auto& effect : effects)
        std::visit([this](auto& it) { perform(it); }, effect);
}

void MapControl::carryOut(const coordination::Effects& effects)
{
    for (auto& effect : effects)
        std::visit([this](auto& it) { perform(it); }, effect);
}

void MapControl::perform(const rank::WriteEngine& effect)
{
    auto* stage = std::get_if<StageMap>(&effect.order.order);
    if (!stage) {
        m_part->engine->write(effect.order, nullptr);
        return;
    }
    auto* map = m_part->maps.find(stage->version);
    if (map) {
        m_part->engine->write(effect.order, map);
        return;
    }
    // The content isn't here yet. The engine is read in place of the order; the coordinator repeats the order until the
    // engine shows the map.
    fetchMap(stage->version);
    m_part->engine->write({ effect.order.id, effect.order.fence, ReadStatus {} }, nullptr);
}

void MapControl::perform(const rank::SendReport& effect)
{
    auto it = m_part->holders.find(effect.to);
    if (it != m_part->holders.end())
        m_part->transport->send(it->second, effect.report);
}

void MapControl::perform(const rank::SendHello& effect)
{
    sendToRank(RankIndex(0), effect.hello);
}

void MapControl::perform(const rank::OrderRefused& effect)
{
    log::write(log::Event::RankOrderRefused, "group={} rank={} order={} fence={} promised={}", m_part->group.value(), m_part->rank.value(),
        nameOf(effect.order.order), effect.order.fence.counter, m_part->agent.promised().counter);
}

void MapControl::perform(const coordination::SendOrder& effect)
{
    sendToRank(effect.order.rank, effect.order);
}

void MapControl::perform(const coordination::ChangeFinished& effect)
{
    log::write(log::Event::MapChangeFinished, "group={} version={:016x} step={}", m_part->group.value(), effect.point.version.value(), effect.point.step.value());
}

void MapControl::perform(const coordination::ChangePostponed& effect)
{
    log::write(log::Event::MapChangePostponed, "group={} version={:016x} step={}", m_part->group.value(), effect.point.version.value(), effect.point.step.value());
}

void MapControl::perform(const coordination::SteppedDown& effect)
{
    log::write(log::Event::CoordinatorSteppedDown, "group={} newer={}", m_part->group.value(), effect.newer.counter);
    m_part->coordinatorDueAt = Clock::now() + newCoordinatorAfter;
}

void MapControl::sendToRank(RankIndex rank, const GroupMessage& message)
{
    auto& address = m_part->addresses[rank.value()];
    if (address)
        m_part->transport->send(*address, message);
}

void MapControl::onMessage(const GroupTransport::Endpoint& from, const GroupMessage& message)
{
    if (auto* order = std::get_if<RankOrder>(&message)) {
        if (m_part->holders.size() >= mostHolders)
            m_part->holders.clear();
        m_part->holders[order->fence.holder] = from;
        onRankEvent(rank::OrderArrived { *order });
    } else if (auto* report = std::get_if<RankReport>(&message))
        onCoordinatorEvent(coordination::ReportArrived { *report });
    else if (auto* hello = std::get_if<RankHello>(&message))
        onCoordinatorEvent(coordination::HelloArrived { *hello });
    else if (auto* wanted = std::get_if<MapWantedFrom>(&message)) {
        if (auto* map = m_part->maps.find(wanted->version))
            m_part->transport->send(from, *map);
    } else if (auto* map = std::get_if<ExpertMap>(&message)) {
        if (map->shape() == m_part->shape)
            m_part->maps.add(*map);
    }
}

/// Asks one rank after the other, from rank 0 on: any that holds the map will do, as its version is its digest.
void MapControl::fetchMap(MapVersion version)
{
    sendToRank(RankIndex(m_part->fetchedFrom), MapWantedFrom { version });
    m_part->fetchedFrom = (m_part->fetchedFrom + 1) % m_part->shape.ranks;
}

void MapControl::onPlanned(const PlannedMap& planned)
{
    if (m_isStopped)
        return;
    m_part->maps.add(planned.map);
    m_part->wanted = planned.map.version();
    log::write(log::Event::MapChangeWanted, "group={} version={:016x} experts={} bytes={}", m_part->group.value(), m_part->wanted->value(), planned.experts,
        planned.bytes.value());
    onCoordinatorEvent(coordination::MapWanted { *m_part->wanted });
}

void MapControl::tick()
{
    if (m_isStopped)
        return;
    auto now = Clock::now();
    onRankEvent(rank::Ticked {});
    if (m_part->coordinatorDueAt && now >= *m_part->coordinatorDueAt)
        startCoordinator();
    onCoordinatorEvent(coordination::Ticked {});
    if (m_part->coordinator) {
        followPlanning();
        logHold(now);
    }
    bool isIdle = !m_part->agent.isWaiting() && (!m_part->coordinator || m_part->coordinator->phase() == CoordinatorPhase::Idle);
    m_timer.expires_at(now + (isIdle ? idleTick : busyTick));
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            tick();
    });
}

/// Plans go from the map that the engines show, so a planner begins only when that is known and held.
void MapControl::followPlanning()
{
    bool isIdle = m_part->coordinator->phase() == CoordinatorPhase::Idle;
    m_part->planning->setMayPlan(isIdle);
    auto& status = m_part->agent.status();
    if (m_part->planning->isActive() || !isIdle || !status)
        return;
    auto* current = m_part->maps.find(status->current);
    if (!current)
        fetchMap(status->current);
    else if (auto error = m_part->planning->begin(m_part->settings, *current))
        m_problem = error->message;
    else
        m_problem.clear();
}

void MapControl::logAdmission(const std::optional<EngineStatus>& before)
{
    auto& status = m_part->agent.status();
    if (before && status && !before->isAdmitted && status->isAdmitted && before->engine == status->engine)
        log::write(log::Event::EngineAdmitted, "group={} rank={} version={:016x}", m_part->group.value(), m_part->rank.value(), status->current.value());
}

void MapControl::logHold(TimePoint now)
{
    auto& status = m_part->agent.status();
    auto step = status ? status->entered : m_part->stepSeen;
    // Loading beside the steps holds nothing, and rank 0 is not read while other ranks load.
    auto phase = m_part->coordinator->phase();
    bool mayHold = phase != CoordinatorPhase::Idle && phase != CoordinatorPhase::Staging;
    if (step != m_part->stepSeen || !mayHold) {
        m_part->stepSeen = step;
        m_part->stepSeenAt = now;
        return;
    }
    if (!m_part->isHeld(now) || now < m_part->holdLoggedAt + holdLoggedEvery)
        return;
    m_part->holdLoggedAt = now;
    log::write(log::Event::GroupHeld, "group={} phase={} step={} silent-ranks={}", m_part->group.value(), toString(m_part->coordinator->phase()), step.value(),
        fmt::join(m_part->silentRanks(now), ","));
}

} // namespace swiftloft::agent
