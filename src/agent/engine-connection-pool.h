#pragma once

#include <swiftloft/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <vector>

namespace swiftloft::agent {

/// Connections to the engine in whose slot the agent runs. Belongs to the traffic thread.
class EngineConnectionPool {
public:
    EngineConnectionPool(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint endpoint);

    /// A connected stream whose deadline is set to `deadline`. With `allowsReuse`, it may be one that was kept open;
    /// the engine may just have closed it, so only a request that may run again should take it.
    boost::asio::awaitable<boost::beast::tcp_stream> acquire(TimePoint deadline, bool allowsReuse);

    /// Keeps a stream open whose last answer was read whole.
    void release(boost::beast::tcp_stream stream);

    const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

private:
    static constexpr std::size_t maxIdle = 32;

    boost::asio::io_context& m_ioContext;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::vector<boost::beast::tcp_stream> m_idle;
};

} // namespace swiftloft::agent
