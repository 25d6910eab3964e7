#include "src/agent/engine-connection-pool.h"

#include <boost/asio/use_awaitable.hpp>

namespace swiftloft::agent {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/// True when the engine has neither closed the connection nor sent unsolicited data.
bool isStillOpen(beast::tcp_stream& stream)
{
    boost::system::error_code ec;
    auto& socket = stream.socket();
    socket.non_blocking(true, ec);
    char c;
    socket.receive(asio::buffer(&c, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
}

} // namespace

EngineConnectionPool::EngineConnectionPool(asio::io_context& ioContext, asio::ip::tcp::endpoint endpoint)
    : m_ioContext(ioContext)
    , m_endpoint(std::move(endpoint))
{
}

asio::awaitable<beast::tcp_stream> EngineConnectionPool::acquire(TimePoint deadline, bool allowsReuse)
{
    while (allowsReuse && !m_idle.empty()) {
        auto stream = std::move(m_idle.back());
        m_idle.pop_back();
        if (!isStillOpen(stream))
            continue;
        stream.expires_at(deadline);
        co_return stream;
    }
    beast::tcp_stream stream(m_ioContext);
    stream.expires_at(deadline);
    co_await stream.async_connect(m_endpoint, asio::use_awaitable);
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
    co_return stream;
}

void EngineConnectionPool::release(beast::tcp_stream stream)
{
    if (m_idle.size() >= maxIdle)
        return;
    stream.expires_never();
    m_idle.push_back(std::move(stream));
}

} // namespace swiftloft::agent
