#pragma once

#include "src/spread/control.h"
#include "src/spread/udp-transport.h"

#include <swiftloft/membership/view.h>
#include <swiftloft/result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// How settings and the instance list reach every process, and the node that a process embeds for it.
namespace swiftloft::spread {

struct ControlNodeOptions {
    membership::ListedInstance self; ///< As the published list will name this process; `peer` is bound for UDP and TCP.
    Incarnation incarnation;
    boost::asio::ip::tcp::endpoint platform;
    membership::Topology topology;
    /// Peers to ask before the first instance list has come; needed only to start while the platform is down.
    std::vector<PeerAddress> seeds;
    std::uint64_t randomSeed { 0 };
    ControlOptions control;
};

/// What a process does with what its node learns. All are called on the control thread; any may be empty.
struct ControlNodeHooks {
    using PullDone = std::function<void(BlobsPulled)>;

    std::function<Validity(std::string_view)> checkSettings;
    /// A settings tree is in force here. Revisions only rise.
    std::function<void(Revision, const std::shared_ptr<const std::string>&)> onSettings;
    std::function<void(const std::shared_ptr<const membership::View>&)> onViewChanged;
    /// Settings and instance list are held and checked against peers: the process may take traffic. Called once.
    std::function<void()> onReady;
    /// The list or a peer says that this process is leaving, or `leave()` was called. Called once.
    std::function<void()> onLeaving;
    /// Bytes that another process of the fleet sent with `sendNote`. They may be lost, doubled, late and reordered.
    std::function<void(std::string_view note)> onNote;
    /// A published tree was refused; the last good one stays in force.
    std::function<void(Revision, const std::string& problem)> onSettingsRefused;
    /// Pulls parts from a peer over a transport of the embedder's, who then answers its peers with `serve()`. When empty,
    /// the node listens on TCP at its peer address and pulls by itself.
    std::function<void(const PeerAddress&, const std::vector<Digest>&, TimePoint deadline, PullDone)> pull;
};

/// For metrics and `status` pages.
struct ControlNodeStatus {
    std::array<Revision, membership::topicCount> revisions;
    std::array<bool, membership::topicCount> isWatcher {};
    std::array<SpreadCounters, membership::topicCount> spread;
    membership::DetectorCounters detector;
    UdpCounters udp;
    std::uint64_t pullBytes { 0 }; ///< Sent and received.
    std::size_t memoryBytes { 0 };
    bool isReady { false };
    bool isLeaving { false };
};

/// Membership, spread of settings and of the instance list, for one process. Runs on the control thread only.
class ControlNode {
public:
    /// Fails with `InvalidArgument` when an id or address is missing or makes no sense.
    static Result<std::shared_ptr<ControlNode>> create(ControlNodeOptions options, ControlNodeHooks hooks);
    virtual ~ControlNode() = default;

    /// Binds the peer address and begins. Fails with `Unavailable` when the address can't be bound.
    virtual Result<void> start(boost::asio::io_context& io) = 0;
    /// Tells the fleet at once that this process takes no new work. The node goes on until `stop`.
    virtual void leave() = 0;
    /// Sends bytes, `membership::maxNoteBytes` at most, to a listed process; best effort.
    virtual void sendNote(const membership::NodeId& to, std::string note) = 0;
    /// Ends all I/O of the node. No hook is called any more.
    virtual void stop() = 0;
    /// Answers a peer's pull that came over the embedder's transport.
    virtual BlobsPulled serve(const std::vector<Digest>& digests) = 0;

    virtual std::shared_ptr<const membership::View> view() const = 0;
    virtual std::optional<Revision> settingsRevision() const = 0;
    virtual bool isReady() const = 0;
    virtual ControlNodeStatus status() const = 0;
};

} // namespace swiftloft::spread
