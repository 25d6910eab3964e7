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

/// State of a listed backend server as this entry knows it.
struct BackendServer {
    BackendServerId id;
    ServiceName service;
    DataCentreName dataCentre;
    boost::asio::ip::tcp::endpoint endpoint;
    std::optional<Incarnation> incarnation;
    policy::MintEpoch epoch;
    double tokensPerSecond { 0 };
    /// Bit n is set while the link of worker n is up.
    std::uint64_t linkedWorkers { 0 };
    bool isEngineUp { false };
    /// The engine is reserved for a suspected request, that is one that was running on a server when its engine
    /// crashed. Such a request runs alone, so no other request may be sent to the server.
    bool isReserved { false };
    bool isLeaving { false };
    /// Set while the server is registered with its service's router, that is while it may get new work.
    std::optional<policy::ServerHandle> handle;
};

/// The known backend servers. Has one router per service, which chooses among the servers that may get new work.
///
/// Three sources can mark a server as leaving: the published list, the report of its own agent, and the peers. The
/// first mark takes effect and stays for the rest of the server's incarnation.
class BackendServerRegistry {
public:
    explicit BackendServerRegistry(DataCentreName dataCentre);

    /// Opens links to servers that are new in `view` and closes links to servers that are no longer in it.
    void onView(const membership::View& view, TimePoint now, Effects& effects);
    void onReport(const LinkReported& event);
    /// Records why an agent refused work: it is leaving, its engine is down, or its engine is reserved for a suspected
    /// request. If the engine is up again or no longer reserved, the agent's next report clears that state; the mark as
    /// leaving stays.
    void onRefusal(const BackendServerId& id, AttemptReason reason);
    void onLinkDown(const LinkDown& event);

    /// Returns null until a server of the service has been available for work.
    policy::Router* router(const ServiceName& service);
    const policy::Router* router(const ServiceName& service) const;
    /// Sets the regions of the data centres from the settings. Existing routers keep the region they were created with.
    void setTopology(membership::Topology topology) { m_topology = std::move(topology); }
    /// Returns null if the server is no longer listed.
    const BackendServer* find(const BackendServerId& id) const;
    /// Returns the server for a handle of the service's router, or null.
    const BackendServer* find(const ServiceName& service, policy::ServerHandle handle);
    /// Returns the ids of the service's servers that are up and not leaving, including reserved servers.
    std::vector<BackendServerId> upServers(const ServiceName& service) const;
    /// True if at least one server of the service is up but gets no new work because it is reserved for a suspected
    /// request.
    bool hasReservedServer(const ServiceName& service) const;
    /// Returns the number of the service's servers that may get new work, and the sum of their throughput.
    ServiceCapacity capacityOf(const ServiceName& service) const;
    /// Returns the selector of the homes of client keys, or null for a service that has had no listed server. The homes
    /// of a key are the agents that grant claims for it, so that a request with a client's own key runs at most once.
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
