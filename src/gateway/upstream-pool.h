#pragma once

#include "src/gateway/model.h"

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

/// One connection to a backend server with what was read from it and not yet parsed.
struct UpstreamConnection {
    using Registry = std::set<UpstreamConnection*>;

    /// Signs itself in and out of `registry`.
    UpstreamConnection(boost::asio::io_context& ioContext, std::shared_ptr<Registry> registry);
    ~UpstreamConnection();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    ServerIncarnation server;
    /// A request was written and its answer not read to the end.
    bool isInUse { false };
    /// It has carried a request before.
    bool isReused { false };

private:
    std::shared_ptr<Registry> m_registry;
};

using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

/// Idle connections that one of `entries` entries may keep to a server that accepts `maximum` from all of them together, and
/// has `slots` requests running. A server that names no maximum, 0, bounds nothing.
std::size_t idleConnectionLimit(std::uint32_t maximum, std::uint32_t slots, std::size_t entries);

/// Idle connections to backend servers, by the server's life: an address that has gone to another server gets none of them.
/// Belongs to the traffic thread.
class UpstreamPool {
public:
    /// An idle connection is closed after this long, well before servers usually do.
    static constexpr milliseconds idleTimeout { 4000 };
    /// Kept for one server at most.
    static constexpr std::size_t maxIdlePerServer { 16 };

    explicit UpstreamPool(boost::asio::io_context& ioContext);

    /// An idle connection of `server`; null when there is none.
    UpstreamConnectionPtr takeIdle(const BackendServer& server);
    /// Opens a connection. Throws `boost::system::system_error` when it is not open by `deadline`.
    boost::asio::awaitable<UpstreamConnectionPtr> connect(BackendServer server, TimePoint deadline);
    /// Keeps a connection whose last answer was read whole, with nothing behind it, until `idleUntil`; closes it where this
    /// entry has as many idle ones at that server as it may.
    void release(UpstreamConnectionPtr connection, TimePoint idleUntil);
    /// Closes the idle connections of servers that are not in the snapshot, those beyond this entry's part, and all
    /// connections of lives that have ended because their server has started again.
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
    /// Start of each server that is listed, by id.
    using ServerStarts = std::map<BackendServerId, ServerStartTime>;
    void shutDownEndedIncarnations(const ServerStarts& listed);

    boost::asio::io_context& m_ioContext;
    std::map<ServerIncarnation, std::list<Idle>> m_idle;
    /// Idle connections that this entry may keep, by server.
    std::map<ServerIncarnation, std::size_t> m_idleLimits;
    /// All connections that are open, idle and in use.
    std::shared_ptr<UpstreamConnection::Registry> m_openConnections;
    std::uint64_t m_lastNumber { 0 };
};

} // namespace swiftloft::gateway
