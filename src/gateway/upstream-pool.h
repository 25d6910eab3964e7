#pragma once

#include "src/gateway/model.h"
#include "src/process/http-limits.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <list>
#include <map>
#include <memory>
#include <set>

namespace swiftloft::gateway {

struct Snapshot;

/// One connection to a backend server, with the bytes that were read and not yet parsed.
struct UpstreamConnection {
    using Registry = std::set<UpstreamConnection*>;

    /// Adds itself to `registry`; the destructor removes it.
    UpstreamConnection(boost::asio::io_context& ioContext, std::shared_ptr<Registry> registry);
    ~UpstreamConnection();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer { process::maxUnparsedBytes };
    ServerIncarnation server;
    Endpoint address;
    /// A request was written and its response was not read to the end.
    bool isInUse { false };
    /// When the last request was sent.
    TimePoint sentAt;
    /// The server's process has ended and this entry has shut the connection down: the end of its stream is not the server's.
    bool hasServerEnded { false };
    /// The connection has carried a request before.
    bool isReused { false };

private:
    std::shared_ptr<Registry> m_registry;
};

using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

/// Number of idle connections that each of `entries` entries may keep to a server that accepts `maximum` connections from all
/// entries together and runs up to `slots` requests. If `maximum` is 0, the server sets no limit,
/// and `UpstreamPool::maxIdlePerServer` applies.
std::size_t idleConnectionLimit(std::uint32_t maximum, std::uint32_t slots, std::size_t entries);

/// Pool of idle connections to backend servers. The connections are kept per incarnation of a server, so that a server
/// that takes over another server's address is not sent requests on the connections of that other server. Belongs to
/// the traffic thread.
class UpstreamPool {
public:
    /// An idle connection is closed after this long, well before servers usually close it.
    static constexpr milliseconds idleTimeout { 4000 };
    /// Upper bound of the idle connections per server.
    static constexpr std::size_t maxIdlePerServer { 16 };

    explicit UpstreamPool(boost::asio::io_context& ioContext);

    /// Takes an idle connection to `server` out of the pool; null if there is none.
    UpstreamConnectionPtr takeIdle(const BackendServer& server);
    /// Opens a connection. Throws `boost::system::system_error` if the connection is not open by `deadline`, or if the server's
    /// process has ended meanwhile.
    boost::asio::awaitable<UpstreamConnectionPtr> connect(BackendServer server, TimePoint deadline);
    /// Puts a connection into the pool until `idleUntil`. Its last response must have been read to the end, with no bytes after
    /// it. If the pool exceeds its limit for the server, the connection that has been idle longest is closed.
    void release(UpstreamConnectionPtr connection, TimePoint idleUntil);
    /// Closes the idle connections to servers that are not in the snapshot, the idle connections beyond this entry's share, and
    /// all connections to processes that have ended, because a later one is listed under their id or at their address. The
    /// connections in use to a server that is no longer listed stay open: it may be finishing its requests.
    void applySnapshot(const Snapshot& snapshot);
    void closeIdle() { m_idle.clear(); }

private:
    struct Idle {
        UpstreamConnectionPtr connection;
        TimePoint idleUntil;
        std::uint64_t number { 0 };
    };

    boost::asio::awaitable<void> watchIdleConnection(ServerIncarnation server, std::uint64_t number);
    void closeIdleConnection(const ServerIncarnation& server, std::uint64_t number);
    std::size_t idleLimitOf(const ServerIncarnation& server) const;
    void shutDownEndedIncarnations(const std::vector<BackendServer>& listed);

    boost::asio::io_context& m_ioContext;
    std::map<ServerIncarnation, std::list<Idle>> m_idle;
    /// Number of idle connections that this entry may keep, by server.
    std::map<ServerIncarnation, std::size_t> m_idleLimits;
    /// All open connections, idle and in use.
    std::shared_ptr<UpstreamConnection::Registry> m_openConnections;
    std::uint64_t m_lastNumber { 0 };
};

} // namespace swiftloft::gateway
