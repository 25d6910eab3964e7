#pragma once

#include "src/gateway/admission/free-slots.h"
#include "src/gateway/capacity/service-use.h"
#include "src/gateway/cold-server-limits.h"
#include "src/gateway/homes.h"
#include "src/gateway/peer-loads.h"
#include "src/gateway/server-back-offs.h"
#include "src/gateway/server-limits.h"
#include "src/gateway/snapshot.h"

#include <swiftloft/policy/random.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace swiftloft::gateway {

/// Load that a request adds to the server that runs it.
struct WorkSize {
    Tokens promptTokens;
};

/// Tracks the servers of all services with the load that all entries put on them, and selects servers. Pure: time and
/// randomness are passed in with each call.
class LoadBalancer {
public:
    /// An agent's report that its group is closed or its engine slow is valid for this long; agents repeat it every
    /// half second.
    static constexpr milliseconds degradedReportLifetime { 1200 };
    /// An engine of a rank group that rejected a request is skipped for this long: either its group is forming, which
    /// takes about 600 ms and is soon reported by its agent, or it is full for the length of one or two passes (a pass
    /// is the work between two checks of the engine's queue).
    static constexpr milliseconds rejectionBackOff { 150 };
    /// A server that timed out or lost a response is avoided for this long, doubled with each consecutive failure.
    static constexpr milliseconds failureBackOff { 400 };
    static constexpr milliseconds maxFailureBackOff { 3200 };
    /// A server that fell silent in the middle of its streams is avoided for this long, also by the entries that
    /// receive the report.
    static constexpr milliseconds stallBackOff { 2000 };
    /// A server counts as active if data has arrived from it within this time, which is several steps of an engine.
    static constexpr milliseconds activityWindow { 300 };

    explicit LoadBalancer(const ColdLimitOptions& coldLimits = {}, DataCentreRegions regions = {})
        : m_regions(std::move(regions))
    {
        m_coldLimits.setOptions(coldLimits);
    }

    void setServers(TimePoint now, const Snapshot& snapshot);
    void onLoadUpdate(TimePoint now, const LoadUpdate& update);

    void onAttemptStarted(TimePoint now, const ServerIncarnation& incarnation, const WorkSize& work);
    /// The server has processed the prompt of a request.
    void onResponseStarted(const ServerIncarnation& incarnation, const WorkSize& work);
    void onAttemptEnded(const ServerIncarnation& incarnation, const WorkSize& work, bool hasResponseStarted);
    void onFailure(TimePoint now, const ServerIncarnation& incarnation);
    void onSuccess(const ServerIncarnation& incarnation);
    /// Data has arrived from the server.
    void onActivity(TimePoint now, const ServerIncarnation& incarnation);
    /// The server has fallen silent in the middle of a stream.
    void onStalled(TimePoint now, const ServerIncarnation& incarnation);
    /// When data last arrived from the server at this entry.
    TimePoint lastActivityAt(const ServerIncarnation& incarnation) const;
    /// True if the server recently failed or fell silent, as observed by this entry or reported by another one.
    bool isSuspect(const ServerIncarnation& incarnation, TimePoint now) const;
    /// True if another server of the service in the regions `homes` is active, or is available, not suspect and runs no
    /// request of this entry. A rank without requests of this entry does not count, because the ranks of a group stall
    /// together.
    bool hasActivityElsewhere(const ServiceName& service, const ServerIncarnation& incarnation, TimePoint now, const HomeSet& homes = {}) const;
    /// True if another server of the service in the regions `homes` has capacity and is not suspect.
    bool hasCapacityElsewhere(const ServiceName& service, const ServerIncarnation& incarnation, TimePoint now, const HomeSet& homes = {}) const;
    /// Servers that have fallen silent, to be reported to other entries.
    std::vector<SilentServer> silentServers(TimePoint now) const;
    /// The server did not run a request that was sent to it. Returns true if it is a rank, whose group may be forming;
    /// false for one that requested a back-off, which explains the rejection.
    bool onRejected(TimePoint now, const ServerIncarnation& incarnation);
    /// A response to a request sent at `sentAt` says whether its server limits requests.
    void onLimitReceived(TimePoint now, const ServerIncarnation& incarnation, TimePoint sentAt, const std::optional<AdvertisedLimit>& limit);
    /// The server has rejected a request and requests a back-off from this entry.
    void onBackOffRequested(TimePoint now, const ServerIncarnation& incarnation, const RequestedBackOff& backOff);
    /// End of the back-off that the server requested from this entry; unset if there is none or it is over.
    std::optional<TimePoint> backOffEnd(const ServerIncarnation& incarnation, TimePoint now) const;
    /// The server reports in a response that it is leaving. Returns true for the first such report.
    bool onLeavingReported(const ServerIncarnation& incarnation);
    /// The limit that the server advertises; unset if it advertises none.
    std::optional<RequestRate> limitOf(const ServerIncarnation& incarnation) const;
    const ServerLimits& limits() const { return m_limits; }

    /// Selects the servers that a request may be sent to.
    struct ServerFilter {
        ServiceName service;
        /// Servers on which an attempt has failed.
        std::span<const ServerIncarnation> excluded;
        /// If set, only these servers are allowed.
        std::optional<std::span<const ServerIncarnation>> allowed;
        /// Only servers of these regions are allowed.
        HomeSet homes {};
        /// Prefer the server that runs the fewest requests.
        bool prefersIdle { false };
    };

    /// Describes the servers to which this entry may send nothing for now because of their limits or back-offs, or
    /// because they are cold.
    struct Throttling {
        /// True if this holds for every server that the request may be sent to.
        bool isEveryServer { false };
        /// Earliest time at which this entry may send to one of them again.
        TimePoint nextSendAt;
        /// Requests per second that an entry may send on average to those with a limit.
        double rate { 0 };
        /// True if one of them has requested a back-off.
        bool isBackingOff { false };
    };
    /// Unset if no limit or back-off keeps this entry from a matching server; `filter.excluded` is ignored.
    std::optional<Throttling> throttling(const ServerFilter& filter, TimePoint now) const;

    /// Null if the server is not listed.
    const BackendServer* find(const ServerIncarnation& incarnation) const;
    /// True if the server is listed and has not reported that it is leaving.
    bool isReady(const ServerIncarnation& incarnation) const;
    /// When the server was first listed at this entry; unset if it is not listed.
    std::optional<TimePoint> listedAt(const ServerIncarnation& incarnation) const;
    /// True for a listed server that is no rank of a group.
    bool isPlainServer(const ServerIncarnation& incarnation) const;

    /// Another server responds at this server's address.
    void onReplaced(const ServerIncarnation& incarnation);

    /// Returns the best server with capacity. Slow servers rank behind the others, and servers that failed recently
    /// come last.
    std::optional<BackendServer> choose(const ServerFilter& filter, TimePoint now, policy::Generator& generator) const;
    /// True while there is a matching usable server, whether it has capacity or not; `filter.excluded` is ignored.
    bool hasServer(const ServerFilter& filter) const;
    bool hasServer(const ServiceName& service) const { return hasServer(ServerFilter { service, {}, std::nullopt }); }
    /// True while the service has servers in the regions `homes` and all of them belong to groups that are forming.
    bool isForming(const ServiceName& service, TimePoint now, const HomeSet& homes = {}) const;
    /// Requests running on the servers of a service, as far as known, divided by the number of their slots.
    double occupancy(const ServiceName& service, TimePoint now) const;
    /// Requests that run on the servers of a service that may receive requests, as far as known, and their slots.
    capacity::ServiceUse useOf(const ServiceName& service, TimePoint now) const;

    /// Slots of a service that requests could get now, as far as known.
    admission::FreeSlots freeSlots(const ServiceName& service, TimePoint now) const;

    /// Requests running on a server, as far as known.
    std::uint32_t runningRequests(const ServerIncarnation& incarnation, TimePoint now) const;

    std::vector<ServerLoad> ownLoads() const;
    /// The data centres whose servers run requests of this entry.
    std::set<DataCentreName> dataCentresUsed() const;
    /// Average load of the servers of this data centre that may receive requests, by service.
    std::vector<ServiceLoad> localLoads(TimePoint now) const;

private:
    struct Server {
        BackendServer server;
        ServerHash hash;
        TimePoint listedAt;
        /// Bit of the server's region in `DataCentreRegions`.
        std::uint64_t regionBit { 0 };
        Load ownLoad;
        unsigned failures { 0 };
        TimePoint suspectUntil;
        TimePoint lastActivityAt;
        /// Until this time, other entries are told that the server fell silent.
        TimePoint stalledUntil;
        TimePoint rejectingUntil;
        /// The server's process has ended: another server has responded at its address.
        bool isReplaced { false };
        /// The server has reported in a response that it is leaving.
        bool isLeaving { false };
        /// The latest report that the server's rank is closed or slow.
        std::optional<Snapshot::DegradedReport> degradedReport;
        /// Number of prompt tokens that cost as much time as one running request; zero for a plain server.
        double tokensPerRequest { 0 };
        bool isEngine { false };
        /// The server is a rank of a group: when the group re-forms, all of its ranks do.
        bool isRank { false };
        /// The server is in another data centre, whose entries don't report the load of single servers to this one.
        bool isRemote { false };
        /// Average load reported by the server's data centre for all of its servers; unset while there is no report.
        std::optional<ServiceLoad> remoteLoad;
    };

    void logLimit(ServerHash server, std::string_view source) const;
    /// True if neither the server nor the list rules out new requests, now or once its group has formed.
    static bool isUsable(const Server& server);
    bool mayReceiveRequests(const Server& server, TimePoint now) const;
    static bool isCandidate(const Server& server, const ServerFilter& filter);
    bool hasCapacity(const Server& server, const Load& load, TimePoint now) const;
    bool isBackingOff(const Server& server, TimePoint now) const;
    /// The earliest time at which the server's limits and its back-off let this entry send a request; `now` if it may
    /// send immediately.
    TimePoint nextSendTime(const Server& server, TimePoint now) const;
    /// The latest degraded report of the server's rank while it is valid; null otherwise.
    static const Snapshot::DegradedReport* currentDegradedReport(const Server& server, TimePoint now);
    static bool isSlow(const Server& server, TimePoint now);
    Load totalLoad(const Server& server, TimePoint now) const;
    double costOf(const Server& server, const Load& load, TimePoint now) const;

    DataCentreRegions m_regions;
    std::map<ServerIncarnation, Server> m_servers;
    /// Mutable because reads drop the loads of silent entries, which does not change any result.
    mutable PeerLoads m_peerLoads;
    ServerLimits m_limits;
    ColdServerLimits m_coldLimits;
    ServerBackOffs m_backOffs;
};

} // namespace swiftloft::gateway
