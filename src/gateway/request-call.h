#pragma once

#include "src/gateway/event-splitter.h"
#include "src/gateway/request-server.h"

namespace swiftloft::gateway {

/// One request inside the entry, from its arrival to its end. Private to the files of `RequestServer`.
struct RequestServer::Call {
    DownstreamConnection& client;
    ClientRequest request;
    RequestHead head;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::shared_ptr<const Configuration> configuration;
    const Route* route { nullptr };
    std::optional<OrganisationName> organisation;
    std::unique_ptr<AsyncDispatcher::CallHandle> handle;

    /// A failure of a server that may be passed on.
    std::optional<ClientResponse> serverError;

    // Of a stream that has begun.
    bool hasStreamStarted { false };
    std::optional<std::uint64_t> lastEvent;
    EventSplitter splitter;

    /// The whole answer has gone out.
    bool isComplete { false };

    /// The request was written to the server that it is at.
    TimePoint sentAt;
    /// The connection of the try in progress; null before it is open.
    UpstreamConnection* upstream { nullptr };
    /// The try in progress is to end.
    bool isAttemptCancelled { false };

    // For the log and the metrics.
    ServiceName service;
    /// What decided a refusal.
    std::string refusalDetails;
    unsigned status { 0 };
    std::string_view reason { "answered" };
    unsigned attempts { 0 };
    std::string servers;
    std::optional<TimePoint> firstByteAt;
    TimePoint lastEventAt;
    milliseconds longestEventGap { 0 };
    bool mustClose { false };
};

} // namespace swiftloft::gateway
