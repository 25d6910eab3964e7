#pragma once

#include "src/gateway/call-id.h"

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <optional>
#include <vector>

/// Decides which requests are admitted, in which order, and when refused clients are told to return.
namespace swiftloft::gateway::admission {

/// A request that waits for a server.
struct QueuedRequest {
    CallId call;
    /// 0 is the most urgent.
    unsigned priority { 0 };
    ServiceName service {};
    /// Owner of the client's key; unset on routes that need no key.
    std::optional<OrganisationName> organisation {};
    /// Work that the request is expected to be.
    Tokens work {};
    /// The request has lost its server, and its client is already waiting.
    bool isFirst { false };
};

/// The requests of one entry that wait for a server, in the order in which free capacity goes to them. Pure.
class RequestQueue {
public:
    /// Queues a request before the first less urgent one; of equally urgent requests the older ones come first.
    void push(const QueuedRequest& request);
    /// Queues a request before all others: it has lost its server, and its client is already waiting.
    void pushFirst(const QueuedRequest& request);
    /// Does nothing if the request is not queued.
    void remove(CallId call);
    /// The queued requests, the next one to be served first. A copy, so that the caller may remove requests meanwhile.
    std::vector<CallId> order() const;
    const std::vector<QueuedRequest>& requests() const { return m_requests; }
    std::size_t size() const { return m_requests.size(); }

private:
    std::vector<QueuedRequest> m_requests;
};

} // namespace swiftloft::gateway::admission
