#pragma once

#include "src/agent/engine-orders.h"
#include "src/agent/group-transport.h"
#include "src/agent/map-planning.h"
#include "src/agent/map-store.h"

#include <swiftloft/expertmap/coordinator.h>
#include <swiftloft/expertmap/rank-agent.h>
#include <swiftloft/membership/view.h>
#include <swiftloft/settings/tree.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace swiftloft::agent {

/// An agent's part in the expert maps of its rank group: the `RankAgent` of its engine and, at rank 0, the group's
/// `Coordinator`, with their effects carried out over the network. Belongs to the control thread.
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
    /// The group as it was when this agent took its part.
    struct Part;

    void beginIfKnown();
    void begin(const membership::ListedInstance& listed, const settings::GroupSettings& settings);
    void learnAddresses();
    void startCoordinator();
    void carryOut(const expertmap::rank::Effects& effects);
    void carryOut(const expertmap::coordination::Effects& effects);
    void perform(const expertmap::rank::WriteEngine& effect);
    void perform(const expertmap::rank::SendReport& effect);
    void perform(const expertmap::rank::SendHello& effect);
    void perform(const expertmap::rank::OrderRefused& effect);
    void perform(const expertmap::coordination::SendOrder& effect);
    void perform(const expertmap::coordination::ChangeFinished& effect);
    void perform(const expertmap::coordination::ChangePostponed& effect);
    void perform(const expertmap::coordination::SteppedDown& effect);
    void onMessage(const GroupTransport::Endpoint& from, const GroupMessage& message);
    void onRankEvent(const expertmap::rank::Event& event);
    void onCoordinatorEvent(const expertmap::coordination::Event& event);
    void onPlanned(const PlannedMap& planned);
    void fetchMap(MapVersion version);
    void sendToRank(RankIndex rank, const GroupMessage& message);
    void tick();
    void followPlanning();
    void logAdmission(const std::optional<expertmap::EngineStatus>& before);
    void logHold(TimePoint now);
    boost::json::object coordinatorJson() const;

    boost::asio::io_context& m_ioContext;
    Options m_options;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const membership::View> m_view;
    std::optional<settings::Tree> m_settings;
    bool m_isStopped { false };
    /// Why there is no part in the group, or no plans; empty when all is well.
    std::string m_problem;
    std::unique_ptr<Part> m_part;
};

} // namespace swiftloft::agent
