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

/// An agent's part in the expert maps of its rank group, as the published list and the settings tree give it. Belongs to
/// the control thread.
///
/// Begins once the published list gives this agent a group and a rank and the settings tree gives the group its sizes.
/// The sizes then hold for the life of the process.
class MapControl {
public:
    struct Options {
        /// Id in the published list.
        std::string self;
        Incarnation incarnation;
        /// Messages of the group come to this address over UDP; entries use it over TCP.
        boost::asio::ip::tcp::endpoint rpc;
        boost::asio::ip::tcp::endpoint engine;
    };

    MapControl(boost::asio::io_context& ioContext, const Options& options);
    ~MapControl();

    /// These two throw `Exception` when the address for messages of the group can't be bound.
    void setSettings(const settings::Tree& tree);
    void setView(const std::shared_ptr<const membership::View>& view);
    void stop();

    /// The status page.
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
    /// Why there is no part in the group, or no plans; empty when all is well.
    std::string m_problem;
    settings::GroupSettings m_groupSettings;
    std::unique_ptr<EngineOrderClient> m_orderClient;
    std::unique_ptr<GroupMember> m_member;
    /// At rank 0 only.
    std::unique_ptr<BackgroundPlanner> m_backgroundPlanner;
};

} // namespace swiftloft::agent
