#include "src/agent/map-forecast.h"

#include <algorithm>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

/// Weight of a change in the mean switch delay.
constexpr double switchDelayWeight = 0.25;
/// Loads needed for a trend. Fewer may come from one pass that was measured twice.
constexpr int minLoadsForTrend = 4;

} // namespace

MapForecast::MapForecast(const Options& options)
    : m_options(options)
{
}

void MapForecast::onPass(TimePoint now, ForecastTime passTime, ForecastTime basePassTime, double imbalance)
{
    if (imbalance <= 0)
        return;
    m_basePassTime = basePassTime;
    auto loadTime = std::max(passTime - basePassTime, ForecastTime(0));
    m_lastLoad = Load { now, loadTime.count() / imbalance };
    m_loads[m_nextIndex] = m_lastLoad;
    m_nextIndex = (m_nextIndex + 1) % maxLoads;
}

void MapForecast::onChangeFinished(ForecastTime took, std::uint32_t copiesPerRank)
{
    auto delay = std::max(took - copiesPerRank * m_options.copyTimePerExpert, ForecastTime(0));
    m_switchDelay += (delay - m_switchDelay) * switchDelayWeight;
}

/// Returns the mean load over the time that demand is expected to last, relative to the load seen last. Fits a line to
/// the loads seen.
double MapForecast::loadChange(TimePoint now) const
{
    double count = 0;
    double sumTime = 0;
    double sumLoad = 0;
    double sumTimeLoad = 0;
    double sumSquares = 0;
    for (auto& load : m_loads) {
        if (!load || load->seenAt + trendTime < now)
            continue;
        auto age = ForecastTime(load->seenAt - now).count();
        count += 1;
        sumTime += age;
        sumLoad += load->seconds;
        sumTimeLoad += age * load->seconds;
        sumSquares += age * age;
    }
    double spread = count * sumSquares - sumTime * sumTime;
    bool hasTrend = count >= minLoadsForTrend && spread > 0 && m_lastLoad->seconds > 0;
    if (!hasTrend)
        return 1;
    double slope = (count * sumTimeLoad - sumTime * sumLoad) / spread;
    // The mean load over a time is the load in its middle.
    double change = 1 + slope * m_lifetime.remaining(now).count() / 2 / m_lastLoad->seconds;
    return std::clamp(change, minLoadChange, maxLoadChange);
}

ForecastTime MapForecast::passTime(TimePoint now, double imbalance) const
{
    // While no pass has been measured, all of it is taken to depend on the load.
    if (!m_lastLoad)
        return ForecastTime(imbalance);
    return m_basePassTime + ForecastTime(m_lastLoad->seconds * loadChange(now) * imbalance);
}

CopyStage MapForecast::stageOf(TimePoint now, const Plan& plan) const
{
    return { passTime(now, plan.plannedImbalance), plan.copiesPerRank, static_cast<double>(plan.moves.size()) * m_options.gigabytesPerExpert };
}

CopyCosts MapForecast::costs() const
{
    return { m_options.copyTimePerExpert, copySlowdown, m_switchDelay, m_options.pricePerGigabyte };
}

std::optional<CopyChoice> MapForecast::choose(TimePoint now, const std::vector<Plan>& plans) const
{
    if (plans.empty())
        return std::nullopt;
    std::vector<CopyStage> stages { { passTime(now, plans.front().imbalance) } };
    for (auto& plan : plans)
        stages.push_back(stageOf(now, plan));
    return chooseCopies(stages, costs(), m_lifetime.remaining(now));
}

} // namespace swiftloft::agent
