#include "src/gateway/downstream-connection.h"

#include "src/process/http-limits.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

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

/// A client that accepts no bytes of its response for this long is gone: links deliver in milliseconds.
constexpr milliseconds writeTimeout { 5000 };

/// A client that has received its last response closes the connection within a few round trips.
constexpr milliseconds lingerTimeout { 400 };
constexpr std::size_t readSize = 4096;

ReadError readErrorFrom(const boost::system::error_code& ec, bool hasStarted)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return ReadError::HeaderTooLarge;
    if (ec == http::error::body_limit)
        return ReadError::BodyTooLarge;
    if (ec == beast::error::timeout)
        return hasStarted ? ReadError::TooSlow : ReadError::Closed;
    bool isBroken = ec == http::error::end_of_stream || ec == http::error::partial_message || ec.category() == asio::error::get_system_category()
        || ec.category() == asio::error::get_misc_category();
    return isBroken ? ReadError::Closed : ReadError::Malformed;
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
    case ConnectionEnd::EntryReset:
        return "entry-ended";
    }
    return "unknown";
}

DownstreamConnection::DownstreamConnection(asio::ip::tcp::socket socket)
    : m_stream(std::move(socket))
{
    boost::system::error_code ec;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    auto timeout = static_cast<int>(writeTimeout.count());
    m_stream.socket().set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(timeout), ec);
}

asio::awaitable<ReadError> DownstreamConnection::readRequest(const ClientLimits& limits, ClientRequest& request)
{
    boost::system::error_code ec;
    m_state = State::Idle;
    m_buffer.max_size(std::max(limits.maximumHeaderBytes + process::maxUnparsedBytes, m_buffer.size()));
    if (m_buffer.size() == 0) {
        m_stream.expires_at(Clock::now() + limits.idleTimeout);
        auto bytes = co_await m_stream.async_read_some(m_buffer.prepare(readSize), redirect_error(use_awaitable, ec));
        m_buffer.commit(bytes);
        if (ec)
            co_return ReadError::Closed;
    }
    m_state = State::Busy;
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.maximumHeaderBytes);
    parser.body_limit(limits.maximumBodyBytes);
    m_stream.expires_at(Clock::now() + limits.headerTimeout);
    co_await http::async_read_header(m_stream, m_buffer, parser, redirect_error(use_awaitable, ec));
    if (!ec && !parser.is_done()) {
        if (parser.get()[http::field::expect] == "100-continue") {
            http::response<http::empty_body> interim(http::status::continue_, parser.get().version());
            co_await http::async_write(m_stream, interim, redirect_error(use_awaitable, ec));
        }
        m_stream.expires_at(Clock::now() + limits.idleTimeout);
        co_await http::async_read(m_stream, m_buffer, parser, redirect_error(use_awaitable, ec));
    }
    if (ec)
        co_return readErrorFrom(ec, true);
    request = parser.release();
    if (!request.keep_alive())
        m_mustClose = true;
    co_return ReadError::None;
}

void DownstreamConnection::checkWritten(const boost::system::error_code& ec)
{
    if (ec == beast::error::timeout)
        m_end = ConnectionEnd::ClientStalled;
    if (ec)
        throw boost::system::system_error(ec);
}

asio::awaitable<void> DownstreamConnection::writeResponse(ClientResponse& response)
{
    boost::system::error_code ec;
    m_stream.expires_at(Clock::now() + writeTimeout);
    response.keep_alive(!m_mustClose);
    co_await http::async_write(m_stream, response, redirect_error(use_awaitable, ec));
    checkWritten(ec);
}

asio::awaitable<void> DownstreamConnection::writeHead(ResponseFields head)
{
    boost::system::error_code ec;
    http::response<http::empty_body> response(std::move(head));
    response.keep_alive(!m_mustClose);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    m_stream.expires_at(Clock::now() + writeTimeout);
    co_await http::async_write_header(m_stream, serializer, redirect_error(use_awaitable, ec));
    checkWritten(ec);
}

asio::awaitable<void> DownstreamConnection::writeChunk(std::string bytes)
{
    boost::system::error_code ec;
    m_stream.expires_at(Clock::now() + writeTimeout);
    co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(bytes)), redirect_error(use_awaitable, ec));
    checkWritten(ec);
}

asio::awaitable<void> DownstreamConnection::writeLastChunk()
{
    boost::system::error_code ec;
    m_stream.expires_at(Clock::now() + writeTimeout);
    co_await asio::async_write(m_stream, http::make_chunk_last(), redirect_error(use_awaitable, ec));
    checkWritten(ec);
}

asio::awaitable<ConnectionEnd> DownstreamConnection::waitForClose()
{
    auto& socket = m_stream.socket();
    boost::system::error_code ec;
    co_await socket.async_wait(asio::ip::tcp::socket::wait_read, redirect_error(use_awaitable, ec));
    if (m_end)
        co_return *m_end;
    if (ec)
        co_return ConnectionEnd::EntryReset;
    char byte = 0;
    auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size <= 0)
        co_return size == 0 ? ConnectionEnd::ClientClosed : ConnectionEnd::ClientReset;
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
asio::awaitable<void> DownstreamConnection::close()
{
    m_state = State::Closing;
    boost::system::error_code ec;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    m_stream.expires_at(Clock::now() + lingerTimeout);
    while (!ec) {
        m_buffer.clear();
        co_await m_stream.async_read_some(m_buffer.prepare(readSize), redirect_error(use_awaitable, ec));
    }
    m_stream.socket().close(ec);
}

} // namespace swiftloft::gateway
