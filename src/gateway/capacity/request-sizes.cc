#include "src/gateway/capacity/request-sizes.h"

#include <algorithm>

namespace swiftloft::gateway::capacity {

namespace {

/// Weight of one stream in the means.
constexpr double streamWeight = 0.02;

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
