#include "src/agent/background-planner.h"

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

/// Load reports per half-life of the fast average, as far as the interval's limits allow.
constexpr int reportsPerHalfLife = 4;
constexpr milliseconds minReportInterval { 50 };
constexpr milliseconds maxReportInterval { 30'000 };
constexpr milliseconds responseTimeout { 1500 };
constexpr int slowToFastHalfLifeRatio = 8;
/// Maximum number of consecutive plans after one load report. Each plan is limited to a number of predictions, and the
/// next plan continues where the last one stopped.
constexpr int maxPlansPerReport = 40;

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
    options.estimate.slowHalfLife = options.estimate.fastHalfLife * slowToFastHalfLifeRatio;
    return options;
}

struct PlanningResult {
    std::optional<PlannedMap> planned;
};

PlanningResult planNextMap(expertmap::Planner& planner, TimePoint now, std::uint32_t minute)
{
    PlanningResult result;
    for (int n = 0; n < maxPlansPerReport; ++n) {
        auto plan = planner.plan(now, minute);
        if (plan.reason != expertmap::PlanReason::Moved)
            break;
        auto experts = plan.moves.size() + (result.planned ? result.planned->movedExperts : 0);
        auto bytes = Bytes(plan.bytes.value() + (result.planned ? result.planned->movedBytes.value() : 0));
        result.planned = PlannedMap { *plan.map, experts, bytes };
    }
    return result;
}

} // namespace

BackgroundPlanner::BackgroundPlanner(asio::io_context& ioContext, asio::ip::tcp::endpoint engine, OnPlanned onPlanned)
    : m_ioContext(ioContext)
    , m_engine(std::move(engine))
    , m_onPlanned(std::move(onPlanned))
    , m_timer(ioContext)
{
}

BackgroundPlanner::~BackgroundPlanner()
{
    m_pool.join();
}

std::optional<Error> BackgroundPlanner::start(const settings::GroupSettings& settings, const expertmap::ExpertMap& current)
{
    m_planner.reset();
    auto planner = expertmap::Planner::create(plannerOptions(settings), current);
    if (!planner)
        return planner.error();
    m_planner = std::make_shared<expertmap::Planner>(std::move(*planner));
    m_quietHours = settings.quietHours;
    auto halfLife = std::chrono::duration_cast<milliseconds>(settings.loadHalfLife);
    m_reportInterval = std::clamp(halfLife / reportsPerHalfLife, minReportInterval, maxReportInterval);
    m_lastTotals.clear();
    if (!std::exchange(m_isPolling, true))
        co_spawn(m_ioContext, poll(), asio::detached);
    return std::nullopt;
}

void BackgroundPlanner::stop()
{
    m_planner.reset();
}

asio::awaitable<void> BackgroundPlanner::poll()
{
    for (;;) {
        auto dueAt = Clock::now() + m_reportInterval;
        if (m_planner)
            observe(co_await readTokens());
        m_timer.expires_at(dueAt);
        boost::system::error_code ec;
        co_await m_timer.async_wait(asio::redirect_error(use_awaitable, ec));
    }
}

/// Returns the engine's token counts since its start, by layer and expert; empty when the engine doesn't report them.
asio::awaitable<std::vector<double>> BackgroundPlanner::readTokens()
{
    try {
        auto body = co_await process::fetchPage(m_ioContext, m_engine, "/map/load", Clock::now() + responseTimeout);
        co_return boost::json::value_to<std::vector<double>>(boost::json::parse(body).at("tokens"));
    } catch (const std::exception&) {
        co_return std::vector<double> {};
    }
}

void BackgroundPlanner::observe(std::vector<double> totals)
{
    if (!m_planner || totals.empty() || m_isPlanning)
        return;
    auto lastTotals = std::exchange(m_lastTotals, totals);
    // A count that has decreased comes from a new incarnation of the engine. The next report is relative to it.
    bool isContinuous = lastTotals.size() == totals.size() && std::equal(lastTotals.begin(), lastTotals.end(), totals.begin(), std::less_equal<>());
    if (!isContinuous || lastTotals == totals)
        return;
    std::transform(totals.begin(), totals.end(), lastTotals.begin(), totals.begin(), std::minus<>());
    plan(std::move(totals));
}

void BackgroundPlanner::plan(std::vector<double> tokens)
{
    m_isPlanning = true;
    auto minute = minuteOfDay(m_quietHours.utcOffset);
    asio::post(m_pool, [this, planner = m_planner, mayPlan = m_mayPlan, minute, tokens = std::move(tokens)] {
        auto now = Clock::now();
        PlanningResult result;
        if (!planner->observe(now, tokens) && mayPlan)
            result = planNextMap(*planner, now, minute);
        asio::post(m_ioContext, [this, planner, result] {
            m_isPlanning = false;
            // If the settings have changed meanwhile, the plan was made with the old settings and is dropped.
            if (planner == m_planner && result.planned)
                m_onPlanned(*result.planned);
        });
    });
}

} // namespace swiftloft::agent
