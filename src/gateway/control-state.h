#pragma once

#include "src/gateway/departures.h"
#include "src/gateway/entry-registry.h"
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

/// The store answered a list call.
struct StoreListed {
    Topic topic { Topic::Configuration };
    PublishedItems items;
};
/// The store answered a watch call; there may be no changes.
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
/// Another entry answered a pull.
struct PullAnswered {
    Topic topic { Topic::Configuration };
    PublishedItems items;
};
struct PullFailed {
    Topic topic { Topic::Configuration };
};
/// The traffic thread knows what runs at the servers of the own data centre.
struct LoadsMeasured {
    std::vector<ServiceLoad> loads;
};
/// The traffic thread has heard from a server that it is leaving.
struct LeavingReported {
    ServerIncarnation server;
};
/// SIGTERM.
struct StopRequested { };
/// Time passed. Deliver one every `ControlState::tickEvery`.
struct Ticked { };

using Event = std::variant<StoreListed, StoreChanged, StoreFailed, HelloReceived, RankStatusReceived, PullAnswered, PullFailed, LoadsMeasured, LeavingReported, StopRequested, Ticked>;

/// The traffic thread is to see a new snapshot.
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
/// Begin or cease to follow the store. Ceasing comes only once both topics are known.
struct SetWatching {
    bool isOn { false };
};
struct SendBrief {
    Endpoint to;
    GroupBrief brief;
};

using Effect = std::variant<PublishSnapshot, SendHello, Pull, SetWatching, SendBrief>;
using Effects = std::vector<Effect>;

} // namespace control

/// The control thread's reducer: configuration, server list and fleet of one entry. Events in, effects out as data; reads
/// no clock and does no I/O. Versions and positions in the store only go up within its life.
class ControlState {
public:
    static constexpr milliseconds tickInterval { 50 };
    /// Between hellos: news of a peer's newer configuration travels within it, and an entry that stops is known to all
    /// after it.
    static constexpr milliseconds helloInterval { 400 };
    static constexpr milliseconds minWatchTime { 3000 };
    /// That this entry is answered by the store, or not any more, is told within this: the two topics change together.
    static constexpr milliseconds watchChangeHelloDelay { 50 };
    /// An entry that starts takes the word of its peers when the store has not answered for this long: a healthy store
    /// answers in milliseconds, and one that is down must not keep the fleet from starting.
    static constexpr milliseconds startupStoreTimeout { 1500 };
    /// Agents are spoken to this often, so that they know whom to tell of their engines.
    static constexpr milliseconds briefInterval { 1000 };
    /// And so soon after a rank has come up in a new epoch: the others come up in the same moment and go into one brief.
    static constexpr milliseconds newEpochBriefDelay { 40 };
    /// An entry speaks to agents this long after its start at the earliest. By then it has heard of the others; all of a
    /// large fleet would otherwise take themselves for the relays of their data centre, and be answered by every agent.
    static constexpr milliseconds startupBriefDelay { 150 };
    /// Which ranks are closed or slow is told at most this often: the ranks of a group close and open within some 50 ms.
    static constexpr milliseconds degradedHelloInterval { 50 };
    /// What a data centre said of its load counts for this long. It is said with every hello to another one, of which each
    /// entry gets seven a second, from one of five data centres every six tenths of a second.
    static constexpr milliseconds remoteLoadLifetime { 3000 };
    /// Entries of the data centre that are told at once of a newer document. Each fetches it and tells as many: told at
    /// once to all, 29 of them would share one link for a document of hundreds of kilobytes.
    static constexpr std::size_t maxUrgentLocalHellos { 8 };

    using Decoders = Protocol;

    ControlState(EntryMember self, std::vector<Endpoint> seeds, std::size_t minEntries, Decoders decoders, policy::Generator generator, TimePoint now);

    control::Effects apply(TimePoint now, const control::Event& event);

    Snapshot snapshot(TimePoint now) const;
    /// The documents of a topic as other entries pull them; nothing while none is held.
    std::optional<PublishedItems> published(Topic topic) const;

private:
    void onListed(TimePoint now, const control::StoreListed& event);
    void onChanged(TimePoint now, const control::StoreChanged& event);
    void onStoreAnswered(TimePoint now, Topic topic);
    void onStoreFailed(TimePoint now, Topic topic);
    void onPullAnswered(TimePoint now, const control::PullAnswered& event);
    void checkForStoreRestore(TimePoint now, StoreEra era);
    /// Up to where the server list is known.
    StorePosition knownServerPosition() const { return std::max(m_servers.position(), m_lastServerChange); }
    void applyConfiguration(const PublishedItem& item, std::string_view source);
    void applyServerChange(const PublishedItem& item, TimePoint now);
    std::optional<BackendServer> decodeServer(const PublishedItem& item);
    std::vector<BackendServer> decodeServers(const PublishedItems& items);
    void cacheDocument(const PublishedItem& item, const BackendServer& decoded);
    void cacheDocuments(const PublishedItems& items, const std::vector<BackendServer>& decoded);
    void logIgnoredChange(const PublishedItem& item) const;
    void logRejectedEntry(const PublishedItem& item, std::string_view problem);
    bool isServiceKnown(const BackendServer& server) const;
    void pullIfBehind(TimePoint now, const Hello& hello, control::Effects& effects);
    void onHello(TimePoint now, const Hello& hello, control::Effects& effects);
    void onRankStatus(TimePoint now, const RankStatus& status);
    void sendBriefs(TimePoint now, control::Effects& effects);
    Hello makeHello(TimePoint now, std::size_t maxMembers);
    /// Adds what this entry knows of documents, leaving servers, closed and slow ranks.
    Hello withLocalState(TimePoint now, Hello out) const;
    void announceDegradedRanks(TimePoint now, control::Effects& effects);
    void tick(TimePoint now, control::Effects& effects);
    /// Servers or what the list says of them changed.
    void markServersChanged();
    void recordDraining(TimePoint now, std::span<const BackendServer> servers);
    void markLeavingChanged(bool isChanged);
    void applyLeaving(TimePoint now, const Hello& hello);
    StorePosition listedPosition(const BackendServer& server) const;
    void updateDepartures(TimePoint now);
    void updateWatching(TimePoint now, control::Effects& effects);
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
    /// Entries of the list that name no server, by name, with the revision that was logged last.
    std::map<std::string, std::uint64_t> m_loggedRejections;
    /// Of the last change of the server list that is known.
    StorePosition m_lastServerChange;
    bool m_hasServers { false };

    Departures m_departures;
    bool m_isLeavingChanged { false };
    /// `m_departures` has not seen the server list as it is now.
    bool m_isServerListChanged { false };

    std::map<Topic, bool> m_isStoreUnreachable;
    bool m_hasStoreAnswered { false };
    TimePoint m_startupStoreDeadline;
    PullSchedule m_pulls;
    TimePoint m_nextHelloAt;
    TimePoint m_nextBriefAt;
    RankRegistry m_ranks;
    /// Closed or slow ranks changed and this was not told yet; and when it may be told.
    bool m_isDegradedChanged { false };
    TimePoint m_degradedAnnouncedAt;
    std::vector<ServiceLoad> m_ownLoads;
    struct ReportedLoads {
        std::vector<ServiceLoad> loads;
        TimePoint receivedAt;
    };
    std::map<DataCentreName, ReportedLoads> m_remoteLoads;
    TimePoint m_briefNotBefore;
    bool m_isLeaving { false };
    bool m_isReady { false };
    /// What peers were last told at once.
    ConfigurationVersion m_announcedVersion;
    StorePosition m_announcedServers;
    bool m_isWatching { true };
    /// An entry that has watched since less than this ago goes on, so that a short quiet of its peers does not make it
    /// list everything twice.
    TimePoint m_minWatchUntil;
    bool m_isSnapshotChanged { true };
};

} // namespace swiftloft::gateway
