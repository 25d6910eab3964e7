#pragma once

#include <swiftloft/units.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace swiftloft::gateway::capacity {

/// What a request says of the length of its answer.
struct AnswerSize {
    /// Maximum number of output tokens; 0 if unknown.
    Tokens outputTokens {};
    /// The client's estimate; unset if it sent none.
    std::optional<Tokens> expectedTokens {};
};

/// Learns from complete streams how many events a stream of each route has. Clients' estimates are right on average
/// and often far off for one request, so that an estimate counts half and the mean of the route the other half. Bounded
/// by `maxRoutes`. Pure.
class RequestSizes {
public:
    static constexpr std::size_t maxRoutes { 1024 };

    /// A stream with this many events has ended.
    void onStreamEnded(const std::string& route, unsigned events);
    /// Expected number of events of a stream; `tokensPerEvent` is positive.
    double expectedEvents(const std::string& route, const AnswerSize& size, double tokensPerEvent) const;
    /// Mean over all streams, weighted towards the latest ones; 0 while none has ended.
    double meanEvents() const { return m_mean; }

private:
    /// 0 while no stream of any route has ended.
    double meanOf(const std::string& route) const;

    std::map<std::string, double> m_meanByRoute;
    double m_mean { 0 };
};

} // namespace swiftloft::gateway::capacity
