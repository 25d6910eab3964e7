#pragma once

#include "src/gateway/control-message.h"

#include <swiftloft/policy/random.h>

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::gateway {

/// Entries of the fleet as this entry sees them: membership by gossiped heartbeat counters.
///
/// Nothing is elected, and no two views need to agree. Pure: time and randomness come with each call.
class EntryRegistry {
public:
    /// An entry whose heartbeat has not advanced for this long is not offered to clients. By then four hellos in a row
    /// were lost, which happens once in a million on a lossy link.
    static constexpr milliseconds silenceTimeout { 1800 };
    /// An entry whose heartbeat has not advanced for this long is removed. The time need not cover a partition of an
    /// hour: entries never stop contacting the configured seeds and find each other again through them.
    static constexpr milliseconds removalTimeout { 120'000 };
    /// An entry belongs to the roster of its data centre for this long after it has fallen silent. A partition of the
    /// fleet is usually shorter, so that the rosters on both sides stay equal.
    static constexpr milliseconds rosterRetention { 30'000 };
    /// Replaces `silenceTimeout` for remote entries in a fleet too large for every entry to send hellos to every other.
    /// Their heartbeats arrive indirectly, which takes up to twenty rounds. Clients are sent there only when their own
    /// data centre is lost.
    static constexpr milliseconds indirectSilenceTimeout { 8000 };
    /// Local entries that get a hello in each round: all of them up to this bound, and in a larger data centre all of
    /// them in turn. Four rounds fit into `silenceTimeout`, so local entries stay in sight up to four times this number.
    static constexpr std::size_t maxLocalHellosPerRound { 40 };
    /// Hellos to remote entries fill a round up to this number, which in a small fleet reaches all entries.
    static constexpr std::size_t minHellosPerRound { 10 };
    /// Remote entries that get a hello in each round even if the local ones use up `minHellosPerRound`. A hello to a
    /// remote entry carries `membersPerHello` members; in a fleet of hundreds of entries these hellos are most of the
    /// control traffic.
    static constexpr std::size_t minRemoteHellosPerRound { 3 };
    static constexpr std::size_t membersPerHello { 12 };
    /// Members sent in one hello to an entry that knows few.
    static constexpr std::size_t membersPerWelcome { 40 };

    /// Number of entries of a data centre that watch the store. Not every entry does, because a pending watch counts as
    /// a call to the store, whose rate limits grow more slowly than the fleet. With two watchers, one remains when the
    /// other fails.
    static constexpr std::size_t watchersPerDataCentre { 2 };
    /// Entries of a data centre that receive the rank status of agents and pass it on to the other local entries.
    static constexpr std::size_t relaysPerDataCentre { 2 };
    /// Load updates go to all entries while there are at most this many of them, and only to local entries in a larger
    /// fleet. When 149 entries sent their updates to all others, the updates filled the links of 40 Mbit/s.
    static constexpr std::size_t maxLoadBroadcastEntries { 30 };

    EntryRegistry(EntryMember self, std::vector<Endpoint> seeds);

    void onHello(const Hello& hello, TimePoint now);
    void setState(EntryState state) { m_self.state = state; }
    /// How long this entry still accepts all requests while it is leaving.
    void setAcceptsFor(milliseconds time) { m_self.acceptsFor = time; }
    void setWatching(bool isWatching) { m_self.isWatching = isWatching; }
    /// True when the data centre needs this entry to watch the platform's store: of the entries that come before it by
    /// address, fewer than `watchersPerDataCentre` report that the store responds to them.
    ///
    /// Entries may know different sets of entries and so disagree about who watches. That does no harm: too many
    /// watchers cost calls, and too few make other entries watch.
    bool shouldWatch(TimePoint now) const;
    /// Position of this entry among the backups, which watch in place of others: zero for the first
    /// `watchersPerDataCentre` entries of the data centre by address, which are none, and one for the next.
    std::size_t backupPosition(TimePoint now) const;
    /// True when agents must send their rank status to this entry: it is one of the first `relaysPerDataCentre` of its
    /// data centre by address. As with watching, it does no harm if entries disagree.
    bool isRelay(TimePoint now) const;
    /// True when load updates are exchanged within the data centre only.
    bool isLoadSharedLocally(TimePoint now) const;

    /// Increments the entry's own heartbeat. Call it once a round. If a hello to a remote entry carried a heartbeat
    /// that the local entries have not received, indirect reports of it would keep a dead entry alive for its local
    /// peers.
    void beginRound() { ++m_self.heartbeat; }
    /// Returns a hello with a random sample of at most `maxMembers` known entries, local ones first.
    Hello makeHello(std::size_t maxMembers, policy::Generator& generator) const;
    /// Returns the reply to an entry that has just started: a hello with members of its data centre first.
    Hello makeWelcome(const EntryMember& newcomer, policy::Generator& generator) const;
    /// Recipients of the hellos of one round.
    struct Targets {
        /// Local entries. They receive each other's hellos, so hellos to them carry no members.
        std::vector<Endpoint> local;
        /// A random sample of the remote entries, and the seeds that are unknown or silent.
        std::vector<Endpoint> remote;
    };
    Targets nextTargets(TimePoint now, policy::Generator& generator) const;
    /// True for the sender of a hello that knows less than half of the entries known here, which means that it has just
    /// started.
    bool isNewcomer(const Hello& hello) const { return 2 * hello.knownPeers < m_peers.size(); }

    const EntryMember& self() const { return m_self; }
    /// Other entries whose heartbeat advanced within `silenceTimeout`, or `indirectSilenceTimeout` where that applies.
    std::vector<EntryMember> alive(TimePoint now) const;
    /// Other entries that are leaving and still accept all requests.
    std::vector<LeavingEntry> acceptingLeavers(TimePoint now) const;
    /// Control addresses of the entries of this data centre, including this one, whose heartbeat advanced within
    /// `rosterRetention`. Entries of one data centre that have been up for some rounds agree on it.
    std::vector<Endpoint> localRoster(TimePoint now) const;
    /// Largest number of entries ever known at once, including this one.
    std::size_t peakEntryCount() const { return m_peakEntryCount; }
    std::size_t peerCount() const { return m_peers.size(); }
    /// True while this entry knows no other, though its settings name some.
    bool awaitsPeers() const { return m_peers.empty() && !m_seeds.empty(); }
    /// True for the data centre of this entry.
    bool isLocal(const DataCentreName& dataCentre) const { return dataCentre == m_self.dataCentre; }

private:
    struct Peer {
        EntryMember member;
        TimePoint updatedAt;
    };

    void update(const EntryMember& member, TimePoint now);
    /// Returns a random sample of the known entries: those of `preferredDataCentre` first, then local ones.
    std::vector<EntryMember> sampleMembers(std::size_t maxMembers, const DataCentreName& preferredDataCentre, policy::Generator& generator) const;
    Hello helloWith(std::vector<EntryMember> members) const;
    bool isAlive(const Peer& peer, TimePoint now) const;
    bool precedesThis(const Peer& peer, TimePoint now) const;
    /// Number of local entries that are alive, not leaving and come before this one by address.
    std::size_t precedingEntries(TimePoint now) const;

    EntryMember m_self;
    std::vector<Endpoint> m_seeds;
    std::map<Endpoint, Peer> m_peers;
    std::size_t m_peakEntryCount { 1 };
};

} // namespace swiftloft::gateway
