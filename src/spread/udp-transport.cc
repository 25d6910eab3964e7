#include "src/spread/udp-transport.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <charconv>

namespace swiftloft::spread {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t maxCachedEndpoints = 16'384;

} // namespace

std::optional<udp::endpoint> endpointOf(const PeerAddress& peer)
{
    auto& text = peer.value();
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    auto* end = text.data() + text.size();
    auto [last, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || last != end)
        return std::nullopt;
    boost::system::error_code ec;
    auto address = asio::ip::make_address(text.substr(0, colon), ec);
    if (ec)
        return std::nullopt;
    return udp::endpoint(address, port);
}

UdpTransport::UdpTransport(asio::io_context& io, Handler handler)
    : m_socket(io)
    , m_handler(std::move(handler))
{
}

Result<std::shared_ptr<UdpTransport>> UdpTransport::create(asio::io_context& io, const udp::endpoint& endpoint, Handler handler)
{
    std::shared_ptr<UdpTransport> transport(new UdpTransport(io, std::move(handler)));
    boost::system::error_code ec;
    transport->m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        transport->m_socket.bind(endpoint, ec);
    if (!ec)
        transport->m_socket.non_blocking(true, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, fmt::format("can't bind UDP {}:{}: {}", endpoint.address().to_string(), endpoint.port(), ec.message()) };
    transport->receive();
    return transport;
}

void UdpTransport::send(const PeerAddress& to, const membership::Message& message)
{
    auto it = m_endpoints.find(to);
    if (it == m_endpoints.end()) {
        auto endpoint = endpointOf(to);
        if (!endpoint)
            return;
        if (m_endpoints.size() >= maxCachedEndpoints)
            m_endpoints.clear();
        it = m_endpoints.emplace(to, *endpoint).first;
    }
    auto bytes = membership::encode(message);
    boost::system::error_code ec;
    m_socket.send_to(asio::buffer(bytes), it->second, 0, ec);
    if (ec)
        return;
    ++m_counters.sentDatagrams;
    m_counters.sentBytes += bytes.size();
}

void UdpTransport::stop()
{
    m_handler = nullptr;
    boost::system::error_code ec;
    m_socket.close(ec);
}

void UdpTransport::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [self = shared_from_this()](boost::system::error_code ec, std::size_t size) {
        if (!self->m_handler || ec == asio::error::operation_aborted)
            return;
        // Other errors tell of an earlier datagram that found no receiver; the socket goes on.
        if (!ec)
            self->take(size);
        if (self->m_handler)
            self->receive();
    });
}

void UdpTransport::take(std::size_t size)
{
    ++m_counters.receivedDatagrams;
    m_counters.receivedBytes += size;
    auto message = membership::decode(std::span(m_buffer).first(size));
    if (!message) {
        ++m_counters.malformed;
        return;
    }
    // A copy: the handler may stop the transport, which lets go of it.
    auto handler = m_handler;
    handler(PeerAddress(fmt::format("{}:{}", m_sender.address().to_string(), m_sender.port())), *message);
}

} // namespace swiftloft::spread
