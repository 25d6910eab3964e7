#include "src/gateway/placement/server-cost.h"

namespace swiftloft::gateway::placement {

namespace {

/// A server that failed recently is selected only if all others have this much more load.
constexpr double suspectCost = 1e6;
/// Puts a slow rank behind all others with capacity, and before servers that failed. Each request on a slow rank
/// lengthens every step of the whole group, so the streams of all ranks would pause for longer than clients accept.
constexpr double slowCost = 5e5;
/// Puts a cold server behind all others with capacity: it works slower until it is warm.
constexpr double coldCost = 2e5;
/// Without load reports, servers of other data centres rank behind all local servers that have capacity: only the
/// capacity of the local ones is known, and full servers reject requests.
constexpr double remoteCost = 1e5;
/// If another data centre reports its average load, each of its servers counts as having that load plus half a request,
/// because the average is less precise than the known load of single servers. Without such reports, the clients of the
/// data centre with the most clients per server are served late while other data centres have capacity.
constexpr double remoteLoadMargin = 0.5;
/// Number of prompt tokens equivalent to one more running request, if the engine's traits don't say.
constexpr double defaultTokensPerRequest = 100;
/// A running request lengthens each step until it ends; a prompt is processed once. To compare the two by the time that
/// they make later arrivals wait, the time that a running request adds to one step is counted for about this many
/// steps.
constexpr double effectiveSteps = 30;

} // namespace

double tokensPerRequest(const EngineTraits& traits)
{
    double tokensPerMs = traits.promptTokensPerSecond / 1000;
    return tokensPerMs > 0 ? effectiveSteps * traits.stepMsPerRequest * tokensPerMs : defaultTokensPerRequest;
}

double serverCost(const ServerView& server)
{
    double running = server.load.running;
    auto promptTokens = static_cast<double>(server.load.promptTokens);
    if (server.remoteLoad) {
        running += server.remoteLoad->running + remoteLoadMargin;
        promptTokens += server.remoteLoad->promptTokens;
    }
    double cost = server.isEngine ? promptTokens + server.tokensPerRequest * running : running;
    if (server.isRemote && !server.remoteLoad)
        cost += remoteCost;
    if (server.isSlow)
        cost += slowCost;
    if (server.isCold)
        cost += coldCost;
    return server.isSuspect ? cost + suspectCost : cost;
}

} // namespace swiftloft::gateway::placement
