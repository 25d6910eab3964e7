#pragma once

#include "src/gateway/departures.h"
#include "src/gateway/entry-registry.h"
#include "src/gateway/evacuations.h"
#include "src/gateway/pull-schedule.h"
#include "src/gateway/rank-registry.h"
#include "src/gateway/server-registry.h"
#include "src/gateway/snapshot.h"

#include <functional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace swiftloft::gateway {

namespace control {

/// The store responded to a list call.
struct StoreListed {
    Topic topic { Topic::Configuration };
    PublishedItems items;
};
/// The store responded to a watch call. The response may hold no changes.
struct StoreChanged {
    Topic topic { Topic::Configuration };
    PublishedItems items;
};
/// A call to the store failed.
struct StoreFailed {
    Topic topic { Topic::Configuration };
};
struct HelloReceived {
    Hello hello;
};
struct RankStatusReceived {
    RankStatus status;
};
/// Another entry responded to a pull.
struct PullAnswered {
    Topic topic { Topic::Configuration };
    PublishedItems items;
};
struct PullFailed {
    Topic topic { Topic::Configuration };
};
/// The traffic thread measured the load of the servers of the local data centre.
struct LoadsMeasured {
    std::vector<ServiceLoad> loads;
    /// Demand at the entries of the local data centre, for services that are short of capacity.
    std::vector<ServiceDemand> demands {};
    /// Requests that may have crashed servers: a part of what the traffic thread knows of them.
    std::vector<policy::SuspicionMessage> suspicions {};
};
/// The traffic thread received a response in which a server reported that it is leaving.
struct LeavingReported {
    ServerIncarnation server;
};
/// The process received SIGTERM.
struct StopRequested {
    /// The entry accepts all requests until then.
    TimePoint acceptsUntil {};
};
/// Time passed. Deliver one every `ControlState::tickInterval`.
struct Ticked { };

using Event = std::variant<StoreListed, StoreChanged, StoreFailed, HelloReceived, RankStatusReceived, PullAnswered, PullFailed, LoadsMeasured, LeavingReported, StopRequested, Ticked>;

/// Hand a new snapshot to the traffic thread.
struct PublishSnapshot { };
struct SendHello {
    std::vector<Endpoint> to;
    Hello hello;
};
/// Fetch the documents of a topic from another entry.
struct Pull {
    Endpoint from;
    Topic topic { Topic::Configuration };
};
/// Start or stop watching the store.
struct SetWatching {
    bool isOn { false };
    /// Maximum back-off after calls that failed.
    milliseconds maxBackOff { 0 };
};
struct SendBrief {
    Endpoint to;
    GroupBrief brief;
};

/// Hand to the traffic thread what another entry reports of requests that may have crashed servers.
struct ForwardSuspicions {
    std::vector<policy::SuspicionMessage> suspicions;
};

using Effect = std::variant<PublishSnapshot, SendHello, Pull, SetWatching, SendBrief, ForwardSuspicions>;
using Effects = std::vector<Effect>;

} // namespace control

/// Reducer of the control thread: keeps the configuration, the server list and the fleet membership of one entry. Takes
/// events and returns effects as data; reads no clock and does no I/O. Versions and store positions only increase
/// during its lifetime.
class ControlState {
public:
    static constexpr milliseconds tickInterval { 50 };
    /// Interval between hellos. A peer's newer configuration is announced within this interval, and all peers learn
    /// within it that an entry is stopping.
    static constexpr milliseconds helloInterval { 400 };
    static constexpr milliseconds minWatchTime { 3000 };
    /// A starting entry does not call the store for this long. By then a neighbour that has both documents has usually
    /// sent them, and this entry knows whether it is one of those that watch. The store would otherwise serve a list of
    /// all servers to each entry of a fleet that starts together.
    static constexpr milliseconds startupNeighbourDelay { 150 };
    /// Replaces `startupNeighbourDelay` while no other entry is known: all entries of the fleet may be starting.
    static constexpr milliseconds startupSeedDelay { 300 };
    /// A starting entry calls the store after this time if it has heard of no entry that the store responds to.
    static constexpr milliseconds startupPeerTimeout { 700 };
    /// Interval between hellos while no other entry is known.
    static constexpr milliseconds startupHelloInterval { 50 };
    /// Delay before the first backup, an entry that watches in place of others that the store rejects, and additional
    /// delay of each further one. By then a backup knows whether the store serves those before it, so that a store that
    /// rejects some entries is not called by all.
    static constexpr milliseconds backupWatchDelay { 500 };
    static constexpr milliseconds backupWatchInterval { 100 };
    /// Maximum back-off of the first watching entries of a data centre after failed calls. It is low because they must
    /// notice within half a second that the store is reachable again.
    static constexpr milliseconds firstWatcherMaxBackOff { 400 };
    /// The same for backups. While the store is down, all entries of the fleet become backups.
    static constexpr milliseconds backupMaxBackOff { 4000 };
    /// Maximum delay until this entry reports to its peers that the store has started or stopped responding to it. The
    /// two topics usually change together, and the delay lets one hello report both.
    static constexpr milliseconds watchChangeHelloDelay { 50 };
    /// A starting entry relies on any peer when neither the store nor an entry that it responds to has confirmed its
    /// documents for this long. A store that is down must not keep the fleet from starting.
    static constexpr milliseconds startupStoreTimeout { 1500 };
    /// Interval at which briefs are sent to agents, so that they know which entries to send their rank status to.
    static constexpr milliseconds briefInterval { 1000 };
    /// Delay of a brief after a rank has opened in a new epoch. The other ranks open at the same moment and are covered
    /// by the same brief.
    static constexpr milliseconds newEpochBriefDelay { 40 };
    /// Minimum time from the start of an entry to its first brief. By then the entry has received hellos from the
    /// others. Without this delay, all entries of a large fleet would consider themselves relays of their data centre
    /// (the entries that agents report to), and every agent would send its rank status to all of them.
    static constexpr milliseconds startupBriefDelay { 150 };
    /// Minimum interval between announcements of closed or slow ranks. The ranks of a group close and open within about
    /// 50 ms.
    static constexpr milliseconds degradedHelloInterval { 50 };
    /// Lifetime of the load reported by another data centre. The load is sent with every hello to another data centre.
    /// Each entry receives seven of these hellos a second, and one from a given one of five data centres every six
    /// tenths of a second.
    static constexpr milliseconds remoteLoadLifetime { 3000 };
    /// Lifetime of the demand reported by another data centre, which is sent with the load.
    static constexpr milliseconds remoteDemandLifetime { 1500 };
    /// Maximum number of local entries that are notified immediately of a newer document. Each of them fetches it and
    /// notifies as many others. If all were notified immediately, 29 of them would share one link for a document of
    /// hundreds of kilobytes.
    static constexpr std::size_t maxUrgentLocalHellos { 8 };

    using Decoders = Protocol;

    ControlState(EntryMember self, std::vector<Endpoint> seeds, std::size_t minEntries, Decoders decoders, policy::Generator generator, TimePoint now);

    control::Effects apply(TimePoint now, const control::Event& event);

    Snapshot snapshot(TimePoint now) const;
    const Evacuations& evacuations() const { return m_evacuations; }
    /// Returns the documents of a topic for pulls by other entries; `nullopt` while this entry has none.
    std::optional<PublishedItems> published(Topic topic) const;

private:
    void onListed(TimePoint now, const control::StoreListed& event);
    void onChanged(TimePoint now, const control::StoreChanged& event);
    void onStoreAnswered(TimePoint now, Topic topic);
    void onStoreFailed(TimePoint now, Topic topic);
    void onPullAnswered(TimePoint now, const control::PullAnswered& event);
    void checkForStoreRestore(TimePoint now, StoreEra era);
    /// Position up to which the server list is known.
    StorePosition knownServerPosition() const { return std::max(m_servers.position(), m_lastServerChange); }
    void applyConfiguration(const PublishedItem& item, std::string_view source);
    void applyServerChange(const PublishedItem& item, TimePoint now);
    std::optional<BackendServer> decodeServer(const PublishedItem& item, TimePoint now);
    std::vector<BackendServer> decodeServers(const PublishedItems& items, TimePoint now);
    void cacheDocument(const PublishedItem& item, const BackendServer& decoded);
    void cacheDocuments(const PublishedItems& items, const std::vector<BackendServer>& decoded);
    void logIgnoredChange(const PublishedItem& item) const;
    void logRejectedEntry(const PublishedItem& item, std::string_view problem);
    void logRejectedEvacuations(const PublishedItems& items);
    void markEvacuationsChanged(bool isChanged);
    /// Sets what only this entry knows of a listed server: that it is leaving, evacuated or cold after an evacuation.
    void addLocalKnowledge(TimePoint now, BackendServer& server) const;
    bool isServiceKnown(const BackendServer& server) const;
    void pullIfBehind(TimePoint now, const Hello& hello, control::Effects& effects);
    void onHello(TimePoint now, const Hello& hello, control::Effects& effects);
    void onRankStatus(TimePoint now, const RankStatus& status);
    void sendBriefs(TimePoint now, control::Effects& effects);
    Hello makeHello(TimePoint now, std::size_t maxMembers);
    /// Adds the document versions, the leaving servers and the closed and slow ranks known to this entry.
    Hello withLocalState(TimePoint now, Hello out) const;
    void announceDegradedRanks(TimePoint now, control::Effects& effects);
    void tick(TimePoint now, control::Effects& effects);
    /// Records that the servers or their state in the list changed.
    void markServersChanged();
    void recordDraining(TimePoint now, std::span<const BackendServer> servers);
    void markLeavingChanged(bool isChanged);
    void applyLeaving(TimePoint now, const Hello& hello);
    StorePosition listedPosition(const BackendServer& server) const;
    void updateDepartures(TimePoint now);
    void updateWatching(TimePoint now, control::Effects& effects);
    /// True if this entry must watch the store now. Records since when its data centre has needed it to.
    bool isWatchNeeded(TimePoint now);
    /// True if the documents of this starting entry are as new as those that an entry had that the store responds to.
    bool isConfirmedByPeer() const;
    /// True if the documents of this starting entry are recent enough to serve requests.
    bool mayUseDocuments(TimePoint now) const;
    void announceChanges(TimePoint now, control::Effects& effects);
    std::vector<BackendServer> usableServers() const;
    void sendHello(TimePoint now, control::Effects& effects);
    void updateReadiness(TimePoint now);

    EntryRegistry m_entries;
    ServerRegistry m_servers;
    std::size_t m_minEntries;
    Decoders m_decoders;
    policy::Generator m_generator;

    std::shared_ptr<const Configuration> m_configuration;
    PublishedItem m_configurationItem;
    std::map<std::string, PublishedItem> m_serverItems;
    /// Rejected list entries by name, with the revision that was last logged.
    std::map<std::string, std::uint64_t> m_loggedRejections;
    /// Position of the last known change of the server list.
    StorePosition m_lastServerChange;
    bool m_hasServers { false };

    Evacuations m_evacuations;
    /// True while a change of the evacuations has not been announced to other entries yet.
    bool m_isEvacuationChanged { false };
    /// Invalid evacuations by name, with the revision that was last logged.
    std::map<std::string, std::uint64_t> m_loggedEvacuations;
    Departures m_departures;
    bool m_isLeavingChanged { false };
    /// True while `m_departures` has not been given the current server list.
    bool m_isServerListChanged { false };

    std::map<Topic, bool> m_isStoreUnreachable;
    bool m_hasStoreAnswered { false };
    TimePoint m_startedAt;
    TimePoint m_startupStoreDeadline;
    PullSchedule m_pulls;
    TimePoint m_nextHelloAt;
    TimePoint m_nextBriefAt;
    RankRegistry m_ranks;
    /// True while a change of closed or slow ranks has not been announced to other entries yet. `m_degradedAnnouncedAt`
    /// is the time of the last announcement.
    bool m_isDegradedChanged { false };
    TimePoint m_degradedAnnouncedAt;
    std::vector<ServiceLoad> m_ownLoads;
    std::vector<ServiceDemand> m_ownDemands;
    std::vector<policy::SuspicionMessage> m_suspicions;
    struct ReportedLoads {
        std::vector<ServiceLoad> loads;
        std::vector<ServiceDemand> demands;
        TimePoint receivedAt;
    };
    std::map<DataCentreName, ReportedLoads> m_remoteLoads;
    TimePoint m_briefNotBefore;
    bool m_isLeaving { false };
    bool m_servesWhileLeaving { false };
    TimePoint m_acceptsUntil;
    bool m_isReady { false };
    /// Versions in the last immediate announcement to peers.
    ConfigurationVersion m_announcedVersion;
    StorePosition m_announcedServers;
    bool m_isWatching { false };
    milliseconds m_maxBackOff { 0 };
    /// Since when the data centre has needed this entry to watch; unset while it does not.
    std::optional<TimePoint> m_watchNeededSince;
    /// Versions of the documents in the first hello received from an entry that the store responds to. Later hellos
    /// don't count: while servers start, the list changes faster than it can be fetched.
    struct WatcherDocuments {
        ConfigurationVersion configuration;
        StorePosition servers;
    };
    std::optional<WatcherDocuments> m_watcherDocuments;
    /// An entry that has started to watch the store continues until this time. Otherwise it would stop and start again,
    /// and list everything twice, when its peers are silent for a short time.
    TimePoint m_minWatchUntil;
    bool m_isSnapshotChanged { true };
};

} // namespace swiftloft::gateway
