#pragma once

#include "src/gateway/control-message.h"
#include "src/gateway/peer-loads.h"

#include <optional>

/// Decides which backend server runs a request, by what the request costs there.
namespace swiftloft::gateway::placement {

/// What decides how long a server takes for one more request.
struct ServerView {
    /// Load that all entries known to this one put on the server.
    Load load;
    bool isEngine { false };
    /// Number of prompt tokens that cost as much time as one running request; zero for a plain server.
    double tokensPerRequest { 0 };
    /// The server is in another data centre, whose entries don't report the load of single servers to this one.
    bool isRemote { false };
    /// Average load reported by the server's data centre for all of its servers; unset while there is no report.
    std::optional<ServiceLoad> remoteLoad;
    bool isSlow { false };
    bool isCold { false };
    bool isSuspect { false };
};

/// Prompt tokens that cost an engine as much time as one more running request.
double tokensPerRequest(const EngineTraits& traits);

/// Cost of sending one more request to the server. Comparable between the servers of one service: prompt tokens for an
/// engine, requests for a plain server.
double serverCost(const ServerView& server);

} // namespace swiftloft::gateway::placement
