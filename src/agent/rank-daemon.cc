#include "src/agent/rank-daemon.h"

#include "src/agent/map-planning-options.h"
#include "src/gateway/datagram-metrics.h"
#include "src/log/logger.h"
#include "src/log/problem.h"
#include "src/process/signals.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>

namespace swiftloft::agent {

namespace asio = boost::asio;
using namespace expertmap;
using gateway::GroupBrief;
using gateway::RankStatus;

namespace {

/// Interval between reads of the engine. Demand shifts every few seconds, and every step is slower until the group's
/// map has been adapted to the new demand.
constexpr milliseconds pollInterval { 50 };
constexpr milliseconds responseTimeout { 60 };
/// Maximum number of counts sent to rank 0 per second, of two bytes each. Control traffic may use 25 KB per second.
constexpr std::uint32_t maxCountsPerSecond = 12000;
/// Maximum number of ranks that send their counts to rank 0 at that rate. The requests of all ranks of a group use the
/// same experts, so the counts of twelve ranks are representative. The counts of more ranks would fill the link of rank
/// 0, and orders and reports would queue behind them.
constexpr std::uint32_t maxCountingRanks = 12;
/// Interval at which the other ranks report only the experts that they hold, which takes a tenth of the bytes. They
/// also report when their map has changed, because rank 0 plans only when it knows the map of every rank. The
/// repetition at this interval makes up for lost datagrams.
constexpr milliseconds heldReportInterval { 500 };
/// Intervals between status reports to the entries: the first while the engine is healthy, the second while the engine
/// is slow or its group takes no requests. Entries use a degraded report for 1.2 s only.
constexpr milliseconds statusInterval { 1400 };
constexpr milliseconds degradedStatusInterval { 400 };
/// A relative change of pace (the engine's slowness relative to normal) above this is reported immediately.
constexpr double minPaceChange { 0.15 };
/// An entry that has sent no brief for this long receives no further reports.
constexpr milliseconds entryLifetime { 5000 };
/// A rank that loads weights responds when they are loaded, or after this time: well below the time after which its
/// agent considers the engine lost.
constexpr milliseconds stagingResponseTimeout { 120 };
/// Interval between reads of an engine that loads weights. Copies take tens of milliseconds.
constexpr milliseconds stagingPollInterval { 12 };
/// Steps between the newest known step and the switch while the duration of steps is unknown.
constexpr std::uint64_t leadSteps = 2;
/// Time from the choice of the switch step until all ranks are armed. It covers two exchanges of messages with an
/// engine, one between agents, and the delay after the neighbour's hold.
constexpr milliseconds leadTime { 85 };
constexpr std::uint64_t maxLeadSteps = 64;

/// Maximum number of orders that rank 0 sends per second while it waits. Each order is answered, and both directions
/// together may take a third of a link of 6 Mbit/s. A link that is full of status queries loses the orders.
constexpr std::uint32_t maxOrdersPerSecond = 600;

/// Interval between two orders to one rank of a group of this size; `minInterval` in a small group.
milliseconds orderInterval(std::uint32_t ranks, milliseconds minInterval)
{
    constexpr std::uint32_t msPerSecond = 1000;
    return std::max(minInterval, milliseconds(ranks * msPerSecond / maxOrdersPerSecond));
}

Coordinator::Options coordinatorOptions(std::uint32_t ranks)
{
    Coordinator::Options options;
    options.initial = MapVersion(0);
    options.maxStagingRanks = ranks;
    options.leadSteps = leadSteps;
    options.maxLeadSteps = maxLeadSteps;
    options.leadTime = leadTime;
    options.retryInterval = orderInterval(ranks, milliseconds(25));
    options.idleReadInterval = milliseconds(1000);
    options.stagePollInterval = orderInterval(ranks, milliseconds(20));
    return options;
}

/// Returns true if the rank reports token counts: every rank of a small group, and one rank per stride in a large
/// group.
bool isCountingRank(RankIndex rank, std::uint32_t ranks)
{
    auto stride = (ranks + maxCountingRanks - 1) / maxCountingRanks;
    return rank.value() % stride == 0;
}

/// Experts that a rank holds, by layer and slot.
std::vector<ExpertIndex> heldExperts(const EngineCounts& counts, const MapShape& shape)
{
    std::vector<ExpertIndex> held(static_cast<std::size_t>(shape.layers) * shape.slotsPerRank, noExpert);
    for (std::size_t layer = 0; layer < counts.experts.size() && layer < shape.layers; ++layer) {
        auto& experts = counts.experts[layer];
        auto n = std::min<std::size_t>(experts.size(), shape.slotsPerRank);
        std::copy_n(experts.begin(), n, held.begin() + static_cast<std::ptrdiff_t>(layer * shape.slotsPerRank));
    }
    return held;
}

bool hasPaceChanged(double pace, double reported)
{
    return std::abs(pace - reported) > minPaceChange * reported;
}

std::uint64_t initialFence()
{
    // The wall clock puts this fence above those of the previous agent in this slot, which counted from an earlier
    // time.
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

RankDaemon::RankDaemon(asio::io_context& ioContext, const gateway::AgentSettings& settings, EnginePortFactory makePort, Incarnation incarnation)
    : m_ioContext(ioContext)
    , m_settings(settings)
    , m_makePort(std::move(makePort))
    , m_port(m_makePort(ioContext, settings.engine))
    , m_incarnation(incarnation)
    , m_timer(ioContext)
    , m_statusServer(ioContext, settings.metrics)
    , m_generator(std::random_device {}())
    , m_lastFence(initialFence())
{
    auto onControlMessage = [this](const gateway::ControlSocket::UdpEndpoint& from, gateway::ControlMessage message) { this->onControlMessage(from, std::move(message)); };
    m_controlSocket = gateway::ControlSocket::create(ioContext, settings.control, onControlMessage).value();
    m_controlSocket->setOnDatagram(gateway::datagramCounter(m_metrics, "swiftloft_agent"));
    m_statusServer.add("/metrics", [this] { return process::StatusAnswer { 200, "text/plain; version=0.0.4", m_metrics.text() }; });
    co_spawn(ioContext, poll(), asio::detached);
}

void RankDaemon::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    stopMember();
    m_controlSocket->stop();
    m_statusServer.close();
}

void RankDaemon::onControlMessage(const gateway::ControlSocket::UdpEndpoint& from, gateway::ControlMessage message)
{
    auto* brief = std::get_if<GroupBrief>(&message);
    if (!brief || m_isStopped)
        return;
    bool isNewEntry = m_entries.insert_or_assign(gateway::Endpoint(from.address(), from.port()), Clock::now()).second;
    // After a power loss, entries send requests to groups that are still forming until they receive the status of these
    // groups.
    if (isNewEntry)
        m_nextStatusAt = Clock::now();
    bool isOurs = m_view && brief->group == m_view->group && brief->epoch.value() == m_view->epoch;
    if (!isOurs)
        return;
    // The briefs of several entries are merged, because each entry knows only the ranks that have reported to it.
    if (!m_brief || m_brief->epoch != brief->epoch)
        m_brief = *brief;
    if (m_member)
        updateAddresses(*brief);
    startMemberIfReady();
}

void RankDaemon::updateAddresses(const GroupBrief& brief)
{
    for (auto& rank : brief.ranks) {
        m_member->setAddress(rank.rank, { rank.address.address(), m_settings.group.port() });
        // Only rank 0 needs a neighbour, because the coordinator arms rank 0 first.
        bool isNeighbour = m_view->rank == RankIndex(0) && rank.rank == RankIndex(1);
        if (isNeighbour && !m_engine->hasNeighbour())
            m_engine->setNeighbour(m_makePort(m_ioContext, rank.address));
    }
}

asio::awaitable<void> RankDaemon::poll()
{
    while (!m_isStopped) {
        auto dueAt = Clock::now() + pollInterval;
        try {
            co_await pollOnce();
        } catch (const boost::system::system_error& error) {
            onEngineSilent();
            if (error.code() == asio::error::connection_refused)
                reportEngineEnd(Clock::now());
        } catch (const std::exception&) {
            onEngineSilent();
        }
        m_timer.expires_at(dueAt);
        boost::system::error_code ec;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

/// The engine is down or restarting, or its group has ended. Its status is not reported until it responds again, unless
/// its process has ended.
void RankDaemon::onEngineSilent()
{
    if (m_view) {
        log::write(log::Event::EngineSilent, "engine={}:{}", m_settings.engine.address().to_string(), m_settings.engine.port());
        m_lastView = m_view;
        m_nextStatusAt = Clock::now();
    }
    m_view.reset();
    stopMember();
}

void RankDaemon::reportEngineEnd(TimePoint now)
{
    if (!m_lastView || now < m_nextStatusAt)
        return;
    m_nextStatusAt = now + degradedStatusInterval;
    RankStatus status { m_settings.engine, m_lastView->group, gateway::GroupEpoch(m_lastView->epoch), m_lastView->rank, m_lastView->ranks, false, m_lastView->pace, m_lastView->startedAt };
    status.hasEngineEnded = true;
    sendToEntries(now, status);
}

asio::awaitable<void> RankDaemon::pollOnce()
{
    auto view = co_await m_port.read(Clock::now() + responseTimeout);
    onEngineView(view);
    auto now = Clock::now();
    recordPace();
    sendStatusToEntries(now);
    if (!m_member)
        co_return;
    if (!m_isOrderInProgress) {
        auto engine = m_engine;
        m_isOrderInProgress = true;
        try {
            co_await engine->repair(view);
        } catch (const std::exception&) {
            // Retried at the next poll.
        }
        m_isOrderInProgress = false;
    }
    co_await reportLoads();
    tickMapScheduler();
}

void RankDaemon::tickMapScheduler()
{
    if (m_mapScheduler && m_view && m_member && m_member->coordinator())
        m_mapScheduler->tick(Clock::now(), m_member->coordinator()->phase(), m_view->step, m_view->prepared, m_generator);
}

void RankDaemon::onEngineView(const EngineView& view)
{
    // The engine may restart under the same id and lose its fences, its counts and its map. The state that this agent
    // keeps of the engine is then stale, even before the engine reports the group's new epoch. Differences of counts
    // would be meaningless, and the switch that was released last would be taken for one of the new incarnation.
    bool isSame = m_view && m_view->startedAt == view.startedAt && m_view->group == view.group && m_view->epoch == view.epoch && m_view->isOpen == view.isOpen;
    m_view = view;
    if (isSame)
        return;
    log::write(log::Event::GroupSeen, "group={} epoch={} rank={} ranks={} state={} started={}", view.group.value(), view.epoch, view.rank.value(), view.ranks, view.isOpen ? "open" : "broken", view.startedAt.value());
    stopMember();
    m_brief.reset();
    m_nextStatusAt = Clock::now();
}

MapShape RankDaemon::shapeOf(const GroupBrief& brief) const
{
    return { m_view->ranks, brief.traits.layers, brief.traits.experts, brief.traits.slotsPerRank };
}

void RankDaemon::startMemberIfReady()
{
    if (m_member || !m_brief || !m_view || !m_view->isOpen || m_isStopped)
        return;
    GroupMember::Options options;
    options.group = EngineGroupName(fmt::format("{}/{}", m_view->group.value(), m_view->epoch));
    options.rank = m_view->rank;
    options.shape = shapeOf(*m_brief);
    options.incarnation = m_incarnation;
    options.checksFences = true;
    options.endpoint = { m_settings.group.address(), m_settings.group.port() };
    options.coordination = coordinatorOptions(m_view->ranks);
    if (auto first = ExpertMap::roundRobin(options.shape))
        options.initialMap = VersionedMap { options.coordination.initial, std::move(*first) };
    GroupMember::Hooks hooks;
    hooks.sendToEngine = [this](const EngineOrder& order, const ExpertMap* map) {
        co_spawn(m_ioContext, perform(order, map ? std::optional(*map) : std::nullopt), asio::detached);
    };
    hooks.onLoads = [this](const RankLoads& loads) {
        if (m_mapScheduler)
            m_mapScheduler->onLoads(loads);
    };
    hooks.onMapChanged = [this](const SwitchPoint& point) {
        m_metrics.count("swiftloft_agent_map_changes_total", {});
        if (!m_mapScheduler)
            return;
        m_mapScheduler->onMapChanged(Clock::now(), point.version);
        // The next change is requested right away, because the group's link is idle. Callers of this hook are still
        // using the coordinator.
        asio::post(m_ioContext, [this] { tickMapScheduler(); });
    };
    auto member = GroupMember::create(m_ioContext, options, std::move(hooks));
    if (!member) {
        log::write(log::Event::StartFailed, "problem=\"{}\"", member.error().message);
        return;
    }
    m_lastFence += 1;
    m_engine = std::make_shared<RankEngine>(m_port, m_view->rank, m_view->epoch, m_lastFence);
    m_engine->setOnResend([this] { m_metrics.count("swiftloft_agent_orders_repeated_total", {}); });
    m_member = std::move(*member);
    updateAddresses(*m_brief);
    if (m_view->rank == RankIndex(0))
        startMapScheduler();
    m_member->start();
}

void RankDaemon::startMapScheduler()
{
    auto& shape = m_member->options().shape;
    auto options = mapPlanningOptions(m_settings, m_brief->traits);
    auto group = m_member->options().group.value();
    MapScheduler::Hooks hooks;
    hooks.onMapChangeRequested = [this, group](const VersionedMap& map, const Plan& plan, ForecastTime saved) {
        log::write(log::Event::MapChangeWanted, "group={} version={:016x} experts={} copies-per-rank={} gain={:.3f} imbalance={:.2f} planned={:.2f} saved-seconds={:.2f}", group,
            map.version.value(), plan.moves.size(), plan.copiesPerRank, plan.gain, plan.imbalance, plan.plannedImbalance, saved.count());
        m_metrics.count("swiftloft_agent_map_seconds_foreseen_total", {}, saved.count());
        m_metrics.count("swiftloft_agent_experts_moved_total", {}, static_cast<double>(plan.moves.size()));
        m_member->requestMapChange(map);
    };
    hooks.onMapChangeWithdrawn = [this, group](std::string_view reason) {
        log::write(log::Event::MapChangeGivenUp, "group={} reason={} phase={}", group, reason, toString(m_member->coordinator()->phase()));
        m_metrics.count("swiftloft_agent_map_changes_withdrawn_total", { { "reason", std::string(reason) } });
        m_member->withdrawMapChange();
    };
    hooks.onMapChangeJudged = [this, group](double planned, double seen) {
        log::write(log::Event::MapChangeJudged, "group={} planned={:.2f} seen={:.2f}", group, planned, seen);
        m_metrics.set("swiftloft_agent_planned_imbalance", {}, planned);
        m_metrics.set("swiftloft_agent_seen_imbalance", {}, seen);
    };
    hooks.onPlanned = [this](const Plan& plan, Clock::duration took) {
        m_metrics.observe("swiftloft_agent_plan_seconds", {}, std::chrono::duration<double>(took).count());
        m_metrics.count("swiftloft_agent_plans_total", { { "outcome", plan.map ? "wanted" : "refused" } });
        m_metrics.set("swiftloft_agent_rank_imbalance", {}, plan.imbalance);
    };
    hooks.onNotPlanned = [group](std::string_view reason, const std::string& detail) {
        log::write(log::Event::MapNotPlanned, "group={} reason={} {}", group, reason, detail);
    };
    auto planner = ReplicaPlanner::create(shape, options.planner);
    if (!planner) {
        hooks.onNotPlanned("invalid-configuration", fmt::format("problem=\"{}\"", planner.error().message));
        return;
    }
    m_mapScheduler.emplace(LoadCollector(shape, std::move(*planner)), options.scheduler, m_lastVersion, std::move(hooks));
}

void RankDaemon::stopMember()
{
    if (m_engine)
        m_lastFence = m_engine->fence();
    if (m_mapScheduler)
        m_lastVersion = m_mapScheduler->lastVersion();
    m_mapScheduler.reset();
    m_engine.reset();
    m_lastReportedStep = StepNumber();
    m_lastReportedMap.reset();
    // Callbacks of the member may be on the stack, so the member is destroyed after they have returned.
    if (m_member) {
        m_member->stop();
        asio::post(m_ioContext, [member = std::shared_ptr<GroupMember>(std::move(m_member))] {});
    }
}

asio::awaitable<void> RankDaemon::perform(EngineOrder order, std::optional<ExpertMap> map)
{
    auto engine = m_engine;
    if (!engine)
        co_return;
    std::optional<EngineStatus> status;
    while (m_isOrderInProgress) {
        asio::steady_timer pause(m_ioContext, Clock::now() + milliseconds(1));
        co_await pause.async_wait(asio::use_awaitable);
    }
    m_isOrderInProgress = true;
    try {
        status = co_await engine->perform(order.order, std::move(map));
        if (auto* stage = std::get_if<StageMap>(&order.order))
            status = co_await awaitStaged(engine, stage->version, status);
    } catch (const std::exception& error) {
        m_metrics.count("swiftloft_agent_orders_lost_total", {});
        log::write(log::Event::EngineOrderLost, "order={} problem=\"{}\"", nameOf(order.order), log::problemOf(error));
    }
    m_isOrderInProgress = false;
    if (engine != m_engine || !m_member)
        co_return;
    if (status)
        m_member->onEngineEvent(rank::EngineResponded { order.id, *status, FencingNumber {} });
    else
        m_member->onEngineEvent(rank::EngineDisconnected {});
}

/// Waits until the engine has loaded the weights of `version`, but no longer than `stagingResponseTimeout`. The
/// coordinator is then notified immediately and need not poll.
asio::awaitable<std::optional<EngineStatus>> RankDaemon::awaitStaged(std::shared_ptr<RankEngine> engine, MapVersion version, std::optional<EngineStatus> status)
{
    auto until = Clock::now() + stagingResponseTimeout;
    while (status && !status->hasStaged(version) && engine->isPreparing(version) && Clock::now() < until) {
        asio::steady_timer pause(m_ioContext, Clock::now() + stagingPollInterval);
        co_await pause.async_wait(asio::use_awaitable);
        status = co_await engine->perform(ReadStatus {}, std::nullopt);
    }
    co_return status;
}

/// Reads the counts of this agent's engine and sends them to rank 0. Each agent reads its own engine because local
/// reads cost the group nothing, while reads from another instance would stop the group.
asio::awaitable<void> RankDaemon::reportLoads()
{
    auto now = Clock::now();
    // Counts are also reported before the first step. The counts of the first step then show immediately which experts
    // are in demand.
    bool hasChanged = m_view && (m_lastReportedMap != m_view->map || hasPaceChanged(m_view->pace, m_paceSentToRankZero));
    bool isDue = m_view && m_view->step != m_lastReportedStep && now >= m_nextLoadReportAt;
    if (!m_member || (!hasChanged && !isDue))
        co_return;
    m_lastReportedStep = m_view->step;
    auto shape = m_member->options().shape;
    bool reportsTokens = isCountingRank(m_view->rank, shape.ranks);
    m_nextLoadReportAt = now + (reportsTokens ? milliseconds(shape.layers * shape.experts * 1000 / maxCountsPerSecond) : heldReportInterval);
    auto& read = reportsTokens ? m_port.readCounts : m_port.readHeldExperts;
    auto counts = co_await read(Clock::now() + responseTimeout);
    if (!m_member || !m_view)
        co_return;
    m_lastReportedMap = counts.map;
    m_paceSentToRankZero = m_view->pace;
    RankLoads loads { m_view->rank, RankEngine::incarnationOf(*m_view), m_lastReportedStep, counts.map, heldExperts(counts, shape), {}, m_view->pace };
    if (reportsTokens)
        std::transform(counts.tokens.begin(), counts.tokens.end(), std::back_inserter(loads.tokens), [](auto count) { return static_cast<std::uint32_t>(count); });
    m_member->sendLoads(loads);
}

void RankDaemon::recordPace()
{
    m_metrics.set("swiftloft_agent_engine_pace", {}, m_view->pace);
    if (!hasPaceChanged(m_view->pace, m_loggedPace))
        return;
    log::write(log::Event::EnginePaceChanged, "group={} rank={} pace={:.2f} before={:.2f}", m_view->group.value(), m_view->rank.value(), m_view->pace, m_loggedPace);
    m_loggedPace = m_view->pace;
}

void RankDaemon::sendStatusToEntries(TimePoint now)
{
    if (!m_view)
        return;
    // A slow engine slows every step of its group, and entries keep placing work there until they are informed. If a
    // change of pace had to wait for the next regular report, they would learn of the slowdown only after a second, and
    // of its end equally late.
    bool isDue = now >= m_nextStatusAt || hasPaceChanged(m_view->pace, m_paceSentToEntries);
    if (!isDue)
        return;
    bool isHealthy = m_view->isOpen && m_view->pace < gateway::slowPace;
    m_nextStatusAt = now + (isHealthy ? statusInterval : degradedStatusInterval);
    m_paceSentToEntries = m_view->pace;
    RankStatus status { m_settings.engine, m_view->group, gateway::GroupEpoch(m_view->epoch), m_view->rank, m_view->ranks, m_view->isOpen, m_view->pace, m_view->startedAt, m_member && m_member->hasAllAddresses() };
    if (m_mapScheduler && m_member) {
        status.imbalance = m_mapScheduler->imbalance(now);
        status.isCopying = m_member->coordinator() && m_member->coordinator()->phase() == CoordinatorPhase::Staging;
    }
    sendToEntries(now, status);
}

void RankDaemon::sendToEntries(TimePoint now, const RankStatus& status)
{
    std::erase_if(m_entries, [&](auto& it) { return it.second + entryLifetime < now; });
    auto bytes = encode(gateway::ControlMessage(status));
    for (auto& [address, receivedAt] : m_entries)
        m_controlSocket->sendEncoded(address, gateway::ControlMessageKind::Rank, bytes);
    // Until an entry has sent a brief, the report goes to the entries that the settings name. This is needed after a
    // power loss: all processes start at the same time, and the group has no map of its own before its ranks know each
    // other.
    if (!m_entries.empty())
        return;
    for (auto& address : m_settings.entries)
        m_controlSocket->sendEncoded(address, gateway::ControlMessageKind::Rank, bytes);
}

void runRankAgent(const gateway::AgentSettings& settings, const EnginePortFactory& makePort, Incarnation incarnation)
{
    asio::io_context ioContext(1);
    RankDaemon daemon(ioContext, settings, makePort, incarnation);
    process::StopSignals stop(ioContext, [&](int) {
        log::write(log::Event::ProcessStopping, "");
        daemon.stop();
        ioContext.stop();
    });
    process::HangUpSignal hangUp(ioContext, [] { log::write(log::Event::SettingsFileChanged, ""); });
    ioContext.run();
}

} // namespace swiftloft::agent
