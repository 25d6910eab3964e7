#pragma once

#include "src/process/process-config.h"
#include "src/spread/control-node.h"

#include <swiftloft/settings/tree.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// What entry and agent processes have in common beyond their own jobs.
namespace swiftloft::daemon {

/// A published revision that was refused; the one in force stays.
struct RefusedRevision {
    Revision revision;
    std::string problem;
};

/// A daemon's part in the fleet: its control node, set up from the process file, with settings handed on as parsed
/// trees. Belongs to the control thread.
class FleetControl {
public:
    struct Hooks {
        std::function<void(Revision, const settings::Tree&)> onSettings;
        std::function<void(const std::shared_ptr<const membership::View>&)> onViewChanged;
        /// The published list or a peer says that this process is leaving.
        std::function<void()> onLeaving;
        /// Bytes that another process of the fleet sent with `sendNote`.
        std::function<void(std::string_view)> onNote;
    };

    /// Throws `Exception` when the peer address can't be bound.
    FleetControl(boost::asio::io_context& ioContext, const process::ProcessConfig& config, membership::Role role, Incarnation incarnation, Hooks hooks);

    void leave() { m_node->leave(); }
    void stop() { m_node->stop(); }
    /// Best effort; see `spread::ControlNode::sendNote`.
    void sendNote(const std::string& to, std::string note) { m_node->sendNote(membership::NodeId(to), std::move(note)); }

    std::shared_ptr<const membership::View> view() const { return m_node->view(); }
    /// The newest revision that was refused and has not been followed by a good one.
    const std::optional<RefusedRevision>& refused() const { return m_refused; }

private:
    spread::ControlNodeHooks nodeHooks();

    Hooks m_hooks;
    /// The tree of the text checked last: what is put in force next is most often the same text.
    std::string m_checkedText;
    std::optional<settings::Tree> m_checkedTree;
    std::optional<RefusedRevision> m_refused;
    std::shared_ptr<spread::ControlNode> m_node;
};

} // namespace swiftloft::daemon
