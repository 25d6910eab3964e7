#pragma once

#include <swiftloft/membership/message.h>
#include <swiftloft/membership/view.h>
#include <swiftloft/result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// How settings and the instance list reach every process, and the node that a process embeds for it.
namespace swiftloft::spread {

/// Whether a settings tree may be put in force. A pure function of the bytes, so that all nodes decide alike.
struct Validity {
    bool isValid { true };
    std::string problem;
};

struct ControlNodeOptions {
    membership::ListedInstance self; ///< As the published list will name this process; `peer` is bound for UDP and TCP.
    Incarnation incarnation;
    boost::asio::ip::tcp::endpoint platform;
    membership::Topology topology;
    /// Peers to ask before the first instance list has come; needed only to start while the platform is down.
    std::vector<membership::PeerAddress> seeds;
    std::uint64_t randomSeed { 0 };
};

/// What a process does with what its node learns. All are called on the control thread; any may be empty.
struct ControlNodeHooks {
    std::function<Validity(std::string_view)> checkSettings;
    /// A settings tree is in force here. Revisions only rise.
    std::function<void(Revision, const std::shared_ptr<const std::string>&)> onSettings;
    std::function<void(const std::shared_ptr<const membership::View>&)> onViewChanged;
    /// Settings and instance list are held and checked against peers: the process may take traffic. Called once.
    std::function<void()> onReady;
    /// The list or a peer says that this process is leaving (or `leave()` was called). Called once.
    std::function<void()> onLeaving;
    /// A published tree was refused; the last good one stays in force.
    std::function<void(Revision, const std::string& problem)> onSettingsRefused;
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
    /// Ends all I/O of the node. No hook is called any more.
    virtual void stop() = 0;

    virtual std::shared_ptr<const membership::View> view() const = 0;
    virtual std::optional<Revision> settingsRevision() const = 0;
    virtual bool isReady() const = 0;
};

} // namespace swiftloft::spread
