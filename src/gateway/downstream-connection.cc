#include "src/gateway/downstream-connection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace swiftloft::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

/// A client that has received its last response closes the connection within a few round trips.
constexpr milliseconds lingerTimeout { 400 };
/// Time after which the pace of a write is checked; most writes end sooner.
constexpr milliseconds paceMeasureDelay { 1000 };
constexpr std::size_t readSize = 4096;

/// How a connection has ended that fails with this error of the system.
ConnectionEnd endFrom(int error)
{
    return error == ETIMEDOUT ? ConnectionEnd::ClientStalled : ConnectionEnd::ClientReset;
}

} // namespace

std::string_view toString(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::ClientClosed:
        return "client-left";
    case ConnectionEnd::ClientReset:
        return "client-reset";
    case ConnectionEnd::ClientStalled:
        return "client-stalled";
    case ConnectionEnd::MemoryNeeded:
        return "memory-needed";
    case ConnectionEnd::ConnectionNeeded:
        return "connection-needed";
    case ConnectionEnd::EntryReset:
        return "entry-ended";
    }
    return "unknown";
}

DownstreamConnection::DownstreamConnection(asio::ip::tcp::socket socket, process::ClientBounds& bounds)
    : m_stream(std::move(socket))
    , m_reader(m_stream, bounds, [this] { makeWay(); })
    , m_timer(m_stream.get_executor())
    , m_self(std::make_shared<DownstreamConnection*>(this))
{
    boost::system::error_code ec;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    auto timeout = static_cast<int>(DeliveryPace::window.count());
    m_stream.socket().set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(timeout), ec);
}

asio::awaitable<ReadError> DownstreamConnection::readRequest(const ClientLimits& limits, ClientRequest& request)
{
    m_state = State::Idle;
    if (!co_await m_reader.waitForRequest(Clock::now() + limits.idleTimeout))
        co_return ReadError::Closed;
    m_state = State::Busy;
    auto error = co_await m_reader.read({ limits.maximumHeaderBytes, limits.maximumBodyBytes, limits.headerTimeout, limits.idleTimeout }, request);
    if (error == ReadError::None && !request.keep_alive())
        m_mustClose = true;
    co_return error;
}

void DownstreamConnection::startDelivery()
{
    m_stream.expires_never();
    ++m_writes;
    m_isWriting = true;
    if (!m_isTimerRunning)
        startTimer(Clock::now() + paceMeasureDelay);
}

void DownstreamConnection::onWritten(std::size_t size, const boost::system::error_code& ec)
{
    m_writtenBytes += size;
    if (std::exchange(m_isStalled, false))
        m_reader.onAccepted();
    if (!ec)
        return;
    m_isWriting = false;
    // Once a write has reported the error, a read does not report it again.
    if (!m_end)
        m_end = endFrom(ec.value());
    throw boost::system::system_error(ec);
}

template <typename Buffers>
asio::awaitable<void> DownstreamConnection::write(Buffers buffers)
{
    beast::buffers_suffix<Buffers> rest(buffers);
    startDelivery();
    while (beast::buffer_bytes(rest) > 0) {
        boost::system::error_code ec;
        auto n = co_await m_stream.async_write_some(rest, redirect_error(use_awaitable, ec));
        onWritten(n, ec);
        rest.consume(n);
    }
    m_isWriting = false;
}

template <typename Serializer>
asio::awaitable<void> DownstreamConnection::writeMessage(Serializer& serializer)
{
    startDelivery();
    while (!serializer.is_done() && !(serializer.split() && serializer.is_header_done())) {
        boost::system::error_code ec;
        auto n = co_await http::async_write_some(m_stream, serializer, redirect_error(use_awaitable, ec));
        onWritten(n, ec);
    }
    m_isWriting = false;
}

asio::awaitable<void> DownstreamConnection::writeResponse(ClientResponse& response)
{
    response.keep_alive(!m_mustClose);
    http::response_serializer<http::string_body> serializer(response);
    co_await writeMessage(serializer);
}

asio::awaitable<void> DownstreamConnection::writeHead(ResponseFields head)
{
    http::response<http::empty_body> response(std::move(head));
    response.keep_alive(!m_mustClose);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    serializer.split(true);
    co_await writeMessage(serializer);
}

asio::awaitable<void> DownstreamConnection::writeChunk(std::string bytes)
{
    co_await write(http::make_chunk(asio::buffer(bytes)));
}

asio::awaitable<void> DownstreamConnection::writeLastChunk()
{
    co_await write(http::make_chunk_last());
}

void DownstreamConnection::startTimer(TimePoint time)
{
    m_isTimerRunning = true;
    m_timer.expires_at(time);
    m_timer.async_wait([self = std::weak_ptr(m_self)](boost::system::error_code ec) {
        auto it = self.lock();
        if (!ec && it)
            (*it)->onTimer();
    });
}

void DownstreamConnection::onTimer()
{
    m_isTimerRunning = false;
    if (m_state == State::Closing)
        checkClosing();
    else if (m_isWriting)
        checkPace();
}

void DownstreamConnection::checkPace()
{
    auto now = Clock::now();
    if (std::exchange(m_measuredWrite, m_writes) != m_writes)
        m_pace.start(now, deliveredBytes());
    else if (m_pace.isTooSlow(now, deliveredBytes()))
        return reset(ConnectionEnd::ClientStalled);
    m_isStalled = true;
    m_reader.onStalled();
    startTimer(m_pace.checkAt());
}

void DownstreamConnection::checkClosing()
{
    auto now = Clock::now();
    bool mustDiscard = std::exchange(m_isSending, false) && now < m_discardUntil;
    if (mustDiscard || (undeliveredBytes() > 0 && !m_pace.isTooSlow(now, deliveredBytes())))
        return startTimer(now + lingerTimeout);
    // Closed rather than cancelled: a read that has completed already would not see that it was cancelled.
    boost::system::error_code ec;
    m_stream.socket().close(ec);
}

asio::awaitable<ConnectionEnd> DownstreamConnection::waitForClose()
{
    auto& socket = m_stream.socket();
    boost::system::error_code ec;
    ssize_t size = -1;
    while (size < 0) {
        co_await socket.async_wait(asio::ip::tcp::socket::wait_read, redirect_error(use_awaitable, ec));
        if (m_end)
            co_return *m_end;
        if (ec)
            co_return ConnectionEnd::EntryReset;
        char byte = 0;
        size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool isSpurious = size < 0 && (errno == EAGAIN || errno == EINTR);
        if (size < 0 && !isSpurious)
            co_return endFrom(errno);
    }
    if (size == 0)
        co_return ConnectionEnd::ClientClosed;
    // The client has already sent more data, so its close can't be detected. Wait until the call ends.
    asio::steady_timer forever(co_await asio::this_coro::executor, TimePoint::max());
    co_await forever.async_wait(redirect_error(use_awaitable, ec));
    co_return m_end.value_or(ConnectionEnd::EntryReset);
}

void DownstreamConnection::reset(ConnectionEnd end)
{
    if (!m_stream.socket().is_open())
        return;
    m_undeliveredAtEnd = undeliveredBytes();
    m_end = end;
    boost::system::error_code ec;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    m_stream.socket().close(ec);
}

std::size_t DownstreamConnection::undeliveredBytes()
{
    if (!m_stream.socket().is_open())
        return m_undeliveredAtEnd;
    int size = 0;
    return ::ioctl(m_stream.socket().native_handle(), SIOCOUTQ, &size) == 0 ? static_cast<std::size_t>(std::max(size, 0)) : 0;
}

void DownstreamConnection::makeWay()
{
    if (m_state == State::Busy)
        return reset(ConnectionEnd::ConnectionNeeded);
    m_end = ConnectionEnd::ConnectionNeeded;
    boost::system::error_code ec;
    m_stream.socket().close(ec);
}

void DownstreamConnection::terminate()
{
    if (m_state == State::Busy)
        return reset();
    m_end = ConnectionEnd::EntryReset;
    boost::system::error_code ec;
    m_stream.socket().close(ec);
}

/// If the connection were closed immediately after the client has sent more data, the connection would be reset. The
/// reset, or the end of the process, can overtake the last bytes of the response, and the client would see a complete
/// response as truncated.
asio::awaitable<void> DownstreamConnection::close(TimePoint discardUntil)
{
    m_state = State::Closing;
    m_discardUntil = discardUntil;
    m_reader.onStalled();
    auto& socket = m_stream.socket();
    boost::system::error_code ec;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    auto now = Clock::now();
    m_pace.start(now, deliveredBytes());
    startTimer(now + lingerTimeout);
    std::array<char, readSize> discarded;
    while (!ec) {
        co_await socket.async_read_some(asio::buffer(discarded), redirect_error(use_awaitable, ec));
        m_isSending = true;
    }
    socket.close(ec);
}

} // namespace swiftloft::gateway
