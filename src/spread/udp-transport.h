#pragma once

#include <swiftloft/membership/message.h>
#include <swiftloft/result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace swiftloft::spread {

using membership::PeerAddress;

/// "IP:port" as an endpoint; none when it isn't one.
std::optional<boost::asio::ip::udp::endpoint> endpointOf(const PeerAddress& peer);

struct UdpCounters {
    std::uint64_t sentDatagrams { 0 };
    std::uint64_t sentBytes { 0 }; ///< Payload; IP and UDP headers add 28 bytes a datagram.
    std::uint64_t receivedDatagrams { 0 };
    std::uint64_t receivedBytes { 0 };
    std::uint64_t malformed { 0 };
};

/// Sends and takes gossip datagrams. Loss is normal: what can't be sent now is dropped.
class UdpTransport : public std::enable_shared_from_this<UdpTransport> {
public:
    using Handler = std::function<void(const PeerAddress& from, const membership::Message&)>;

    /// Fails with `Unavailable` when `endpoint` can't be bound.
    static Result<std::shared_ptr<UdpTransport>> create(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& endpoint, Handler handler);

    void send(const PeerAddress& to, const membership::Message& message);
    void stop();

    boost::asio::ip::udp::endpoint localEndpoint() const { return m_socket.local_endpoint(); }
    const UdpCounters& counters() const { return m_counters; }

private:
    UdpTransport(boost::asio::io_context& io, Handler handler);

    void receive();
    void take(std::size_t size);

    boost::asio::ip::udp::socket m_socket;
    Handler m_handler;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::byte, 2048> m_buffer {};
    std::unordered_map<PeerAddress, boost::asio::ip::udp::endpoint> m_endpoints;
    UdpCounters m_counters;
};

} // namespace swiftloft::spread
