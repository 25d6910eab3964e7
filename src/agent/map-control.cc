#include "src/agent/map-control.h"

#include "src/log/logger.h"
#include "src/process/process-config.h"

#include <fmt/format.h>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

constexpr milliseconds planningTickInterval { 10 };

MapShape shapeOf(const settings::GroupSettings& settings)
{
    // The settings schema ensures that the number of ranks is above 0.
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
    startMemberIfReady();
    if (!m_member)
        return;
    auto settings = tree.group(m_member->options().group);
    if (!settings)
        return;
    m_groupSettings = *settings;
    // A planner keeps the weights it was started with. The next tick starts a new one with the new settings.
    if (m_backgroundPlanner)
        m_backgroundPlanner->stop();
}

void MapControl::setView(const std::shared_ptr<const membership::View>& view)
{
    m_view = view;
    startMemberIfReady();
    if (m_member)
        updateAddresses();
}

void MapControl::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_member)
        m_member->stop();
}

void MapControl::startMemberIfReady()
{
    if (m_member || m_isStopped || !m_view || !m_settings)
        return;
    auto* self = m_view->find(membership::NodeId(m_options.self));
    if (!self || self->listed->group.value().empty() || !self->listed->rank)
        return;
    auto settings = m_settings->group(self->listed->group);
    if (settings)
        startMember(*self->listed, *settings);
    else
        m_problem = settings.error().message;
}

void MapControl::startMember(const membership::ListedInstance& listed, const settings::GroupSettings& settings)
{
    auto shape = shapeOf(settings);
    auto initial = ExpertMap::contiguous(shape);
    if (!initial || listed.rank->value() >= shape.ranks) {
        m_problem = !initial ? initial.error().message : fmt::format("rank {} of the list is not below the {} ranks of the settings", listed.rank->value(), shape.ranks);
        return;
    }
    GroupMember::Options options;
    options.group = listed.group;
    options.rank = *listed.rank;
    options.shape = shape;
    options.incarnation = m_options.incarnation;
    options.checksFences = settings.checksFencing;
    options.endpoint = { m_options.rpc.address(), m_options.rpc.port() };
    options.coordination.initial = initial->version();
    GroupMember::Hooks hooks;
    hooks.sendToEngine = [this](const EngineOrder& order, const ExpertMap* map) { m_orderClient->send(order, map); };
    m_member = GroupMember::create(m_ioContext, options, std::move(hooks)).value();
    m_member->addMap({ initial->version(), *initial });
    m_groupSettings = settings;
    m_problem.clear();
    EngineOrderClient::Hooks engineHooks;
    engineHooks.onResponse = [this](const rank::EngineResponded& answered) { m_member->onEngineEvent(answered); };
    engineHooks.onDisconnected = [this] { m_member->onEngineEvent(rank::EngineDisconnected {}); };
    m_orderClient = std::make_unique<EngineOrderClient>(m_ioContext, m_options.engine, std::move(engineHooks));
    updateAddresses();
    m_member->start();
    if (*listed.rank != RankIndex(0))
        return;
    m_backgroundPlanner = std::make_unique<BackgroundPlanner>(m_ioContext, m_options.engine, [this](const PlannedMap& planned) { onPlanned(planned); });
    tick();
}

void MapControl::updateAddresses()
{
    for (auto& member : m_view->members) {
        auto& listed = *member.listed;
        if (listed.group != m_member->options().group || !listed.rank)
            continue;
        auto endpoint = process::parseEndpoint(listed.address.value());
        if (endpoint)
            m_member->setAddress(*listed.rank, GroupTransport::Endpoint(endpoint->address(), endpoint->port()));
    }
}

void MapControl::onPlanned(const PlannedMap& planned)
{
    if (m_isStopped)
        return;
    VersionedMap versionedMap { planned.map.version(), planned.map };
    log::write(log::Event::MapChangeWanted, "group={} version={:016x} experts={} bytes={}", m_member->options().group.value(), versionedMap.version.value(), planned.movedExperts,
        planned.movedBytes.value());
    m_member->requestMapChange(versionedMap);
}

void MapControl::tick()
{
    if (m_isStopped)
        return;
    updatePlanning();
    m_timer.expires_at(Clock::now() + planningTickInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            tick();
    });
}

/// A plan starts from the map that the engines report, so the planner starts only when that map is known and in the store.
void MapControl::updatePlanning()
{
    auto* coordinator = m_member->coordinator();
    bool isIdle = coordinator && coordinator->phase() == CoordinatorPhase::Idle;
    m_backgroundPlanner->setMayPlan(isIdle);
    auto& status = m_member->agent().status();
    if (m_backgroundPlanner->isActive() || !isIdle || !status)
        return;
    auto* current = m_member->findMap(status->current);
    if (!current)
        m_member->fetchMap(status->current);
    else if (auto error = m_backgroundPlanner->start(m_groupSettings, *current))
        m_problem = error->message;
    else
        m_problem.clear();
}

} // namespace swiftloft::agent
