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
    /// A connection whose heartbeat is not answered within this time counts as silent.
    milliseconds heartbeatTimeout { 1000 };
    /// Time that repeatable requests wait for a new connection before they are retried on another backend server.
    milliseconds reconnectTimeout { 300 };
    /// Time that requests in progress wait for a new connection before they count as lost.
    milliseconds reattachTimeout { 2000 };
};

/// Connection of one traffic thread to one agent. Sends heartbeats, replaces the connection when it breaks or goes
/// silent, and moves the attempts in progress to the new connection.
///
/// A connection can go silent permanently while new connections work, because a device between the two ends has lost
/// its state: neither bytes nor errors arrive. Every heartbeat therefore has a deadline, and when it passes, the link
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

    /// Starts an attempt. Without a connection the attempt ends at once with the verdict `NotRun`.
    void startAttempt(std::shared_ptr<Attempt> attempt);
    using OnClaimReply = std::function<void(std::optional<policy::ClaimReply>)>;
    /// Claims a client's key. `onReply` is called with `nullopt` when the agent can't be reached or does not reply by
    /// `deadline`.
    void sendClaim(const policy::ClaimRequest& request, TimePoint deadline, OnClaimReply onReply);
    /// Releases a claim, best effort: a claim whose release is lost expires.
    void sendRelease(const policy::ClaimRequest& request);

    /// Sets the suspicions that the next heartbeats carry. If `isUrgent`, a heartbeat is sent at once unless one is
    /// unanswered.
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
