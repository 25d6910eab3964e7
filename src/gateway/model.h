#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The direct request path: an entry forwards requests to backend servers over pooled HTTP/1.1 connections.
///
/// This header holds the types shared by the parts of the path. A `Protocol` (protocol.h) decodes wire data into them,
/// so nothing here depends on how a platform names its headers and documents.
namespace swiftloft::gateway {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// A service of a route and the share of the traffic that it gets, relative to the other weights of the route.
struct WeightedService {
    ServiceName service;
    double weight { 1 };
};

/// Matches the requests of one host whose path begins with `prefix`, and says how they are served.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// True if the response is a stream of events that are forwarded as they arrive.
    bool isStream { false };
    /// True if the request may run more than once: a safe request, or a stream that can be resumed after its last
    /// event.
    bool isIdempotent { false };
    /// True if no API key is required.
    bool isPublic { false };
    /// Maximum time until the end of the response.
    milliseconds timeout { 0 };
    /// Latency objective of the response (of the first event, for a stream); a later response does not count as fully
    /// useful.
    milliseconds objective { 0 };
    /// Maximum gap between events of a fully useful stream; zero if the gap does not matter.
    milliseconds gapObjective { 0 };
    /// 0 is the most urgent.
    unsigned priority { 0 };
    /// Number of backend servers that one request may run on.
    unsigned maximumServers { 1 };
    std::vector<WeightedService> services;
    /// Regions whose servers may get the requests; empty: any region.
    std::vector<RegionName> homes {};
};

/// An entry that is leaving and accepts all requests until `acceptsUntil`.
struct LeavingEntry {
    Endpoint clients;
    DataCentreName dataCentre;
    TimePoint acceptsUntil;
};

/// Published performance traits of a service's engines. Times are those of one engine at normal speed.
struct EngineTraits {
    std::uint32_t slots { 0 };
    /// Time of one token step, and the time that each running request adds to it.
    double stepMs { 0 };
    double stepMsPerRequest { 0 };
    /// Prompt tokens processed per second.
    double promptTokensPerSecond { 0 };
    /// Number of steps between two checks of the queue; a stream sends one event per this many steps.
    std::uint32_t stepsPerPass { 1 };
    /// Dimensions of the expert map; `layers` is zero for an engine without an expert map.
    std::uint32_t layers { 0 };
    std::uint32_t experts { 0 };
    std::uint32_t slotsPerRank { 0 };
    /// Maximum number of experts of one layer that a rank can load in one map change.
    std::uint32_t spareSlots { 0 };
    double expertMegabytes { 0 };
    double linkMbps { 0 };
};

/// Requests per second.
using RequestRate = Strong<struct RequestRateTag, double>;

struct Service {
    ServiceName name;
    std::string healthPath;
    /// Connections that one backend server of the service accepts from all callers together.
    std::uint32_t maximumConnections { 0 };
    std::optional<EngineTraits> engine;
    /// Time for which a server is cold after it has started, or after the evacuation of its data centre has ended.
    milliseconds coldTime { 0 };
    /// Requests that a cold server accepts from all entries together; unset if the service does not limit them.
    std::optional<RequestRate> coldRate {};
};

struct OrganisationKeys {
    OrganisationName name;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<unsigned> priority;
    /// Regions whose servers may get the organisation's requests; empty: any region. A route's homes bind as well.
    std::vector<RegionName> homes {};
};

/// Size and time limits for client requests.
struct ClientLimits {
    std::uint32_t maximumHeaderBytes { 16384 };
    std::uint64_t maximumBodyBytes { 4194304 };
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
};

enum class ServerState {
    Ready,
    /// Finishes its running requests and receives no new ones.
    Draining,
};

/// Start time of a backend server's process as reported by the server: Unix time in milliseconds, 0 if not reported.
/// Used only for comparison: of two processes with the same id, the one with the later start time is the live one.
using ServerStartTime = Strong<struct ServerStartTimeTag, std::uint64_t>;

/// One incarnation of a backend server: its id together with the start time of its process. State about a server is
/// keyed by incarnation, so it is dropped when the process ends.
///
/// A server that restarts under the same id has lost its state. Without the start time, the requests, failures and
/// leaving notices of the ended process would be attributed to the new one.
struct ServerIncarnation {
    BackendServerId id;
    ServerStartTime startedAt;

    friend auto operator<=>(const ServerIncarnation&, const ServerIncarnation&) = default;
};

/// A backend server as listed by the platform.
struct BackendServer {
    BackendServerId id;
    ServiceName service;
    Endpoint address;
    DataCentreName dataCentre;
    std::uint32_t slots { 1 };
    ServerState state { ServerState::Ready };
    ServerStartTime startedAt {};
    /// Until this time the server is cold: it is slow and accepts only `Service::coldRate` requests.
    TimePoint coldUntil {};

    ServerIncarnation incarnation() const { return { id, startedAt }; }

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// The parts of a client's request that an entry evaluates.
struct RequestHead {
    /// The client's request id; used in logs and sent to the backend server.
    std::string id;
    std::string host;
    /// The request target without the query.
    std::string path;
    std::string key;
    /// The client's deadline; unset if the client sent none.
    std::optional<TimePoint> clientDeadline;
    Tokens promptTokens;
    /// Maximum number of output tokens.
    Tokens outputTokens;
    /// The client's estimate of the number of output tokens; unset if it sent none.
    std::optional<Tokens> expectedOutputTokens;
    /// The last event that the client received, if it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
    /// Parts of the prompt that other requests may share, in their order, each once and at most `maxSharedParts`.
    std::vector<PromptPartId> sharedParts;

    static constexpr std::size_t maxSharedParts { 32 };
};

/// A request rate limit that an overloaded backend server advertises in its responses.
struct AdvertisedLimit {
    /// The rate that the server accepts from all entries together; unset if the field can't be parsed.
    std::optional<RequestRate> rate;

    friend bool operator==(const AdvertisedLimit&, const AdvertisedLimit&) = default;
};

/// A back-off that a backend server requests from this entry when it rejects a request: the server accepts no requests
/// from the entry until then.
struct RequestedBackOff {
    /// Unset if the field can't be parsed.
    std::optional<TimePoint> until;

    friend bool operator==(const RequestedBackOff&, const RequestedBackOff&) = default;
};

/// The parsed head of a backend server's response.
struct ResponseHead {
    unsigned status { 0 };
    /// Unset if the server advertises no limit.
    std::optional<AdvertisedLimit> limit;
    /// Unset if the server requests no back-off.
    std::optional<RequestedBackOff> backOff;
    /// Id of the request that this response belongs to; empty if the response does not say.
    std::string requestId;
    /// The server guarantees that it did not run the request and never will.
    bool isNotRun { false };
    /// The server is leaving: it finishes its running requests and must not receive new ones.
    bool isLeaving { false };
    /// The response carries the server's stamp as proof of origin.
    bool isSigned { false };
    /// The body is not the one that the server made, but a content coding of it, which clients do not ask for.
    bool isEncoded { false };
};

} // namespace swiftloft::gateway
