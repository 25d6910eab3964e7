#pragma once

#include "src/gateway/event-splitter.h"
#include "src/gateway/request-server.h"

#include <swiftloft/policy/fingerprint.h>

namespace swiftloft::gateway {

/// A final response of a backend server whose head has been read. Private to the source files of `RequestServer`.
struct RequestServer::Response {
    UpstreamConnectionPtr connection;
    std::unique_ptr<ResponseParser> parser;
    ResponseHead head;
};

/// An attempt to move a request to another server while the current one keeps it. Private to the source files of
/// `RequestServer`.
struct RequestServer::Takeover {
    /// Connection to the other server; null while there is none.
    UpstreamConnection* connection { nullptr };
    bool isCancelled { false };

    void cancel()
    {
        isCancelled = true;
        if (connection)
            connection->stream.cancel();
    }
};

/// State of one client request, from its arrival to its end. Private to the source files of `RequestServer`.
struct RequestServer::Call {
    DownstreamConnection& client;
    ClientRequest request;
    RequestHead head;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::shared_ptr<const Configuration> configuration;
    const Route* route { nullptr };
    std::optional<OrganisationName> organisation;
    /// Unset until `fingerprint` is called. Stands before `handle`, whose destructor may call it.
    std::optional<Fingerprint> computedFingerprint {};
    std::unique_ptr<AsyncDispatcher::CallHandle> handle;

    /// Error response of a backend server that may be forwarded to the client.
    std::optional<ClientResponse> serverError;

    /// 0 is the most urgent.
    unsigned priority { 0 };

    // State of a stream.
    /// The response head was sent to the client.
    bool hasStreamStarted { false };
    std::optional<std::uint64_t> lastEvent;
    EventSplitter splitter;

    /// The complete response was sent to the client.
    bool isComplete { false };

    /// When the request was sent to the current server.
    TimePoint sentAt;
    /// Server of the current attempt.
    BackendServerId currentServer;
    /// Connection of the current attempt; null until it is open.
    UpstreamConnection* upstream { nullptr };
    /// The current attempt must end.
    bool isCancelled { false };
    /// A read from `upstream` is in progress, and nothing else.
    bool isReading { false };
    /// The request is to be offered to another server, once the read in progress has ended.
    std::optional<dispatch::StartTakeover> takeoverOffer;
    /// The take-over in progress.
    std::weak_ptr<Takeover> takeover;
    /// The server's response has neither a length nor chunks: it ends with its connection.
    bool endsWithConnection { false };

    // For the log and the metrics.
    ServiceName service;
    /// Values that led to a refusal, formatted for the log.
    std::string refusalDetails;
    unsigned status { 0 };
    std::string_view reason { "answered" };
    unsigned attempts { 0 };
    std::string servers;
    std::optional<TimePoint> firstByteAt;
    TimePoint lastEventAt;
    milliseconds longestEventGap { 0 };
    bool mustClose { false };

    Fingerprint fingerprint()
    {
        if (!computedFingerprint) {
            std::string_view target(request.target().data(), request.target().size());
            computedFingerprint = policy::fingerprintOf({ organisation.value_or(OrganisationName()), target, request.body() });
        }
        return *computedFingerprint;
    }
};

} // namespace swiftloft::gateway
