#include "src/gateway/capacity/request-sizes.h"

#include <algorithm>

namespace swiftloft::gateway::capacity {

namespace {

/// Weight of one stream in the means.
constexpr double streamWeight = 0.02;
/// Streams that are more than this many times as long as their clients' estimate are rare once the mean of the route is
/// added, which covers estimates of a few tokens.
constexpr double maxEstimateRatio = 2.5;
/// The same for streams without an estimate, relative to the mean of the route.
constexpr double maxMeanRatio = 4;

void moveTowards(double& mean, double value)
{
    mean += mean > 0 ? streamWeight * (value - mean) : value;
}

} // namespace

void RequestSizes::onStreamEnded(const std::string& route, unsigned events)
{
    if (events == 0)
        return;
    moveTowards(m_mean, events);
    auto it = m_meanByRoute.find(route);
    if (it != m_meanByRoute.end())
        moveTowards(it->second, events);
    else if (m_meanByRoute.size() < maxRoutes)
        m_meanByRoute.emplace(route, events);
}

double RequestSizes::meanOf(const std::string& route) const
{
    auto it = m_meanByRoute.find(route);
    return it != m_meanByRoute.end() ? it->second : m_mean;
}

std::optional<double> RequestSizes::maxEvents(const std::string& route, const AnswerSize& size, double tokensPerEvent) const
{
    std::optional<double> events;
    if (size.outputTokens.value() > 0)
        events = static_cast<double>(size.outputTokens.value()) / tokensPerEvent;
    double mean = meanOf(route);
    if (mean <= 0)
        return events;
    auto likely = size.expectedTokens ? maxEstimateRatio * static_cast<double>(size.expectedTokens->value()) / tokensPerEvent + mean : maxMeanRatio * mean;
    return std::min(events.value_or(likely), likely);
}

double RequestSizes::expectedEvents(const std::string& route, const AnswerSize& size, double tokensPerEvent) const
{
    double mean = meanOf(route);
    double events = mean;
    if (size.expectedTokens) {
        auto expected = static_cast<double>(size.expectedTokens->value()) / tokensPerEvent;
        events = mean > 0 ? (expected + mean) / 2 : expected;
    }
    if (size.outputTokens.value() > 0)
        events = std::min(events, static_cast<double>(size.outputTokens.value()) / tokensPerEvent);
    return std::max(events, 1.0);
}

} // namespace swiftloft::gateway::capacity
