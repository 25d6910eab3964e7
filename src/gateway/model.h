#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The direct request path: an entry passes requests straight to backend servers over pooled HTTP/1.1 connections.
///
/// This header holds the types that its parts share. What arrives on a wire is decoded into them by a `Protocol`
/// (protocol.h), so nothing here depends on how a platform names its headers and documents.
namespace swiftloft::gateway {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// A service of a route and how much of its traffic goes there, relative to the other weights of the route.
struct WeightedService {
    ServiceName service;
    double weight { 1 };
};

/// Requests of one host whose path begins with `prefix`, and how they are served.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// The answer is a series of events that are passed on as they come.
    bool isStream { false };
    /// May run more than once: a safe request, or a stream that can be resumed behind its last event.
    bool isIdempotent { false };
    /// Needs no key.
    bool isPublic { false };
    /// Longest time a client is kept waiting for the end of its answer.
    milliseconds timeout { 0 };
    /// Time within which an answer (of a stream, its first event) is of full use.
    milliseconds objective { 0 };
    /// Longest pause between events with which a stream is of full use; zero where it does not matter.
    milliseconds gapObjective { 0 };
    /// 0 is the most urgent.
    unsigned priority { 0 };
    /// Backend servers that one request may run on.
    unsigned maximumServers { 1 };
    std::vector<WeightedService> services;
};

/// How the engines of a service work, as published. All times of one engine at normal speed.
struct EngineTraits {
    std::uint32_t slots { 0 };
    /// Time of one token step and what each running request adds to it.
    double stepMs { 0 };
    double stepMsPerRequest { 0 };
    /// Prompt tokens read in a second.
    double promptTokensPerSecond { 0 };
    /// Steps between two looks at the queue; a stream sends an event after as many.
    std::uint32_t stepsPerPass { 1 };
    /// Sizes of the expert map; zero layers for an engine without one.
    std::uint32_t layers { 0 };
    std::uint32_t experts { 0 };
    std::uint32_t slotsPerRank { 0 };
    /// Most experts of one layer that a rank takes in with one change of map.
    std::uint32_t spareSlots { 0 };
    double expertMegabytes { 0 };
    double linkMbps { 0 };
};

struct Service {
    ServiceName name;
    std::string healthPath;
    /// Connections that one backend server of the service accepts from all callers together.
    std::uint32_t maximumConnections { 0 };
    std::optional<EngineTraits> engine;
};

struct OrganisationKeys {
    OrganisationName name;
    std::vector<std::string> keys;
    /// Takes the place of the route's priority.
    std::optional<unsigned> priority;
};

/// What a client may send and how long it may take.
struct ClientLimits {
    std::uint32_t maximumHeaderBytes { 16384 };
    std::uint64_t maximumBodyBytes { 4194304 };
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
};

enum class ServerState {
    Ready,
    /// Told to go: finishes what it has and gets nothing new.
    Draining,
};

/// Unix time in milliseconds at which a backend server's process started, as it says itself; 0 where it doesn't say. Only
/// compared: of two starts under one id the later is the one that lives.
using ServerStartTime = Strong<struct ServerStartTimeTag, std::uint64_t>;

/// One life of a backend server. Failure: a server starts again under its id and holds nothing of before; work, failures and
/// farewells of the life that ended would be put down to it. Whatever is believed of a server is kept by its life, so all
/// of it ends with the life.
struct ServerIncarnation {
    BackendServerId id;
    ServerStartTime startedAt;

    friend auto operator<=>(const ServerIncarnation&, const ServerIncarnation&) = default;
};

/// A backend server as the platform's list names it.
struct BackendServer {
    BackendServerId id;
    ServiceName service;
    Endpoint address;
    DataCentreName dataCentre;
    std::uint32_t slots { 1 };
    ServerState state { ServerState::Ready };
    ServerStartTime startedAt {};

    ServerIncarnation incarnation() const { return { id, startedAt }; }

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// What an entry needs to know of a client's request besides its bytes.
struct RequestHead {
    /// As the client sent it; names the request in logs and at the backend server.
    std::string id;
    std::string host;
    /// The target up to the query.
    std::string path;
    std::string key;
    /// When the client stops waiting; unset when it did not say.
    std::optional<TimePoint> clientDeadline;
    Tokens promptTokens;
    Tokens outputTokens;
    /// Last event that the client has, when it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
};

/// Requests a second.
using RequestRate = Strong<struct RequestRateTag, double>;

/// A limit that a backend server in need names in its answers.
struct AdvertisedLimit {
    /// What it takes from all entries together; unset where the server's words can't be read.
    std::optional<RequestRate> rate;

    friend bool operator==(const AdvertisedLimit&, const AdvertisedLimit&) = default;
};

/// A rest that a backend server asks the entry for as it turns a request away: it takes nothing from it until then.
struct RequestedBackOff {
    /// Unset where the server's words can't be read.
    std::optional<TimePoint> until;

    friend bool operator==(const RequestedBackOff&, const RequestedBackOff&) = default;
};

/// What the head of a backend server's answer says.
struct ResponseHead {
    unsigned status { 0 };
    /// Unset where the server names no limit.
    std::optional<AdvertisedLimit> limit;
    /// Unset where the server asks for none.
    std::optional<RequestedBackOff> backOff;
    /// Id of the request that this answers; empty when the answer names none.
    std::string requestId;
    /// The server promises that it did not run the request and never will.
    bool isNotRun { false };
    /// The server says that it is leaving: it finishes what it has and is to get nothing new.
    bool isLeaving { false };
    /// Signed by the server as its own work.
    bool isSigned { false };
};

} // namespace swiftloft::gateway
