#pragma once

#include "src/gateway/async-dispatcher.h"
#include "src/gateway/control-message.h"
#include "src/gateway/request-server.h"
#include "src/gateway/settings.h"
#include "src/gateway/upstream-pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>

namespace swiftloft::gateway {

/// The traffic thread of an entry: listens for clients, answers where the entries are and whether this one is ready, and
/// tells other entries of its load.
class TrafficServer {
public:
    TrafficServer(const EntrySettings& settings, const Protocol& protocol, process::SharedMetrics& metrics, Incarnation incarnation);

    /// Ends what is left: coroutines that still wait hold on to parts of this object, so they are woken and unwound first.
    ~TrafficServer();

    /// Runs until stopped.
    void run();
    /// May be called from any thread.
    void setSnapshot(std::shared_ptr<const Snapshot> snapshot);
    using OnLoadsMeasured = std::function<void(std::vector<ServiceLoad> loads)>;
    /// Called on the traffic thread with each new snapshot. Set it before `run`.
    void setOnLoadsMeasured(OnLoadsMeasured hook) { m_onLoadsMeasured = std::move(hook); }
    /// Called on the traffic thread when a server has said for the first time that it is leaving. Set it before `run`.
    void setOnServerLeaving(AsyncDispatcher::OnServerLeaving hook) { m_dispatcher.setOnServerLeaving(std::move(hook)); }
    /// Begins a graceful shutdown; `run` returns when no request is in progress, or at `deadline`. From any thread.
    void stop(TimePoint deadline);

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;
    using ConnectionHandler = std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket)>;

    void listen(Acceptor& acceptor, const Endpoint& endpoint, ConnectionHandler serve);
    boost::asio::awaitable<void> accept(Acceptor& acceptor, ConnectionHandler serve);
    boost::asio::awaitable<void> serveClient(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serveStatusPage(boost::asio::ip::tcp::socket socket);
    ClientResponse statusPage(const ClientRequest& request);
    std::vector<Endpoint> directoryEntries() const;
    void sendLoadUpdate();
    void scheduleLoadUpdate(TimePoint time);
    void stopIfIdle();

    /// One whose waiting coroutines can be destroyed before anything else of this object.
    class IoContext : public boost::asio::io_context {
    public:
        using boost::asio::execution_context::shutdown;
        using boost::asio::io_context::io_context;
    };

    IoContext m_ioContext { 1 };
    const EntrySettings& m_settings;
    const Protocol& m_protocol;
    Incarnation m_incarnation;
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
    /// Other data centres whose entries were told of this one's load last.
    std::set<DataCentreName> m_remoteRecipients;
    TimePoint m_loadUpdateNotBefore;
    /// `ServerLimits::newsHeard` when limits were told last, and when they are told again without news.
    std::uint64_t m_sentLimitVersion { 0 };
    TimePoint m_limitsRepeatAt;
    /// When loads are told next; unset while nothing is due.
    std::optional<TimePoint> m_loadUpdateAt;
    std::set<DownstreamConnection*> m_clientConnections;
    /// Set once a shutdown has begun.
    std::optional<TimePoint> m_stopDeadline;
    TimePoint m_stopNotBefore;
};

} // namespace swiftloft::gateway
