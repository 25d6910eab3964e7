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
    /// Services with at most this many servers are compared in full; for larger ones `sampleCount` random servers are
    /// compared.
    std::size_t fullScanLimit { 16 };
    /// Number of random servers compared. With more than two, entries that have the same outdated reports all select
    /// the same few idle servers.
    std::size_t sampleCount { 2 };
    /// Weight of the newest report in the estimate of a server's load from other entries. Reports are older than the
    /// duration of most prefills, so a single report says little.
    double reportWeight { 0.3 };
    /// Throughput assumed for a server that has not reported.
    double defaultTokensPerSecond { 5000 };
    /// Servers outside the local data centre are considered when the best local wait exceeds this.
    milliseconds spillThreshold { 200 };
    /// Added to the expected time of a server in another data centre of the region, and of a server outside the region.
    milliseconds regionPenalty { 3 };
    milliseconds farPenalty { 40 };
    /// A server that has cached the prompt's prefix is selected while its expected first-byte time is at most this
    /// factor times that of the best server, plus the weighted prefill time that it saves. Bounds the load imbalance
    /// that affinity can cause.
    double affinityFactor { 1 };
    /// Weight of the saved prefill time. A weight above 1 accounts for the capacity that the saving leaves to other
    /// requests.
    double savingsWeight { 2 };
    /// A server is not ejected when this would leave less than this share of the servers active.
    double minActiveShare { 0.5 };
    ServerHealthOptions health;
    PrefixIndexOptions prefixes;
};

struct ServerDescription {
    BackendServerId id;
    DataCentreName dataCentre;
    RegionName region;
};

/// Load reported by an agent. Reports lag: `sampledAt` is the time of receipt minus the age stated in the report.
struct LoadReport {
    TimePoint sampledAt;
    /// Work that the agent has accepted from all entries and not completed.
    Tokens pending;
    /// Zero when unknown.
    double tokensPerSecond { 0 };
};

struct RouteRequest {
    /// Hashes from `prefixBlocks()`; may be empty.
    std::span<const BlockHash> prefix;
    Tokens promptTokens;
    Tokens expectedOutput;
    bool isRepeatable { false };
    /// Servers at which this request has been attempted.
    std::span<const ServerHandle> triedServers;
};

enum class RouteReason {
    LeastWait,
    PrefixCached,
    /// No server of the local data centre was good enough.
    Spilled,
    /// The request probes an ejected server.
    Probe,
};

std::string_view toString(RouteReason reason);

struct RouteChoice {
    ServerHandle server;
    RouteReason reason { RouteReason::LeastWait };
    /// Work that `onStart` adds to the server's load. `onFirstByte` removes the prompt, `onFinish` and `onFailure` the
    /// rest.
    Tokens chargedPrompt;
    Tokens chargedOutput;
    microseconds expectedFirstByte { 0 };
    std::size_t cachedBlocks { 0 };
};

enum class ServerState {
    Active,
    Ejected,
    /// The server is leaving and gets no new requests.
    Leaving,
};

std::string_view toString(ServerState state);

/// One row of `Router::explain()`; the best server comes first.
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

/// Selects the backend server for each request of one service at one entry.
///
/// The expected wait of a server is the pending work divided by the server's throughput, times its observed slow
/// factor. The pending work is this entry's own work, which is known exactly, plus an estimate of the work of other
/// entries: the smoothed difference between the reported work and this entry's own work at the sample time of the
/// report. The cost of a selection does not grow with the number of servers, because a fixed number of servers is
/// sampled. Sampling also prevents entries with the same outdated reports from all selecting the same server.
class Router {
public:
    static Result<Router> create(RouterOptions options);
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;
    ~Router();

    /// Adds a server, or returns its existing handle.
    ServerHandle add(const ServerDescription& description);
    void remove(ServerHandle server);
    void markLeaving(ServerHandle server);
    std::optional<ServerHandle> find(const BackendServerId& id) const;
    /// Returns null for a removed server.
    const BackendServerId* idOf(ServerHandle server) const;
    std::size_t size() const;

    /// Returns `nullopt` when no server may get new work.
    std::optional<RouteChoice> choose(const RouteRequest& request, TimePoint now, Generator& generator) const;
    /// The request was sent to the chosen server.
    void onStart(const RouteChoice& choice, const RouteRequest& request, TimePoint now);
    /// The first byte of the response has arrived. Removes the prompt from the charge in `choice`, which is passed to
    /// `onFinish` or `onFailure` later.
    void onFirstByte(RouteChoice& choice, microseconds observed, TimePoint now);
    /// Reports the mean time between tokens over a part of one response.
    void onTokenGap(ServerHandle server, microseconds gap, TimePoint now);
    void onFinish(const RouteChoice& choice, TimePoint now);
    void onFailure(const RouteChoice& choice, FailureKind kind, TimePoint now);

    void onReport(ServerHandle server, const LoadReport& report);
    void onCacheEvicted(ServerHandle server, BlockHash block);
    /// The server's cache events have a gap, or the server has restarted, so its cache contents are unknown.
    void onCacheLost(ServerHandle server);

    /// Lists all servers with the values that a selection would use. Linear in the number of servers; for operators.
    std::vector<RouteExplanation> explain(const RouteRequest& request, TimePoint now) const;

private:
    class State;
    explicit Router(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace swiftloft::policy
