#pragma once

#include "src/gateway/async-dispatcher.h"
#include "src/gateway/capacity/estimate-metrics.h"
#include "src/gateway/control-message.h"
#include "src/gateway/request-server.h"
#include "src/gateway/settings.h"
#include "src/gateway/stop-schedule.h"
#include "src/gateway/upstream-pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>

namespace swiftloft::gateway {

/// The traffic thread of an entry: accepts clients, serves the list of entries and the readiness check, and sends its load to
/// other entries.
class TrafficServer {
public:
    TrafficServer(const EntrySettings& settings, const Protocol& protocol, process::SharedMetrics& metrics, Incarnation incarnation);

    /// Resumes and unwinds the coroutines that still wait, before the members that they refer to are destroyed.
    ~TrafficServer();

    /// Runs until stopped.
    void run();
    /// May be called from any thread.
    void setSnapshot(std::shared_ptr<const Snapshot> snapshot);
    /// May be called from any thread.
    void onSuspicions(std::vector<policy::SuspicionMessage> suspicions);
    /// What the traffic thread reports to the other entries through hellos.
    struct Measurements {
        std::vector<ServiceLoad> loads;
        std::vector<ServiceDemand> demands;
        std::vector<policy::SuspicionMessage> suspicions;
    };
    using OnLoadsMeasured = std::function<void(Measurements measurements)>;
    /// `hook` is called on the traffic thread with each new snapshot. Must be set before `run`.
    void setOnLoadsMeasured(OnLoadsMeasured hook) { m_onLoadsMeasured = std::move(hook); }
    /// `hook` is called on the traffic thread when a server reports for the first time that it is leaving. Must be set before
    /// `run`.
    void setOnServerLeaving(AsyncDispatcher::OnServerLeaving hook) { m_dispatcher.setOnServerLeaving(std::move(hook)); }
    /// Starts a graceful shutdown: `run` returns when no request is in progress, or shortly after the schedule's deadline.
    /// May be called from any thread.
    void stop(const StopSchedule& schedule);

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;
    using ConnectionHandler = std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket)>;

    void listen(Acceptor& acceptor, const Endpoint& endpoint, ConnectionHandler serve);
    boost::asio::awaitable<void> accept(Acceptor& acceptor, ConnectionHandler serve);
    void recordAcceptFailure(const std::string& problem);
    boost::asio::awaitable<void> serveClient(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serveStatusPage(boost::asio::ip::tcp::socket socket);
    ClientResponse statusPage(const ClientRequest& request);
    /// `target` is that of the client's request for the directory.
    std::vector<Endpoint> directoryEntriesFor(std::string_view target) const;
    void sendLoadUpdate();
    std::vector<ServiceDemand> demandsToReport(TimePoint now);
    std::vector<policy::SuspicionMessage> suspicionsToReport(TimePoint now, bool isChanged);
    void recordRetryDenied(const dispatch::RetryDenied& denial);
    void recordQueued(const ServiceDemand& demand);
    void recordBounds(const std::string& listener, const process::ClientBounds& bounds);
    void scheduleLoadUpdate(TimePoint time);
    /// Connections on which a request is being read or served, or that are being closed.
    std::size_t busyConnections() const;
    void checkStopAt(TimePoint time);
    /// Ends the server once its clients have all of their responses. Ends the requests in progress at the deadline.
    void checkStop();
    static void endConnection(DownstreamConnection& client);

    /// Context whose suspended coroutines can be destroyed before the other members of the server.
    class IoContext : public boost::asio::io_context {
    public:
        using boost::asio::execution_context::shutdown;
        using boost::asio::io_context::io_context;
    };

    IoContext m_ioContext { 1 };
    const EntrySettings& m_settings;
    process::ClientBounds m_clientBounds;
    /// For the readers of the readiness page and of the directory.
    process::ClientBounds m_pageBounds;
    const Protocol& m_protocol;
    process::SharedMetrics& m_metrics;
    Incarnation m_incarnation;
    capacity::EstimateMetrics m_estimateMetrics;
    AsyncDispatcher m_dispatcher;
    UpstreamPool m_pool;
    RequestServer m_server;
    std::shared_ptr<const Snapshot> m_snapshot;
    Acceptor m_clients;
    Acceptor m_ready;
    Acceptor m_directory;
    std::shared_ptr<ControlSocket> m_loadSocket;
    boost::asio::steady_timer m_loadUpdateTimer;
    boost::asio::steady_timer m_stopTimer;
    OnLoadsMeasured m_onLoadsMeasured;
    std::uint64_t m_loadSequence { 0 };
    /// Remote data centres whose entries received the last load update.
    std::set<DataCentreName> m_remoteRecipients;
    /// Number of entries that received the last load update.
    int m_loadRecipients { 0 };
    TimePoint m_loadUpdateNotBefore;
    /// Version of the server limits that was sent last, and when unchanged limits are sent again.
    std::uint64_t m_sentLimitVersion { 0 };
    TimePoint m_limitsRepeatAt;
    /// The same for requests that may have crashed servers.
    std::uint64_t m_sentSuspicionVersion { 0 };
    TimePoint m_suspicionsRepeatAt;
    /// Services whose shortage was reported to other entries, and when it is next reported.
    std::set<ServiceName> m_reportedDemands;
    TimePoint m_demandsNotBefore;
    /// When the next load update is sent; unset if none is scheduled.
    std::optional<TimePoint> m_loadUpdateAt;
    class Registration;
    /// Open connections of clients and of readers of the status pages.
    std::set<DownstreamConnection*> m_connections;
    /// Set once a shutdown has started.
    std::optional<StopSchedule> m_stop;
    bool m_hasReachedStopDeadline { false };
    /// A failure to accept a connection is not logged before.
    TimePoint m_acceptFailureLogNotBefore;
};

} // namespace swiftloft::gateway
