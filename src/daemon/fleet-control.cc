#include "src/daemon/fleet-control.h"

#include <fmt/format.h>

namespace swiftloft::daemon {

namespace {

std::string toText(const process::Endpoint& endpoint)
{
    auto address = endpoint.address().to_string();
    return fmt::format(fmt::runtime(endpoint.address().is_v6() ? "[{}]:{}" : "{}:{}"), address, endpoint.port());
}

spread::ControlNodeOptions nodeOptions(const process::ProcessConfig& config, membership::Role role, Incarnation incarnation)
{
    spread::ControlNodeOptions options;
    options.self.id = membership::NodeId(config.id);
    options.self.role = role;
    options.self.address = membership::TrafficAddress(toText(config.rpc.value_or(config.listen)));
    options.self.peer = membership::PeerAddress(toText(config.peer));
    options.self.dataCentre = config.dataCentre;
    options.incarnation = incarnation;
    options.platform = config.platform;
    options.randomSeed = incarnation.value();
    return options;
}

} // namespace

FleetControl::FleetControl(boost::asio::io_context& ioContext, const process::ProcessConfig& config, membership::Role role, Incarnation incarnation, Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_node(spread::ControlNode::create(nodeOptions(config, role, incarnation), nodeHooks()).value())
{
    m_node->start(ioContext).value();
}

spread::ControlNodeHooks FleetControl::nodeHooks()
{
    spread::ControlNodeHooks hooks;
    hooks.checkSettings = [this](std::string_view text) {
        auto tree = settings::Tree::parse(text).result();
        if (!tree)
            return spread::Validity { false, tree.error().message };
        m_checkedText = text;
        m_checkedTree = *tree;
        return spread::Validity {};
    };
    hooks.onSettings = [this](Revision revision, const std::shared_ptr<const std::string>& text) {
        auto tree = m_checkedTree && m_checkedText == *text ? *m_checkedTree : settings::Tree::parse(*text).result().value();
        m_refused.reset();
        m_hooks.onSettings(revision, tree);
    };
    hooks.onSettingsRefused = [this](Revision revision, const std::string& problem) { m_refused = RefusedRevision { revision, problem }; };
    hooks.onViewChanged = m_hooks.onViewChanged;
    hooks.onLeaving = m_hooks.onLeaving;
    hooks.onNote = m_hooks.onNote;
    return hooks;
}

} // namespace swiftloft::daemon
