#pragma once

#include "src/agent/background-planner.h"
#include "src/agent/engine-order-client.h"
#include "src/agent/group-member.h"

#include <swiftloft/membership/view.h>
#include <swiftloft/settings/tree.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <memory>
#include <optional>

namespace swiftloft::agent {

/// Makes the agent a member of its rank group and, at rank 0, plans the group's expert maps. Belongs to the control thread.
///
/// Starts once the published list gives this agent a group and a rank and the settings tree gives the group's sizes. The
/// sizes then stay the same for the lifetime of the process.
class MapControl {
public:
    struct Options {
        /// Id of this agent in the published list.
        std::string self;
        Incarnation incarnation;
        /// Address of the agent: receives messages of the group over UDP and calls of entries over TCP.
        boost::asio::ip::tcp::endpoint rpc;
        boost::asio::ip::tcp::endpoint engine;
    };

    MapControl(boost::asio::io_context& ioContext, const Options& options);
    ~MapControl();

    /// `setSettings` and `setView` throw `Exception` when the UDP address for messages of the group can't be bound.
    void setSettings(const settings::Tree& tree);
    void setView(const std::shared_ptr<const membership::View>& view);
    void stop();

    /// Returns the status page.
    std::string toJson() const;

private:
    void startMemberIfReady();
    void startMember(const membership::ListedInstance& listed, const settings::GroupSettings& settings);
    void updateAddresses();
    void onPlanned(const PlannedMap& planned);
    void updatePlanning();
    void tick();

    boost::asio::io_context& m_ioContext;
    Options m_options;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const membership::View> m_view;
    std::optional<settings::Tree> m_settings;
    bool m_isStopped { false };
    /// Why the agent has not joined the group or does not plan maps; empty when there is no problem.
    std::string m_problem;
    settings::GroupSettings m_groupSettings;
    std::unique_ptr<EngineOrderClient> m_orderClient;
    std::unique_ptr<GroupMember> m_member;
    /// Exists at rank 0 only.
    std::unique_ptr<BackgroundPlanner> m_backgroundPlanner;
};

} // namespace swiftloft::agent
