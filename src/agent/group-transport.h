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

/// Requests the content of a map.
struct MapRequest {
    MapVersion version;
};

/// Message between the agents of a rank group.
using GroupMessage = std::variant<expertmap::RankOrder, expertmap::RankReport, expertmap::RankHello, MapRequest, expertmap::VersionedMap, expertmap::RankLoads, MapDifference>;

/// Exchanges Cap'n Proto datagrams between the agents of a rank group. Must be used on the control thread only.
///
/// Uses datagrams instead of calls on connections: the protocol recovers from lost, duplicated and reordered messages,
/// every message fits one datagram, and there is no connection that could stall unnoticed and be found dead only after
/// a timeout.
class GroupTransport : public std::enable_shared_from_this<GroupTransport> {
public:
    using Endpoint = boost::asio::ip::udp::endpoint;
    using Handler = std::function<void(const Endpoint& from, const GroupMessage&)>;

    /// Maximum payload of a UDP datagram, less room for the envelope. A larger expert map can't be sent.
    static constexpr std::size_t maxDatagramBytes = 65'000;

    /// Fails with `Unavailable` if `endpoint` can't be bound.
    static Result<std::shared_ptr<GroupTransport>> create(boost::asio::io_context& ioContext, const Endpoint& endpoint, std::string group, Handler handler);

    /// Sends `message` without blocking. The message is dropped if it can't be sent immediately or exceeds
    /// `maxDatagramBytes`.
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
    /// Consists of words because Cap'n Proto reads messages in place.
    std::vector<std::uint64_t> m_buffer;
};

} // namespace swiftloft::agent
