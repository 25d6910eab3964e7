#pragma once

#include "src/gateway/model.h"
#include "src/gateway/protocol.h"

#include <swiftloft/membership/types.h>
#include <swiftloft/result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What entries and agents tell each other in datagrams. Each message stands for itself and is repeated, so that lost,
/// doubled and overtaken ones do no harm.
namespace swiftloft::gateway {

enum class EntryState : std::uint8_t {
    /// Knows too little to serve.
    Starting,
    Serving,
    /// Finishes what it has; clients are sent elsewhere.
    Leaving,
};

/// An entry as it describes itself, or as another one passes it on.
struct EntryMember {
    /// Address for datagrams and pulls; names the entry.
    Endpoint control;
    Incarnation incarnation;
    /// Counted up by the entry itself with each hello.
    std::uint64_t heartbeat { 0 };
    Endpoint clients;
    DataCentreName dataCentre;
    EntryState state { EntryState::Starting };
    /// It follows the platform's store, and the store answers it.
    bool isWatching { false };
};

/// Names a life of a server by a hash, to keep datagrams small.
using ServerHash = Strong<struct ServerHashTag, std::uint64_t>;
ServerHash hashOf(const ServerIncarnation& life);
/// Names an entry by a hash of its control address, which all entries compute alike.
membership::NodeKey keyOf(const Endpoint& control);

/// A server that leaves or has gone.
struct LeavingServer {
    ServerHash server;
    /// How long this word is still passed on; there is no common clock.
    milliseconds remaining { 0 };
    /// When its entry was removed from the list; unset where the server itself or the list has said that it leaves.
    std::optional<StorePosition> removedAt {};
};

/// An engine whose work takes so much longer than usual is slow: it paces its whole group.
constexpr double slowPace { 1.25 };

/// A rank whose group does not take requests, or whose engine is slow, as an entry that hears its agent passes it on.
struct DegradedRank {
    Endpoint address;
    /// Since the agent said so; there is no common clock.
    milliseconds age { 0 };
    /// Its group takes requests.
    bool isOpen { false };
    /// 1 is normal, above it slower.
    double pace { 1 };
};

/// What runs at the servers of a service in one data centre, on average.
struct ServiceLoad {
    ServiceName service;
    /// Requests a server.
    double running { 0 };
    /// A server; of requests that have not sent their first event.
    double promptTokens { 0 };
};

struct Hello {
    EntryMember sender;
    /// Version of the configuration in force; 0 for none.
    std::uint64_t configuration { 0 };
    /// Of the last change of the server list; 0 for none.
    StorePosition servers;
    std::vector<EntryMember> members;
    std::vector<LeavingServer> leaving;
    /// Other entries that the sender knows. One that knows few is told of more.
    std::size_t knownPeers { 0 };
    std::vector<DegradedRank> degraded;
    /// Of the sender's data centre.
    std::vector<ServiceLoad> loads;
};

struct ServerLoad {
    ServerHash server;
    std::uint16_t running { 0 };
    /// Of the requests that have not sent their first event.
    Tokens promptTokens;
};

/// What a server's answers said of its limit, as an entry passes it on.
struct LimitReport {
    ServerHash server;
    /// Unset: the server names no limit any more.
    std::optional<RequestRate> rate;
    /// Since the server said so; there is no common clock.
    milliseconds age { 0 };
};

/// A server that fell silent in the middle of its streams while others went on.
struct SilentServer {
    ServerHash server;
    /// How long it is still to be avoided; there is no common clock.
    milliseconds remaining { 0 };
};

struct LoadUpdate {
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    std::vector<ServerLoad> servers;
    std::vector<LimitReport> limits;
    std::vector<SilentServer> silent;
};

/// Names one formation of a rank group: it ends when any rank restarts.
using GroupEpoch = Strong<struct GroupEpochTag, std::uint64_t>;

struct RankStatus {
    Endpoint address;
    EngineGroupName group;
    GroupEpoch epoch;
    RankIndex rank;
    std::uint32_t ranks { 0 };
    bool isOpen { false };
    /// 1 is normal, above it slower.
    double pace { 1 };
    /// Start of the engine's process.
    ServerStartTime startedAt {};
    /// The agent has the addresses of all ranks of its group; until then it is sent them.
    bool knowsGroup { false };
};

struct RankAddress {
    RankIndex rank;
    Endpoint address;
};

struct GroupBrief {
    EngineGroupName group;
    GroupEpoch epoch;
    /// Only the sizes of the expert map, the cost of copies and the time of a step without requests are carried.
    EngineTraits traits;
    std::vector<RankAddress> ranks;
};

using ControlMessage = std::variant<Hello, LoadUpdate, RankStatus, GroupBrief>;

/// The kinds of message, in the order of `NewsMessage`.
enum class ControlMessageKind : std::uint8_t {
    Hello,
    Load,
    Rank,
    Brief,
};
std::string_view toString(ControlMessageKind kind);
ControlMessageKind kindOf(const ControlMessage& message);

std::string encode(const ControlMessage& message);
/// Fails with `MalformedInput` on anything that `encode` could not have made. `words` must be aligned to 8 bytes.
Result<ControlMessage> decodeMessage(const void* words, std::size_t size);

std::string encode(const PublishedItems& items);
Result<PublishedItems> decodeItems(std::string_view bytes);

/// A UDP socket for news. Belongs to the thread of its `io_context`.
class ControlSocket : public std::enable_shared_from_this<ControlSocket> {
public:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;
    using Handler = std::function<void(const UdpEndpoint& from, ControlMessage message)>;
    enum class Direction : std::uint8_t {
        Sent,
        Received,
    };
    using OnDatagram = std::function<void(ControlMessageKind kind, Direction direction, std::size_t bytes)>;

    /// Fails with `Unavailable` when `endpoint` can't be bound.
    static Result<std::shared_ptr<ControlSocket>> create(boost::asio::io_context& ioContext, const Endpoint& endpoint, Handler handler);

    /// What can't be sent now is dropped.
    void send(const Endpoint& to, const ControlMessage& message);
    void sendEncoded(const Endpoint& to, ControlMessageKind kind, const std::string& bytes);
    /// Called for each datagram sent or read; what control takes of a link is seen by it.
    void setOnDatagram(OnDatagram hook) { m_onDatagram = std::move(hook); }
    void stop();
    Endpoint localEndpoint() const;

private:
    ControlSocket(boost::asio::io_context& ioContext, Handler handler);
    void receive();

    boost::asio::ip::udp::socket m_socket;
    Handler m_handler;
    OnDatagram m_onDatagram;
    UdpEndpoint m_sender;
    /// Words, as Cap'n Proto reads in place.
    std::vector<std::uint64_t> m_buffer;
};

} // namespace swiftloft::gateway
