#include "src/gateway/control-message.h"

#include <fmt/format.h>

namespace swiftloft::gateway {

namespace asio = boost::asio;

namespace {

/// Maximum payload of a UDP datagram, in bytes.
constexpr std::size_t maxDatagram = 65'000;

} // namespace

ControlSocket::ControlSocket(asio::io_context& ioContext, Handler handler)
    : m_socket(ioContext)
    , m_handler(std::move(handler))
    , m_buffer(maxDatagram)
{
}

Result<std::shared_ptr<ControlSocket>> ControlSocket::create(asio::io_context& ioContext, const Endpoint& endpoint, Handler handler)
{
    std::shared_ptr<ControlSocket> socket(new ControlSocket(ioContext, std::move(handler)));
    UdpEndpoint local(endpoint.address(), endpoint.port());
    boost::system::error_code ec;
    socket->m_socket.open(local.protocol(), ec);
    if (!ec)
        socket->m_socket.bind(local, ec);
    if (!ec)
        socket->m_socket.non_blocking(true, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, fmt::format("can't bind UDP {}:{}: {}", endpoint.address().to_string(), endpoint.port(), ec.message()) };
    socket->receive();
    return socket;
}

void ControlSocket::send(const Endpoint& to, const ControlMessage& message)
{
    sendEncoded(to, kindOf(message), encode(message));
}

void ControlSocket::sendEncoded(const Endpoint& to, ControlMessageKind kind, const std::string& bytes)
{
    if (bytes.size() > maxDatagram)
        return;
    // The protocol tolerates lost datagrams: every message is repeated, and receivers judge by what arrives.
    boost::system::error_code ec;
    m_socket.send_to(asio::buffer(bytes), UdpEndpoint(to.address(), to.port()), 0, ec);
    if (m_onDatagram)
        m_onDatagram(kind, Direction::Sent, bytes.size());
}

void ControlSocket::stop()
{
    m_handler = nullptr;
    boost::system::error_code ec;
    m_socket.close(ec);
}

Endpoint ControlSocket::localEndpoint() const
{
    auto local = m_socket.local_endpoint();
    return { local.address(), local.port() };
}

void ControlSocket::receive()
{
    auto buffer = asio::buffer(m_buffer);
    m_socket.async_receive_from(buffer, m_sender, [self = shared_from_this()](boost::system::error_code ec, std::size_t size) {
        if (!self->m_handler || ec == asio::error::operation_aborted)
            return;
        // Other errors report an earlier datagram that had no receiver; the socket remains usable.
        if (!ec) {
            auto message = decodeMessage(self->m_buffer.data(), size);
            if (message && self->m_onDatagram)
                self->m_onDatagram(kindOf(*message), Direction::Received, size);
            if (message)
                self->m_handler(self->m_sender, std::move(*message));
        }
        if (self->m_handler)
            self->receive();
    });
}

} // namespace swiftloft::gateway
