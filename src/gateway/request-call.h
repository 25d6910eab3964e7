#pragma once

#include "src/gateway/event-splitter.h"
#include "src/gateway/request-server.h"

#include <swiftloft/policy/fingerprint.h>

namespace swiftloft::gateway {

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
    /// Connection of the current attempt; null until it is open.
    UpstreamConnection* upstream { nullptr };
    /// Why the current attempt must end; unset if it need not.
    std::optional<dispatch::CancelReason> cancelReason;
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
