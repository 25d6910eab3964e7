#pragma once

#include "src/gateway/model.h"
#include "src/gateway/protocol.h"

#include <swiftloft/membership/types.h>
#include <swiftloft/policy/crash-quarantine.h>
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

/// Messages that entries and agents exchange in datagrams. Each message is self-contained and is repeated, so that
/// loss, duplication and reordering do no harm.
namespace swiftloft::gateway {

enum class EntryState : std::uint8_t {
    /// Lacks the configuration or the servers that it needs to serve.
    Starting,
    Serving,
    /// Finishes its requests; clients are sent elsewhere.
    Leaving,
};

/// Description of an entry, sent by the entry itself or forwarded by another one.
struct EntryMember {
    /// Address for datagrams and pulls. It identifies the entry.
    Endpoint control;
    Incarnation incarnation;
    /// Incremented by the entry itself in each round of hellos.
    std::uint64_t heartbeat { 0 };
    Endpoint clients;
    DataCentreName dataCentre;
    EntryState state { EntryState::Starting };
    /// The entry watches the platform's store, and the store responds to it.
    bool isWatching { false };
    /// How long a leaving entry still accepts all requests, as of the message. Relative, because the entries have no common
    /// clock.
    milliseconds acceptsFor { 0 };
};

/// Identifies an incarnation of a server by a hash, to keep datagrams small.
using ServerHash = Strong<struct ServerHashTag, std::uint64_t>;
ServerHash hashOf(const ServerIncarnation& incarnation);
/// Identifies an entry by a hash of its control address, which all entries compute in the same way.
membership::NodeKey keyOf(const Endpoint& control);

/// A server that is leaving or has left.
struct LeavingServer {
    ServerHash server;
    /// Time for which this report is still forwarded. Relative, because the entries have no common clock.
    milliseconds remaining { 0 };
    /// Position of the store at which the server was removed from the list; unset if the server itself or the list
    /// reported that it is leaving.
    std::optional<StorePosition> removedAt {};
};

/// An engine whose work takes this many times longer than usual counts as slow: it slows down its whole group.
constexpr double slowPace { 1.25 };

/// A rank whose group does not accept requests or whose engine is slow. It is reported by an entry that receives the
/// status of the rank's agent.
struct DegradedRank {
    Endpoint address;
    /// Time since the agent reported it. Relative, as there is no common clock.
    milliseconds age { 0 };
    /// The rank's group accepts requests.
    bool isOpen { false };
    /// 1 is normal, a higher value is slower.
    double pace { 1 };
    /// The engine's port refuses connections: its process has ended.
    bool hasEngineEnded { false };
};

/// Average load of the servers of a service in one data centre.
struct ServiceLoad {
    ServiceName service;
    /// Requests per server.
    double running { 0 };
    /// Prompt tokens per server, of requests that have not sent their first event.
    double promptTokens { 0 };
};

/// Requests of one priority for a service.
struct PriorityDemand {
    /// Longest time that a report can carry; events longer ago than this count as this long ago.
    static constexpr milliseconds maxAge { 65'535 };

    /// 0 is the most urgent.
    unsigned priority { 0 };
    /// Requests that wait for a server.
    std::uint32_t queued { 0 };
    /// Refused clients that were told to return and have not returned yet.
    std::uint32_t returning { 0 };
    double arrivalsPerSecond { 0 };
    /// Time since a request was last sent to a server, and since one was last refused for lack of capacity. Relative, as
    /// there is no common clock.
    milliseconds sinceAdmitted { maxAge };
    milliseconds sinceRefused { maxAge };

    friend bool operator==(const PriorityDemand&, const PriorityDemand&) = default;
};

/// Work that an organisation's requests have got, in tokens; decays over time.
struct OrganisationUse {
    OrganisationName organisation;
    double work { 0 };

    friend bool operator==(const OrganisationUse&, const OrganisationUse&) = default;
};

/// Requests for a service that an entry, or the entries of a data centre together, have received.
struct ServiceDemand {
    ServiceName service;
    std::vector<PriorityDemand> priorities;
    /// The organisations with the most work.
    std::vector<OrganisationUse> organisations;

    friend bool operator==(const ServiceDemand&, const ServiceDemand&) = default;
};

/// The operator's request to evacuate a data centre: its backend servers receive no new requests.
struct Evacuation {
    DataCentreName dataCentre;
    /// Position of the store at which the operator made the request.
    StorePosition requestedAt;

    friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

/// The evacuations in force as of a position of the store; the report with the higher position is newer.
struct EvacuationReport {
    StorePosition asOf;
    std::vector<Evacuation> evacuations;
};

/// Identifies one formation of a rank group, which ends when any rank restarts.
using GroupEpoch = Strong<struct GroupEpochTag, std::uint64_t>;

struct RankPlace {
    RankIndex rank;
    /// Address of the rank's engine.
    Endpoint address;

    friend bool operator==(const RankPlace&, const RankPlace&) = default;
};

/// A rank group as reported by an entry that its agents report to.
struct GroupStatus {
    EngineGroupName group;
    GroupEpoch epoch;
    /// Time since rank 0 reported it. Relative, as there is no common clock.
    milliseconds age { 0 };
    /// Duration of a pass; 0 while unknown.
    double passMs { 0 };
    /// Load of the most loaded rank relative to the mean; 0 while unknown.
    double imbalance { 0 };
    /// Ranks copy experts for a change of the expert map.
    bool isCopying { false };
    /// Empty in a message that does not repeat them.
    std::vector<RankPlace> ranks;

    friend bool operator==(const GroupStatus&, const GroupStatus&) = default;
};

/// Message that an entry sends to other entries in each round: describes the sender and forwards what it knows of the
/// fleet.
struct Hello {
    EntryMember sender;
    /// Version of the configuration in force; 0 for none.
    std::uint64_t configuration { 0 };
    /// Position of the last change of the server list; 0 for none.
    StorePosition servers;
    std::vector<EntryMember> members;
    std::vector<LeavingServer> leaving;
    /// Number of other entries that the sender knows. A sender that knows few is sent more members.
    std::size_t knownPeers { 0 };
    std::vector<DegradedRank> degraded;
    /// Load in the sender's data centre.
    std::vector<ServiceLoad> loads;
    EvacuationReport evacuations {};
    /// Demand in the sender's data centre.
    std::vector<ServiceDemand> demands {};
    /// Groups whose agents report to the sender.
    std::vector<GroupStatus> groups {};
    /// Requests that may have crashed servers: a part of what the sender knows of them.
    std::vector<policy::SuspicionMessage> suspicions {};
};

struct ServerLoad {
    ServerHash server;
    std::uint16_t running { 0 };
    /// Prompt tokens of the requests that have not sent their first event.
    Tokens promptTokens;
    /// Prompt tokens and expected output tokens of all running requests: the memory that they need.
    Tokens heldTokens {};
};

/// The request limit that a server advertised in its responses, as reported by an entry.
struct LimitReport {
    ServerHash server;
    /// Unset when the server no longer advertises a limit.
    std::optional<RequestRate> rate;
    /// Time since the server advertised it. Relative, as there is no common clock.
    milliseconds age { 0 };
};

/// A server that stalled in the middle of its streams while others went on.
struct SilentServer {
    ServerHash server;
    /// Time for which the server must still be avoided. Relative, as there is no common clock.
    milliseconds remaining { 0 };
};

/// Message from an entry to other entries about the requests that it runs on backend servers, with the request limits
/// and the silent servers that it knows of.
struct LoadUpdate {
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    std::vector<ServerLoad> servers;
    std::vector<LimitReport> limits;
    std::vector<SilentServer> silent;
    /// Demand at the sender.
    std::vector<ServiceDemand> demands {};
    /// What the sender has recently found out about requests that may have crashed servers.
    std::vector<policy::SuspicionMessage> suspicions {};
    /// Suspects that the sender runs now.
    std::vector<Fingerprint> trials {};
};

/// Message from an agent to entries about its engine's rank.
struct RankStatus {
    Endpoint address;
    EngineGroupName group;
    GroupEpoch epoch;
    RankIndex rank;
    std::uint32_t ranks { 0 };
    bool isOpen { false };
    /// 1 is normal, a higher value is slower.
    double pace { 1 };
    /// Start time of the engine's process.
    ServerStartTime startedAt {};
    /// The agent has the addresses of all ranks of its group. Until this is set, the briefs sent to the agent contain
    /// the addresses.
    bool knowsGroup { false };
    /// Duration of a pass; 0 while unknown.
    double passMs { 0 };
    /// Only from rank 0: load of the most loaded rank relative to the mean; 0 while unknown.
    double imbalance { 0 };
    /// Only from rank 0: ranks copy experts for a change of the expert map.
    bool isCopying { false };
    /// Tokens in the engine's memory that can't yield, and tokens that fit into it; a capacity of 0 is unknown.
    Tokens heldTokens {};
    Tokens tokenCapacity {};
    /// The engine's port refuses connections: its process has ended. The other fields are those of its last report.
    bool hasEngineEnded { false };
};

struct RankAddress {
    RankIndex rank;
    Endpoint address;
};

/// Message from an entry to an agent about the rank group of the agent's engine. It also shows the agent which entry to
/// report to.
struct GroupBrief {
    EngineGroupName group;
    GroupEpoch epoch;
    /// Carries only the sizes of the expert map, the cost of copies and the time of a step without requests.
    EngineTraits traits;
    std::vector<RankAddress> ranks;
};

using ControlMessage = std::variant<Hello, LoadUpdate, RankStatus, GroupBrief>;

/// Kinds of messages, in the order of `ControlMessage`.
enum class ControlMessageKind : std::uint8_t {
    Hello,
    Load,
    Rank,
    Brief,
};
std::string_view toString(ControlMessageKind kind);
ControlMessageKind kindOf(const ControlMessage& message);

std::string encode(const ControlMessage& message);
/// Fails with `MalformedInput` on input that `encode` could not have produced.
Result<ControlMessage> decodeMessage(const void* bytes, std::size_t size);

std::string encode(const PublishedItems& items);
Result<PublishedItems> decodeItems(std::string_view bytes);

/// UDP socket for control messages. Belongs to the thread of its `io_context`.
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

    /// Drops the message if it can't be sent immediately.
    void send(const Endpoint& to, const ControlMessage& message);
    void sendEncoded(const Endpoint& to, ControlMessageKind kind, const std::string& bytes);
    /// Sets a function that is called for each datagram sent or received, to measure how much of a link the control
    /// traffic takes.
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
    std::vector<char> m_buffer;
};

} // namespace swiftloft::gateway
