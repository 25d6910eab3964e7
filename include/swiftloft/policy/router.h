#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/policy/prefix-index.h>
#include <swiftloft/policy/random.h>
#include <swiftloft/policy/server-handle.h>
#include <swiftloft/policy/server-health.h>

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace swiftloft::policy {

struct RouterOptions {
    DataCentreName dataCentre;
    RegionName region;
    /// Services up to this size are compared in full; larger ones by random samples of `samples` servers.
    std::size_t fullScanLimit { 16 };
    /// Two: with more, entries that hold the same old reports meet at the same few idle servers.
    std::size_t sampleCount { 2 };
    /// Weight of the newest report in a server's load by other entries. Reports are older than most prefills last, so a
    /// single one says little.
    double reportWeight { 0.3 };
    /// Speed assumed of a server that has not reported.
    double defaultTokensPerSecond { 5000 };
    /// Servers beyond the own data centre are looked at when the best wait at home exceeds this.
    milliseconds spillThreshold { 200 };
    /// Added to the expected time of a server outside the data centre, and outside the region.
    milliseconds regionPenalty { 3 };
    milliseconds farPenalty { 40 };
    /// A server that holds the prompt's prefix is taken while its expected first byte is at most this times the best
    /// server's, plus the weighted prefill it saves. Bounds the imbalance that affinity can cause.
    double affinityFactor { 1 };
    /// What one request saves is room for the others too; so it counts for more than its own time.
    double savingsWeight { 2 };
    /// Ejection stops when fewer than this share of the servers would be left.
    double minActiveShare { 0.5 };
    ServerHealthOptions health;
    PrefixIndexOptions prefixes;
};

struct ServerDescription {
    BackendServerId id;
    DataCentreName dataCentre;
    RegionName region;
};

/// An agent's account of its load. It lags: `sampledAt` is the time of receipt less the age the report states.
struct LoadReport {
    TimePoint sampledAt;
    /// Work accepted and not done, of all entries.
    Tokens pending;
    /// Zero when not known.
    double tokensPerSecond { 0 };
};

struct RouteRequest {
    /// Hashes from `prefixBlocks()`; may be empty.
    std::span<const BlockHash> prefix;
    Tokens promptTokens;
    Tokens expectedOutput;
    bool isRepeatable { false };
    /// Servers that this request has been tried at.
    std::span<const ServerHandle> triedServers;
};

enum class RouteReason {
    LeastWait,
    PrefixCached,
    /// No server of the own data centre was good enough.
    Spilled,
    /// An ejected server is tried again with this one request.
    Probe,
};

std::string_view toString(RouteReason reason);

struct RouteChoice {
    ServerHandle server;
    RouteReason reason { RouteReason::LeastWait };
    /// What `onStart` adds to the server's load: `onFirstByte` takes the prompt off, `onFinish` and `onFail` the rest.
    Tokens chargedPrompt;
    Tokens chargedOutput;
    microseconds expectedFirstByte { 0 };
    std::size_t cachedBlocks { 0 };
};

enum class ServerState {
    Active,
    Ejected,
    /// Told to go; gets nothing new.
    Leaving,
};

std::string_view toString(ServerState state);

/// One row of `Router::explain()`, best first.
struct RouteExplanation {
    BackendServerId id;
    ServerState state { ServerState::Active };
    microseconds expectedWait { 0 };
    microseconds expectedFirstByte { 0 };
    std::size_t cachedBlocks { 0 };
    double slowFactor { 1 };
    Tokens ownInFlight;
    bool isLocal { true };
};

/// Chooses the backend server for each request of one service at one entry.
///
/// The expected wait of a server is this entry's own work there, which is known exactly, and the work of other entries,
/// as the smoothed difference of the reports and the own work at their sample times; over its speed, times how slow it
/// was seen to be. Cost per choice does not grow with the number
/// of servers: a fixed number is sampled, which also keeps entries with the same lagging reports from all picking the
/// same server.
class Router {
public:
    static Result<Router> create(RouterOptions options);
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;
    ~Router();

    /// Adds a server, or returns the handle it has already.
    ServerHandle add(const ServerDescription& description);
    void remove(ServerHandle server);
    void markLeaving(ServerHandle server);
    std::optional<ServerHandle> find(const BackendServerId& id) const;
    /// Null for a removed server.
    const BackendServerId* idOf(ServerHandle server) const;
    std::size_t size() const;

    /// Nothing when no server may get new work.
    std::optional<RouteChoice> choose(const RouteRequest& request, TimePoint now, Generator& generator) const;
    /// The work was sent to the choice's server.
    void onStart(const RouteChoice& choice, const RouteRequest& request, TimePoint now);
    /// Takes the prompt out of `choice`, which goes to `onFinish` or `onFail` later.
    void onFirstByte(RouteChoice& choice, microseconds observed, TimePoint now);
    /// Mean time between tokens over a stretch of one answer.
    void onTokenGap(ServerHandle server, microseconds gap, TimePoint now);
    void onFinish(const RouteChoice& choice, TimePoint now);
    void onFailure(const RouteChoice& choice, FailureKind kind, TimePoint now);

    void onReport(ServerHandle server, const LoadReport& report);
    void onCacheEvicted(ServerHandle server, BlockHash block);
    /// The server's cache events have a gap, or it restarted: what it holds is not known.
    void onCacheLost(ServerHandle server);

    /// All servers with the figures a choice would use. Linear; for operators.
    std::vector<RouteExplanation> explain(const RouteRequest& request, TimePoint now) const;

private:
    class State;
    explicit Router(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace swiftloft::policy
