#include "src/agent/rank-daemon.h"

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

/// The engine is read this often: demand shifts every few seconds, and until the map has followed every step is slower.
constexpr milliseconds lookEvery { 50 };
constexpr milliseconds answerWithin { 60 };
/// Counts sent to rank 0 in a second at most, of two bytes each: what control may send is 25 KB a second.
constexpr std::uint32_t countsPerSecond = 12000;
/// Ranks whose counts rank 0 gets at that rate; all ranks of a group are asked for the same experts, and those of twelve
/// tell as much. Those of more would fill its link, and orders and reports would wait behind them.
constexpr std::uint32_t ranksThatCount = 12;
/// The others tell only which experts they hold, a tenth of the bytes: when their map has changed, as rank 0 plans when it
/// knows all, and this often, as datagrams get lost.
constexpr milliseconds heldToldEvery { 500 };
/// Entries are told of the engine this often while it is well, and when it is slow or its group takes no requests: that
/// counts for 1.2 s only.
constexpr milliseconds tellEntriesEvery { 1400 };
constexpr milliseconds tellDegradedEvery { 400 };
/// A change of pace by this part is told at once.
constexpr double paceChangeTold { 0.15 };
/// An entry that has sent no brief for this long is not told any more.
constexpr milliseconds entryFor { 5000 };
/// A rank that loads weights answers when it has them, or after this long: well below the time after which its agent holds
/// the engine for lost.
constexpr milliseconds stagedWithin { 120 };
/// Pause between two looks at an engine that loads weights; copies take tens of milliseconds.
constexpr milliseconds stagedLookEvery { 12 };
/// Steps between the newest known one and the switch while it is not known how long steps take.
constexpr std::uint64_t leadSteps = 2;
/// Time from the choice of the switch step until all ranks are armed: two exchanges with an engine and one between
/// agents, with the pause after the neighbour's hold.
constexpr milliseconds leadTime { 85 };
constexpr std::uint64_t maxLeadSteps = 64;

/// Orders that rank 0 sends in a second at most while it waits: each is answered, and both ways together they may take a
/// third of a link of 6 Mbit/s. A link that is full of questions loses the orders.
constexpr std::uint32_t ordersPerSecond = 600;

/// The pause between two orders to one rank of a group of this size; `least` in a small one.
milliseconds pauseBetweenOrders(std::uint32_t ranks, milliseconds least)
{
    constexpr std::uint32_t msPerSecond = 1000;
    return std::max(least, milliseconds(ranks * msPerSecond / ordersPerSecond));
}

Coordinator::Options coordinationOf(std::uint32_t ranks)
{
    Coordinator::Options options;
    options.initial = MapVersion(0);
    options.stagingRanks = ranks;
    options.leadSteps = leadSteps;
    options.maxLeadSteps = maxLeadSteps;
    options.leadTime = leadTime;
    options.retryAfter = pauseBetweenOrders(ranks, milliseconds(25));
    options.idleReadAfter = milliseconds(1000);
    options.stagePollAfter = pauseBetweenOrders(ranks, milliseconds(20));
    return options;
}

/// Experts that a rank copies in `time`; one at least.
std::uint32_t expertsWithin(milliseconds time, const gateway::EngineTraits& traits)
{
    constexpr double bitsPerByte = 8;
    constexpr double msPerSecond = 1000;
    if (traits.expertMegabytes <= 0 || traits.linkMbps <= 0)
        return 1;
    auto expertMs = traits.expertMegabytes * bitsPerByte / traits.linkMbps * msPerSecond;
    return std::max(1U, static_cast<std::uint32_t>(static_cast<double>(time.count()) / expertMs));
}

/// What a pass lasts that carries next to nothing.
Clock::duration fixedPassOf(const gateway::EngineTraits& traits)
{
    std::chrono::duration<double, std::milli> pass(traits.stepMs * traits.stepsPerPass);
    return std::chrono::duration_cast<Clock::duration>(pass);
}

/// True for every rank of a small group, and for one of so many of a large one.
bool isCounting(RankIndex rank, std::uint32_t ranks)
{
    auto stride = (ranks + ranksThatCount - 1) / ranksThatCount;
    return rank.value() % stride == 0;
}

/// The experts that a rank holds, by layer and slot.
std::vector<ExpertIndex> heldIn(const EngineCounts& counts, const MapShape& shape)
{
    std::vector<ExpertIndex> held(static_cast<std::size_t>(shape.layers) * shape.slotsPerRank, noExpert);
    for (std::size_t layer = 0; layer < counts.experts.size() && layer < shape.layers; ++layer) {
        auto& experts = counts.experts[layer];
        auto n = std::min<std::size_t>(experts.size(), shape.slotsPerRank);
        std::copy_n(experts.begin(), n, held.begin() + static_cast<std::ptrdiff_t>(layer * shape.slotsPerRank));
    }
    return held;
}

bool isPaceNews(double pace, double told)
{
    return std::abs(pace - told) > paceChangeTold * told;
}

std::uint64_t firstFence()
{
    // The agent that ran here before counted from an earlier time.
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
    , m_pages(ioContext, settings.metrics)
    , m_generator(std::random_device {}())
    , m_lastFence(firstFence())
{
    auto onNews = [this](const gateway::ControlSocket::UdpEndpoint& from, gateway::ControlMessage message) { this->onNews(from, std::move(message)); };
    m_news = gateway::ControlSocket::create(ioContext, settings.control, onNews).value();
    m_news->setOnDatagram(gateway::datagramCounter(m_metrics, "swiftloft_agent"));
    m_pages.add("/metrics", [this] { return process::StatusAnswer { 200, "text/plain; version=0.0.4", m_metrics.text() }; });
    co_spawn(ioContext, poll(), asio::detached);
}

void RankDaemon::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    endGroup();
    m_news->stop();
    m_pages.close();
}

void RankDaemon::onNews(const gateway::ControlSocket::UdpEndpoint& from, gateway::ControlMessage message)
{
    auto* brief = std::get_if<GroupBrief>(&message);
    if (!brief || m_isStopped)
        return;
    bool isNewEntry = m_entries.insert_or_assign(gateway::Endpoint(from.address(), from.port()), Clock::now()).second;
    // Failure: after a loss of power entries send requests to groups that are still forming, until they hear of them.
    if (isNewEntry)
        m_tellEntriesAt = Clock::now();
    bool isOurs = m_view && brief->group == m_view->group && brief->epoch.value() == m_view->epoch;
    if (!isOurs)
        return;
    // Briefs of several entries add up: each knows the ranks that told it of themselves.
    if (!m_brief || m_brief->epoch != brief->epoch)
        m_brief = *brief;
    if (m_member)
        learnAddresses(*brief);
    beginIfKnown();
}

void RankDaemon::learnAddresses(const GroupBrief& brief)
{
    for (auto& rank : brief.ranks) {
        m_member->setAddress(rank.rank, { rank.address.address(), m_settings.group.port() });
        // The first rank is the one that a coordinator arms first.
        bool isNeighbour = m_view->rank == RankIndex(0) && rank.rank == RankIndex(1);
        if (isNeighbour && !m_engine->hasNeighbour())
            m_engine->setNeighbour(m_makePort(m_ioContext, rank.address));
    }
}

asio::awaitable<void> RankDaemon::poll()
{
    while (!m_isStopped) {
        auto dueAt = Clock::now() + lookEvery;
        try {
            co_await look();
        } catch (const std::exception&) {
            // The engine is down, restarting or its group has ended: nothing is said of it until it answers again.
            if (m_view)
                log::write(log::Event::EngineSilent, "engine={}:{}", m_settings.engine.address().to_string(), m_settings.engine.port());
            m_view.reset();
            endGroup();
        }
        m_timer.expires_at(dueAt);
        boost::system::error_code ec;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> RankDaemon::look()
{
    auto view = co_await m_port.read(Clock::now() + answerWithin);
    onView(view);
    auto now = Clock::now();
    notePace();
    tellEntries(now);
    if (!m_member)
        co_return;
    if (!m_isOrderInProgress) {
        auto engine = m_engine;
        m_isOrderInProgress = true;
        try {
            co_await engine->mend(view);
        } catch (const std::exception&) {
            // Tried again at the next look.
        }
        m_isOrderInProgress = false;
    }
    co_await tellCounts();
    if (m_leader && m_member && m_member->coordinator())
        m_leader->tick(Clock::now(), m_member->coordinator()->phase(), m_view->step, m_view->prepared, m_generator);
}

void RankDaemon::onView(const EngineView& view)
{
    // Failure: the engine starts again under its id and forgets its fences, its counts and its map; what this agent holds
    // of it is of no use, also before the group's new epoch shows. Differences of counts would be wild, and the switch
    // that was last released would pass for one of the new life.
    bool isSame = m_view && m_view->startedAt == view.startedAt && m_view->group == view.group && m_view->epoch == view.epoch && m_view->isOpen == view.isOpen;
    m_view = view;
    if (isSame)
        return;
    log::write(log::Event::GroupSeen, "group={} epoch={} rank={} ranks={} state={} started={}", view.group.value(), view.epoch, view.rank.value(), view.ranks, view.isOpen ? "open" : "broken", view.startedAt.value());
    endGroup();
    m_brief.reset();
    m_tellEntriesAt = Clock::now();
}

MapShape RankDaemon::shapeOf(const GroupBrief& brief) const
{
    return { m_view->ranks, brief.traits.layers, brief.traits.experts, brief.traits.slotsPerRank };
}

void RankDaemon::beginIfKnown()
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
    options.coordination = coordinationOf(m_view->ranks);
    if (auto first = ExpertMap::inTurn(options.shape))
        options.first = VersionedMap { options.coordination.initial, std::move(*first) };
    GroupMember::Hooks hooks;
    hooks.writeEngine = [this](const EngineOrder& order, const ExpertMap* map) {
        co_spawn(m_ioContext, perform(order, map ? std::optional(*map) : std::nullopt), asio::detached);
    };
    hooks.onLoads = [this](const RankLoads& loads) {
        if (m_leader)
            m_leader->onLoads(loads);
    };
    hooks.onChanged = [this](const SwitchPoint&) {
        m_metrics.count("swiftloft_agent_map_changes_total", {});
        if (m_leader)
            m_leader->onChanged(Clock::now());
    };
    auto member = GroupMember::create(m_ioContext, options, std::move(hooks));
    if (!member) {
        log::write(log::Event::StartFailed, "problem=\"{}\"", member.error().message);
        return;
    }
    m_lastFence += 1;
    m_engine = std::make_shared<RankEngine>(m_port, m_view->rank, m_view->epoch, m_lastFence);
    m_engine->setOnSentAgain([this] { m_metrics.count("swiftloft_agent_orders_repeated_total", {}); });
    m_member = std::move(*member);
    learnAddresses(*m_brief);
    if (m_view->rank == RankIndex(0))
        beginLeading();
    m_member->start();
}

void RankDaemon::beginLeading()
{
    auto& shape = m_member->options().shape;
    ReplicaPlanner::Options planning;
    planning.halfLife = m_settings.loadHalfLife;
    planning.minGain = m_settings.minGain;
    planning.newPerRank = expertsWithin(m_settings.maxCopyTime, m_brief->traits);
    planning.newPerRankAndLayer = std::max(m_brief->traits.spareSlots, 1U);
    auto group = m_member->options().group.value();
    MapLeader::Hooks hooks;
    hooks.onWanted = [this, group](const VersionedMap& map, const Plan& plan) {
        log::write(log::Event::MapChangeWanted, "group={} version={:016x} experts={} gain={:.3f} imbalance={:.2f} planned={:.2f}", group, map.version.value(),
            plan.moves.size(), plan.gain, plan.imbalance, plan.plannedImbalance);
        m_metrics.count("swiftloft_agent_experts_moved_total", {}, static_cast<double>(plan.moves.size()));
        m_member->want(map);
    };
    hooks.onGivenUp = [this, group] {
        log::write(log::Event::MapChangeGivenUp, "group={} phase={}", group, toString(m_member->coordinator()->phase()));
        m_member->withdraw();
    };
    hooks.onPlanned = [this](const Plan& plan, Clock::duration took) {
        m_metrics.observe("swiftloft_agent_plan_seconds", {}, std::chrono::duration<double>(took).count());
        m_metrics.count("swiftloft_agent_plans_total", { { "outcome", plan.map ? "wanted" : "refused" } });
        m_metrics.set("swiftloft_agent_rank_imbalance", {}, plan.imbalance);
    };
    hooks.onUnplanned = [group](std::string_view reason, const std::string& detail) {
        log::write(log::Event::MapNotPlanned, "group={} reason={} {}", group, reason, detail);
    };
    m_leader.emplace(LoadPlanning(shape, ReplicaPlanner::create(shape, planning).value()), fixedPassOf(m_brief->traits), m_lastVersion, std::move(hooks));
}

void RankDaemon::endGroup()
{
    if (m_engine)
        m_lastFence = m_engine->fence();
    if (m_leader)
        m_lastVersion = m_leader->lastVersion();
    m_leader.reset();
    m_engine.reset();
    m_countsToldAt = StepNumber();
    m_heldTold.reset();
    // Its callbacks may be on the stack: it goes when they have returned.
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
            status = co_await staged(engine, stage->version, status);
    } catch (const std::exception& error) {
        m_metrics.count("swiftloft_agent_orders_lost_total", {});
        log::write(log::Event::EngineOrderLost, "order={} problem=\"{}\"", nameOf(order.order), log::problemOf(error));
    }
    m_isOrderInProgress = false;
    if (engine != m_engine || !m_member)
        co_return;
    if (status)
        m_member->onEngine(rank::EngineAnswered { order.id, *status, FencingNumber {} });
    else
        m_member->onEngine(rank::EngineLost {});
}

/// Waits until the engine has loaded the weights of `version`, so that the coordinator hears of it at once and need not ask.
asio::awaitable<std::optional<EngineStatus>> RankDaemon::staged(std::shared_ptr<RankEngine> engine, MapVersion version, std::optional<EngineStatus> status)
{
    auto until = Clock::now() + stagedWithin;
    while (status && !status->hasStaged(version) && engine->isPreparing(version) && Clock::now() < until) {
        asio::steady_timer pause(m_ioContext, Clock::now() + stagedLookEvery);
        co_await pause.async_wait(asio::use_awaitable);
        status = co_await engine->perform(ReadStatus {}, std::nullopt);
    }
    co_return status;
}

/// Counts are read at the own engine, where that is free, and sent to rank 0: read from afar they stop the group.
asio::awaitable<void> RankDaemon::tellCounts()
{
    auto now = Clock::now();
    // Also before the first step: what is counted in it then tells at once which experts are in demand.
    bool isNews = m_view && (m_heldTold != m_view->map || isPaceNews(m_view->pace, m_paceToldLeader));
    bool isDue = m_view && m_view->step != m_countsToldAt && now >= m_tellCountsAt;
    if (!m_member || (!isNews && !isDue))
        co_return;
    m_countsToldAt = m_view->step;
    auto shape = m_member->options().shape;
    bool tellsTokens = isCounting(m_view->rank, shape.ranks);
    m_tellCountsAt = now + (tellsTokens ? milliseconds(shape.layers * shape.experts * 1000 / countsPerSecond) : heldToldEvery);
    auto& read = tellsTokens ? m_port.readCounts : m_port.readHeld;
    auto counts = co_await read(Clock::now() + answerWithin);
    if (!m_member || !m_view)
        co_return;
    m_heldTold = counts.map;
    m_paceToldLeader = m_view->pace;
    RankLoads loads { m_view->rank, RankEngine::lifeOf(*m_view), m_countsToldAt, counts.map, heldIn(counts, shape), {}, m_view->pace };
    if (tellsTokens)
        std::transform(counts.tokens.begin(), counts.tokens.end(), std::back_inserter(loads.tokens), [](auto count) { return static_cast<std::uint32_t>(count); });
    m_member->sendLoads(loads);
}

void RankDaemon::notePace()
{
    m_metrics.set("swiftloft_agent_engine_pace", {}, m_view->pace);
    if (!isPaceNews(m_view->pace, m_paceLogged))
        return;
    log::write(log::Event::EnginePaceChanged, "group={} rank={} pace={:.2f} before={:.2f}", m_view->group.value(), m_view->rank.value(), m_view->pace, m_paceLogged);
    m_paceLogged = m_view->pace;
}

void RankDaemon::tellEntries(TimePoint now)
{
    if (!m_view)
        return;
    // Failure: an engine turns slow and every step of its group with it. Until the entries hear of it they go on placing
    // work there; told with the next news, they would hear of it after a second, and of its end as late.
    bool isDue = now >= m_tellEntriesAt || isPaceNews(m_view->pace, m_paceToldEntries);
    if (!isDue)
        return;
    bool isWell = m_view->isOpen && m_view->pace < gateway::slowPace;
    m_tellEntriesAt = now + (isWell ? tellEntriesEvery : tellDegradedEvery);
    m_paceToldEntries = m_view->pace;
    RankStatus news { m_settings.engine, m_view->group, gateway::GroupEpoch(m_view->epoch), m_view->rank, m_view->ranks, m_view->isOpen, m_view->pace, m_view->startedAt, m_member && m_member->knowsAllAddresses() };
    std::erase_if(m_entries, [&](auto& it) { return it.second + entryFor < now; });
    auto bytes = encode(gateway::ControlMessage(news));
    for (auto& [address, heardAt] : m_entries)
        m_news->sendEncoded(address, gateway::ControlMessageKind::Rank, bytes);
    // Until an entry has spoken, those of the settings are told: after a loss of power all begin at once, and the group
    // has no map of its own before its ranks know each other.
    if (!m_entries.empty())
        return;
    for (auto& address : m_settings.entries)
        m_news->sendEncoded(address, gateway::ControlMessageKind::Rank, bytes);
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
