#pragma once

#include "src/agent/map-difference.h"

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/expertmap/protocol.h>
#include <swiftloft/result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace swiftloft::agent {

/// Asks for the content of a map.
struct MapRequest {
    MapVersion version;
};

/// What the agents of a rank group tell each other.
using GroupMessage = std::variant<expertmap::RankOrder, expertmap::RankReport, expertmap::RankHello, MapRequest, expertmap::VersionedMap, expertmap::RankLoads, MapDifference>;

/// Cap'n Proto datagrams between the agents of a rank group. Belongs to the control thread.
///
/// Datagrams rather than calls on connections: the protocol repeats whatever is lost, doubled or overtaken, every
/// message fits one, and there is no connection that could go silent unnoticed and be found dead only after a timeout.
class GroupTransport : public std::enable_shared_from_this<GroupTransport> {
public:
    using Endpoint = boost::asio::ip::udp::endpoint;
    using Handler = std::function<void(const Endpoint& from, const GroupMessage&)>;

    /// Payload of a UDP datagram, less room for the envelope. An expert map above it can't be sent.
    static constexpr std::size_t maxDatagramBytes = 65'000;

    /// Fails with `Unavailable` when `endpoint` can't be bound.
    static Result<std::shared_ptr<GroupTransport>> create(boost::asio::io_context& ioContext, const Endpoint& endpoint, std::string group, Handler handler);

    /// What can't be sent now is dropped.
    void send(const Endpoint& to, const GroupMessage& message);
    void stop();

    Endpoint localEndpoint() const { return m_socket.local_endpoint(); }

private:
    GroupTransport(boost::asio::io_context& ioContext, std::string group, Handler handler);

    void receive();
    void onDatagram(std::size_t size);
    std::optional<GroupMessage> decode(std::size_t size) const;

    boost::asio::ip::udp::socket m_socket;
    std::string m_group;
    Handler m_handler;
    Endpoint m_sender;
    /// Words, as Cap'n Proto reads in place.
    std::vector<std::uint64_t> m_buffer;
};

} // namespace swiftloft::agent
