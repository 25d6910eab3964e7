#pragma once

#include <swiftloft/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <vector>

namespace swiftloft::agent {

/// Pool of HTTP connections to the engine in whose slot the agent runs. Belongs to the traffic thread.
class EngineConnectionPool {
public:
    EngineConnectionPool(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint endpoint);

    /// Returns a connected stream that expires at `deadline`. With `allowsReuse`, the stream may be an idle one of the
    /// pool. The engine may have closed an idle stream a moment ago, and the request then has to be sent again. Only a
    /// request that may run twice should therefore allow reuse.
    ///
    /// Throws `boost::system::system_error` when the engine can't be connected to.
    boost::asio::awaitable<boost::beast::tcp_stream> acquire(TimePoint deadline, bool allowsReuse);

    /// Returns a stream to the pool. Its last response must have been read to the end.
    void release(boost::beast::tcp_stream stream);

    const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

private:
    static constexpr std::size_t maxIdle = 32;

    boost::asio::io_context& m_ioContext;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::vector<boost::beast::tcp_stream> m_idle;
};

} // namespace swiftloft::agent
