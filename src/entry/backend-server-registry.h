#pragma once

#include "src/entry/admission-controller.h"
#include "src/entry/events.h"

#include <swiftloft/membership/view.h>
#include <swiftloft/policy/home-selector.h>
#include <swiftloft/policy/router.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <memory>
#include <optional>

namespace swiftloft::entry {

/// A backend server as this entry knows it: listed, linked, and known to its service's router while it may get work.
struct BackendServer {
    BackendServerId id;
    ServiceName service;
    DataCentreName dataCentre;
    boost::asio::ip::tcp::endpoint endpoint;
    std::optional<Incarnation> incarnation;
    policy::MintEpoch epoch;
    double tokensPerSecond { 0 };
    /// Bit n is set while the link of worker n works.
    std::uint64_t linkedWorkers { 0 };
    bool isEngineUp { false };
    /// A suspect has the engine to itself: nothing else may go there for now.
    bool isReserved { false };
    bool isLeaving { false };
    std::optional<policy::ServerHandle> handle;
};

/// One router for each service over the backend servers that may get new work.
///
/// Three sources say that a server must get none: the published list, what its own agent reports, and what peers say.
/// Whichever says so first wins; within one incarnation nothing takes it back.
class BackendServerRegistry {
public:
    explicit BackendServerRegistry(DataCentreName dataCentre);

    /// Opens links to servers that are new in `view` and closes those that are gone from it.
    void onView(const membership::View& view, TimePoint now, Effects& effects);
    void onReport(const LinkReported& event);
    /// An agent has refused work because it is leaving, its engine is down or a suspect has it to itself; its next report
    /// may say otherwise.
    void onRefusal(const BackendServerId& id, AttemptReason reason);
    void onLinkDown(const LinkDown& event);

    /// Null for a service without any listed server.
    policy::Router* router(const ServiceName& service);
    const policy::Router* router(const ServiceName& service) const;
    /// Regions of the data centres, from the settings. Routers that exist keep what they were made with.
    void setTopology(membership::Topology topology) { m_topology = std::move(topology); }
    /// Null when the server is not listed any more.
    const BackendServer* find(const BackendServerId& id) const;
    /// The server behind a handle of `service`'s router.
    const BackendServer* find(const ServiceName& service, policy::ServerHandle handle);
    /// Ids of the servers of a service that are up and not leaving, reserved ones included.
    std::vector<BackendServerId> upServers(const ServiceName& service) const;
    /// True when a server of the service gets no work only because a suspect has it to itself.
    bool hasReservedServer(const ServiceName& service) const;
    /// Servers of a service that may get new work, and their speeds added up.
    ServiceCapacity capacityOf(const ServiceName& service) const;
    /// The homes of client keys of a service; null for a service without any listed server.
    policy::HomeSelector* homeSelector(const ServiceName& service);

    const boost::unordered_flat_map<BackendServerId, BackendServer, std::hash<BackendServerId>>& servers() const { return m_servers; }

private:
    void add(const membership::ViewMember& member, Effects& effects);
    void updateRouter(BackendServer& server);
    void updateHomeSelectors(Revision revision, TimePoint now);

    std::size_t m_entries { 1 };
    DataCentreName m_dataCentre;
    membership::Topology m_topology;
    boost::unordered_flat_map<BackendServerId, BackendServer, std::hash<BackendServerId>> m_servers;
    boost::unordered_flat_map<ServiceName, policy::Router, std::hash<ServiceName>> m_routers;
    boost::unordered_flat_map<ServiceName, policy::HomeSelector, std::hash<ServiceName>> m_homeSelectors;
    std::optional<Revision> m_listRevision;
};

} // namespace swiftloft::entry
