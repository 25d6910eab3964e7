#pragma once

#include "src/entry/attempt.h"
#include "src/rpc/connection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace swiftloft::entry {

struct AgentLinkOptions {
    milliseconds heartbeatInterval { 250 };
    /// If a heartbeat is not answered within this time, its connection is considered unresponsive.
    milliseconds heartbeatTimeout { 1000 };
    /// Time that repeatable requests wait for a new connection before they are retried on another backend server.
    milliseconds reconnectTimeout { 300 };
    /// Time that requests in progress wait for a new connection before they count as lost.
    milliseconds reattachTimeout { 2000 };
};

/// Connection of one traffic thread to one agent. Sends heartbeats, replaces a connection that breaks or no longer
/// responds, and moves the attempts in progress to the new connection.
///
/// A device between the two ends may lose the state of a connection. Neither bytes nor errors arrive on that connection
/// any more, while new connections work. Every heartbeat therefore has a deadline. When the deadline passes, the link
/// tries a new connection before it reports the attempts as lost.
class AgentLink : public std::enable_shared_from_this<AgentLink> {
public:
    struct Hooks {
        std::function<void(const AgentReport&)> onReport;
        std::function<void()> onDown;
    };

    AgentLink(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint endpoint, AgentLinkOptions options, Hooks hooks);
    ~AgentLink();

    void start();
    /// Handles expired deadlines. Call this several times per heartbeat interval; one timer for all links of a thread
    /// costs less than one timer per link.
    void tick(TimePoint now);
    /// Closes the link. Attempts in progress end as lost.
    void stop();

    /// Starts an attempt. Without a connection the attempt ends immediately with the verdict `NotRun`.
    void startAttempt(std::shared_ptr<Attempt> attempt);
    using OnClaimReply = std::function<void(std::optional<policy::ClaimReply>)>;
    /// Asks the agent to grant a claim, that is the right to run the request with a given client key. `onReply` is
    /// called with `nullopt` when the agent can't be reached or does not reply by `deadline`.
    void sendClaim(const policy::ClaimRequest& request, TimePoint deadline, OnClaimReply onReply);
    /// Releases a claim. The release is sent once and not confirmed: if it is lost, the claim expires later.
    void sendRelease(const policy::ClaimRequest& request);

    /// Sets the suspicions that the next heartbeats carry. A suspicion names a request that may have crashed an engine.
    /// If `isUrgent`, a heartbeat is sent immediately unless an earlier one is still unanswered.
    void setSuspicions(std::vector<policy::SuspicionMessage> suspicions, bool isUrgent);

    /// Cancels an attempt and notifies the agent if it is reachable.
    void cancel(const std::shared_ptr<Attempt>& attempt);

private:
    struct Connection;
    struct PendingClaim;

    void checkConnections(TimePoint now);
    void sendHeartbeat(Connection& connection, TimePoint now);
    void onHeartbeat(Connection& connection, rpc::schema::Report::Reader report);
    void connect();
    void onConnected(boost::asio::ip::tcp::socket socket);
    void promoteCandidate();
    void markDown(TimePoint now);
    void failExpiredAttempts(TimePoint now);
    void failRepeatableAttempts();
    void removeEndedAttempts();
    void callClaim(const std::shared_ptr<PendingClaim>& pending);
    void expireClaims(TimePoint upTo);

    boost::asio::io_context& m_ioContext;
    boost::asio::ip::tcp::endpoint m_endpoint;
    AgentLinkOptions m_options;
    Hooks m_hooks;
    std::unique_ptr<Connection> m_current;
    /// A new connection that replaces the current one once its first heartbeat is answered.
    std::unique_ptr<Connection> m_candidate;
    std::shared_ptr<boost::asio::ip::tcp::socket> m_connectingSocket;
    TimePoint m_connectDeadline;
    /// Set while the link is down: the time at which attempts in progress count as lost.
    std::optional<TimePoint> m_reattachDeadline;
    /// Valid while the link is down: the time at which repeatable attempts fail, so that they are retried elsewhere.
    TimePoint m_reconnectDeadline;
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::vector<std::shared_ptr<PendingClaim>> m_claims;
    std::vector<policy::SuspicionMessage> m_suspicions;
    bool m_isStopped { false };
};

} // namespace swiftloft::entry
