#include "src/agent/map-planning.h"

#include "src/process/fetch-page.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace swiftloft::agent {

namespace asio = boost::asio;
using asio::use_awaitable;

namespace {

/// Reports taken in one half-life of the fast average, within bounds.
constexpr int reportsInHalfLife = 4;
constexpr milliseconds leastReportGap { 50 };
constexpr milliseconds mostReportGap { 30'000 };
constexpr milliseconds answerLimit { 1500 };
constexpr int slowOverFast = 8;
/// Decisions made at once; each leaves what its bound of predictions did not reach to the next.
constexpr int mostDecisions = 40;

std::uint32_t minuteOfDay(std::chrono::minutes utcOffset)
{
    constexpr std::chrono::minutes day { 24 * 60 };
    auto local = std::chrono::duration_cast<std::chrono::minutes>(std::chrono::system_clock::now().time_since_epoch()) + utcOffset;
    return static_cast<std::uint32_t>((local % day + day).count() % day.count());
}

expertmap::Planner::Options plannerOptions(const settings::GroupSettings& settings)
{
    expertmap::Planner::Options options;
    options.skewWeight = settings.skewWeight.value();
    options.rebalanceWeight = settings.rebalanceWeight.value();
    for (auto& range : settings.quietHours.ranges)
        options.quietHours.push_back({ static_cast<std::uint32_t>(range.from.count()), static_cast<std::uint32_t>(range.to.count()) });
    options.bytesPerMinute = settings.moveBytesPerMinute;
    options.horizonSteps = static_cast<double>(settings.planningHorizonSteps);
    options.minGain = settings.minimumGain.value();
    options.estimate.fastHalfLife = std::chrono::duration_cast<milliseconds>(settings.loadHalfLife);
    options.estimate.slowHalfLife = options.estimate.fastHalfLife * slowOverFast;
    return options;
}

struct Decision {
    std::optional<PlannedMap> planned;
};

Decision decide(expertmap::Planner& planner, TimePoint now, std::uint32_t minute)
{
    Decision decision;
    for (int n = 0; n < mostDecisions; ++n) {
        auto plan = planner.plan(now, minute);
        if (plan.reason != expertmap::PlanReason::Moved)
            break;
        auto experts = plan.moves.size() + (decision.planned ? decision.planned->experts : 0);
        auto bytes = Bytes(plan.bytes.value() + (decision.planned ? decision.planned->bytes.value() : 0));
        decision.planned = PlannedMap { *plan.map, experts, bytes };
    }
    return decision;
}

} // namespace

MapPlanning::MapPlanning(asio::io_context& ioContext, asio::ip::tcp::endpoint engine, OnPlanned onPlanned)
    : m_ioContext(ioContext)
    , m_engine(std::move(engine))
    , m_onPlanned(std::move(onPlanned))
    , m_timer(ioContext)
{
}

MapPlanning::~MapPlanning()
{
    m_pool.join();
}

std::optional<Error> MapPlanning::begin(const settings::GroupSettings& settings, const expertmap::ExpertMap& current)
{
    m_planner.reset();
    auto planner = expertmap::Planner::create(plannerOptions(settings), current);
    if (!planner)
        return planner.error();
    m_planner = std::make_shared<expertmap::Planner>(std::move(*planner));
    m_quietHours = settings.quietHours;
    auto halfLife = std::chrono::duration_cast<milliseconds>(settings.loadHalfLife);
    m_reportEvery = std::clamp(halfLife / reportsInHalfLife, leastReportGap, mostReportGap);
    m_lastTotal.clear();
    if (!std::exchange(m_isPolling, true))
        co_spawn(m_ioContext, poll(), asio::detached);
    return std::nullopt;
}

void MapPlanning::stop()
{
    m_planner.reset();
}

asio::awaitable<void> MapPlanning::poll()
{
    for (;;) {
        auto dueAt = Clock::now() + m_reportEvery;
        if (m_planner)
            observe(co_await readTokens());
        m_timer.expires_at(dueAt);
        boost::system::error_code ec;
        co_await m_timer.async_wait(asio::redirect_error(use_awaitable, ec));
    }
}

/// Tokens so far by layer and expert; empty when the engine doesn't say.
asio::awaitable<std::vector<double>> MapPlanning::readTokens()
{
    try {
        auto body = co_await process::fetchPage(m_ioContext, m_engine, "/map/load", Clock::now() + answerLimit);
        co_return boost::json::value_to<std::vector<double>>(boost::json::parse(body).at("tokens"));
    } catch (const std::exception&) {
        co_return std::vector<double> {};
    }
}

void MapPlanning::observe(std::vector<double> total)
{
    if (!m_planner || total.empty() || m_isPlanning)
        return;
    auto last = std::exchange(m_lastTotal, total);
    // A count that shrank was made by a new life of the engine: the next report starts from it.
    bool isContinued = last.size() == total.size() && std::equal(last.begin(), last.end(), total.begin(), std::less_equal<>());
    if (!isContinued || last == total)
        return;
    std::transform(total.begin(), total.end(), last.begin(), total.begin(), std::minus<>());
    plan(std::move(total));
}

void MapPlanning::plan(std::vector<double> tokens)
{
    m_isPlanning = true;
    auto minute = minuteOfDay(m_quietHours.utcOffset);
    asio::post(m_pool, [this, planner = m_planner, mayPlan = m_mayPlan, minute, tokens = std::move(tokens)] {
        auto now = Clock::now();
        Decision decision;
        if (!planner->observe(now, tokens) && mayPlan)
            decision = decide(*planner, now, minute);
        asio::post(m_ioContext, [this, planner, decision] {
            m_isPlanning = false;
            // Settings changed meanwhile: the plan was made under the old ones.
            if (planner == m_planner && decision.planned)
                m_onPlanned(*decision.planned);
        });
    });
}

} // namespace swiftloft::agent
