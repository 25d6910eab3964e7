#pragma once

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

/// What a request adds to the load of the server that runs it.
struct WorkSize {
    Tokens promptTokens;
};

/// The servers of all services with the work that all entries have there, and the choice among them. Pure: time and
/// randomness come with each call.
class LoadBalancer {
public:
    /// The word of an agent that its group is closed or its engine slow counts for this long; agents repeat it every half
    /// second.
    static constexpr milliseconds degradedReportLifetime { 1200 };
    /// An engine of a rank group that turned a request away is left out for this long: its group is forming, which takes some
    /// 600 ms and is seen by its agent soon, or it is full for the length of a pass or two.
    static constexpr milliseconds rejectionBackOff { 150 };
    /// A server that was silent or lost an answer is left out for this long, doubled with each failure in a row.
    static constexpr milliseconds failureBackOff { 400 };
    static constexpr milliseconds maxFailureBackOff { 3200 };
    /// One that fell silent in the middle of its streams is left out for this long, by the entries that are told as well.
    static constexpr milliseconds stallBackOff { 2000 };
    /// A server has been heard just now if something came from it within this time: several steps of an engine.
    static constexpr milliseconds activityWindow { 300 };

    void setServers(TimePoint now, const Snapshot& snapshot);
    void onLoadUpdate(TimePoint now, const LoadUpdate& news);

    void onAttemptStarted(TimePoint now, const ServerIncarnation& incarnation, const WorkSize& work);
    /// Its prompt has been read.
    void onResponseStarted(const ServerIncarnation& incarnation, const WorkSize& work);
    void onAttemptEnded(const ServerIncarnation& incarnation, const WorkSize& work, bool hasResponseStarted);
    void onFailure(TimePoint now, const ServerIncarnation& incarnation);
    void onSuccess(const ServerIncarnation& incarnation);
    /// Something has come from the server.
    void onActivity(TimePoint now, const ServerIncarnation& incarnation);
    /// The server has fallen silent in the middle of a stream.
    void onStalled(TimePoint now, const ServerIncarnation& incarnation);
    /// When something came from the server last, to this entry.
    TimePoint lastActivityAt(const ServerIncarnation& incarnation) const;
    /// It failed or fell silent of late, by what this entry saw or another one told.
    bool isSuspect(const ServerIncarnation& incarnation, TimePoint now) const;
    /// Another server of the service was heard just now, or has nothing to say to this entry and may be thought well. Ranks of a
    /// group stand still together, so of these only what has come from one counts.
    bool hasActivityElsewhere(const ServiceName& service, const ServerIncarnation& incarnation, TimePoint now) const;
    /// Another server of the service that is not suspect has room.
    bool hasCapacityElsewhere(const ServiceName& service, const ServerIncarnation& incarnation, TimePoint now) const;
    /// Servers that have fallen silent, to be told to other entries.
    std::vector<SilentServer> silentServers(TimePoint now) const;
    /// It did not run a request that it was sent. True when it is a rank, whose group may be forming; one that asks for rest has
    /// said why it turns requests away.
    bool onRejected(TimePoint now, const ServerIncarnation& incarnation);
    /// An answer to a request sent at `sentAt` says whether its server limits requests.
    void onLimitReceived(TimePoint now, const ServerIncarnation& incarnation, TimePoint sentAt, const std::optional<AdvertisedLimit>& limit);
    /// The server has turned a request away and asks this entry for a rest.
    void onBackOffRequested(TimePoint now, const ServerIncarnation& incarnation, const RequestedBackOff& backOff);
    /// When the rest ends that the server has asked this entry for; unset when it has not, or that is over.
    std::optional<TimePoint> backOffEnd(const ServerIncarnation& incarnation, TimePoint now) const;
    /// The server says in an answer that it is leaving. True when it had not said so before.
    bool onLeavingReported(const ServerIncarnation& incarnation);
    /// That the server names; unset where it names none.
    std::optional<RequestRate> limitOf(const ServerIncarnation& incarnation) const;
    const ServerLimits& limits() const { return m_limits; }

    /// Which servers a request may go to.
    struct ServerFilter {
        ServiceName service;
        /// Tried in vain.
        std::span<const ServerIncarnation> excluded;
        /// When set, none but these.
        std::optional<std::span<const ServerIncarnation>> allowed;
    };

    /// Servers that get nothing more for now, by the limits that they name or the rests that they ask for.
    struct Throttling {
        /// True when that goes for every server that the request may go to.
        bool isEveryServer { false };
        /// When the first of them may get something from this entry again.
        TimePoint nextSendAt;
        /// Requests a second that an entry may send on average to those with a limit.
        double rate { 0 };
        /// One of them has asked for a rest.
        bool isBackingOff { false };
    };
    /// Unset while nothing of the kind keeps this entry from a server of the choice; servers tried in vain count.
    std::optional<Throttling> throttling(const ServerFilter& filter, TimePoint now) const;

    /// Another server answers at its address.
    void onReplaced(const ServerIncarnation& incarnation);

    /// The best server with room. Slow ones come behind the others, and those that failed of late last.
    std::optional<BackendServer> choose(const ServerFilter& filter, TimePoint now, policy::Generator& generator) const;
    /// True while there is a server that may get work, with room or not; servers tried in vain count.
    bool hasServer(const ServerFilter& filter) const;
    bool hasServer(const ServiceName& service) const { return hasServer(ServerFilter { service, {}, std::nullopt }); }
    /// True while the service has servers and all of them belong to groups that are forming.
    bool isForming(const ServiceName& service, TimePoint now) const;
    /// Requests that run at the servers of a service, as far as known, over the places that they have.
    double occupancy(const ServiceName& service, TimePoint now) const;

    /// Requests that run at a server, as far as known.
    std::uint32_t runningRequests(const ServerIncarnation& incarnation, TimePoint now) const;

    std::vector<ServerLoad> ownLoads() const;
    /// The data centres at whose servers this entry has requests.
    std::set<DataCentreName> dataCentresUsed() const;
    /// What runs at the servers of the own data centre that may get work, on average, by service.
    std::vector<ServiceLoad> localLoads(TimePoint now) const;

private:
    struct Server {
        BackendServer server;
        ServerHash hash;
        Load ownLoad;
        unsigned failures { 0 };
        TimePoint suspectUntil;
        TimePoint lastActivityAt;
        /// That it fell silent is told until then.
        TimePoint stalledUntil;
        TimePoint rejectingUntil;
        /// Its process has ended: an answer came from another one at its address.
        bool isReplaced { false };
        /// It has said in an answer that it is leaving.
        bool isLeaving { false };
        /// What was said of its rank last, and when, if it was closed or slow.
        std::optional<Snapshot::DegradedReport> degradedReport;
        /// Prompt tokens that cost as much time as one running request does; zero for a plain server.
        double tokensPerRequest { 0 };
        bool isEngine { false };
        /// It is a rank of a group: when the group forms, so do all of its ranks.
        bool isRank { false };
        /// It is in another data centre, whose entries don't tell this one of their loads.
        bool isRemote { false };
        /// What runs there by the word of its data centre, which speaks for all of its servers; unset while it is silent.
        std::optional<ServiceLoad> remoteLoad;
    };

    void logLimit(ServerHash server, std::string_view source) const;
    /// It takes new work as far as it and the list say, now or once its group has formed.
    static bool isUsable(const Server& server);
    bool mayReceiveRequests(const Server& server, TimePoint now) const;
    static bool isCandidate(const Server& server, const ServerFilter& filter);
    bool hasCapacity(const Server& server, const Load& load, TimePoint now) const;
    bool isBackingOff(const Server& server, TimePoint now) const;
    /// When the limit that the server names, and the rest that it has asked for, let this entry send it something; `now` at once.
    TimePoint nextSendTime(const Server& server, TimePoint now) const;
    /// What was said of its rank last, while that counts; null otherwise.
    static const Snapshot::DegradedReport* currentDegradedReport(const Server& server, TimePoint now);
    static bool isSlow(const Server& server, TimePoint now);
    Load totalLoad(const Server& server, TimePoint now) const;
    double costOf(const Server& server, const Load& load, TimePoint now) const;

    std::map<ServerIncarnation, Server> m_servers;
    /// What falls silent is forgotten as it is read, which changes no answer.
    mutable PeerLoads m_peerLoads;
    ServerLimits m_limits;
    ServerBackOffs m_backOffs;
};

} // namespace swiftloft::gateway
