#pragma once

#include "src/gateway/model.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <list>
#include <map>
#include <memory>

namespace swiftloft::gateway {

/// One connection to a backend server with what was read from it and not yet parsed.
struct UpstreamConnection {
    explicit UpstreamConnection(boost::asio::io_context& ioContext)
        : stream(ioContext)
    {
    }
    ~UpstreamConnection();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    BackendServerId server;
    /// A request was written and its answer not read to the end.
    bool isInUse { false };
    /// It has carried a request before.
    bool isReused { false };
};

using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

/// Idle connections to backend servers, by server id: an address that has gone to another server gets none of them.
/// Belongs to the traffic thread.
class UpstreamPool {
public:
    /// An idle connection is closed after this long, well before servers usually do.
    static constexpr milliseconds idleFor { 4000 };
    /// Kept for one server at most.
    static constexpr std::size_t mostIdlePerServer { 16 };

    explicit UpstreamPool(boost::asio::io_context& ioContext);

    /// An idle connection of `server`; null when there is none.
    UpstreamConnectionPtr takeIdle(const BackendServer& server);
    /// Opens a connection. Throws `boost::system::system_error` when it is not open by `deadline`.
    boost::asio::awaitable<UpstreamConnectionPtr> connect(BackendServer server, TimePoint deadline);
    /// Keeps a connection whose last answer was read whole, with nothing behind it, until `idleUntil`.
    void putBack(UpstreamConnectionPtr connection, TimePoint idleUntil);
    /// Closes the idle connections of servers that are not in `servers`.
    void keepOnly(const std::vector<BackendServer>& servers);
    void closeAll() { m_idle.clear(); }

private:
    struct Idle {
        UpstreamConnectionPtr connection;
        TimePoint idleUntil;
        std::uint64_t number { 0 };
    };

    boost::asio::awaitable<void> watch(BackendServerId server, std::uint64_t number);
    void drop(const BackendServerId& server, std::uint64_t number);

    boost::asio::io_context& m_ioContext;
    std::map<BackendServerId, std::list<Idle>> m_idle;
    std::uint64_t m_lastNumber { 0 };
};

} // namespace swiftloft::gateway
