#pragma once

#include "src/gateway/control-message.h"

#include <swiftloft/policy/random.h>

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::gateway {

/// The entries of the fleet as this one sees them: membership by gossiped heartbeat counters.
///
/// Nothing is elected and no view needs to agree with another. Pure: time and randomness come with each call.
class EntryRegistry {
public:
    /// An entry whose heartbeat has not advanced for this long is not handed to clients: four hellos were lost in a row,
    /// which a lossy link does once in a million.
    static constexpr milliseconds silenceTimeout { 1800 };
    /// And after this long it is forgotten. Long enough that entries find each other again after an hour's partition is
    /// not needed: seeds are asked for ever.
    static constexpr milliseconds removalTimeout { 120'000 };
    /// The same for entries of other data centres in a fleet too large for every entry to greet every other. Their counts
    /// come by hearsay, which takes up to twenty rounds; clients are sent there only when their own data centre is lost.
    static constexpr milliseconds indirectSilenceTimeout { 8000 };
    /// Entries of the own data centre that get a hello in each round: all of them, up to a bound.
    static constexpr std::size_t maxLocalHellosPerRound { 40 };
    /// Hellos of a round, in a small fleet; and those to other data centres in a large one. A hello to another data centre
    /// passes so many members on: in a fleet of hundreds they are most of what control sends.
    static constexpr std::size_t minHellosPerRound { 10 };
    static constexpr std::size_t minRemoteHellosPerRound { 3 };
    static constexpr std::size_t membersPerHello { 12 };
    /// Members told at once to an entry that knows few.
    static constexpr std::size_t membersPerWelcome { 40 };

    /// A waiting watch counts as a call at the store, whose rates grow more slowly than the fleet. Two a data centre
    /// survive each other.
    static constexpr std::size_t watchersPerDataCentre { 2 };
    static constexpr std::size_t minWatchers { 3 };
    /// Entries of a data centre that agents tell of their ranks, and that pass it on to the others of the data centre.
    static constexpr std::size_t relaysPerDataCentre { 2 };
    /// Load is told to all entries while they are at most so many, and within the data centre in a larger fleet: told by
    /// 149 entries to all, it filled the links of 40 Mbit/s.
    static constexpr std::size_t maxLoadBroadcastEntries { 30 };

    EntryRegistry(EntryMember self, std::vector<Endpoint> seeds);

    void onHello(const Hello& hello, TimePoint now);
    void setState(EntryState state) { m_self.state = state; }
    void setWatching(bool isWatching) { m_self.isWatching = isWatching; }
    /// True when this entry is one of those that follow the platform's store: the first `watchersPerDataCentre` of its data
    /// centre, by address, or any while fewer than `leastWatchers` others say that the store answers them.
    ///
    /// Views differ, and nothing depends on their agreeing: too many watchers cost calls, and too few make all others watch.
    bool shouldWatch(TimePoint now) const;
    /// True when agents are to tell this entry of their ranks: it is one of the first `relaysPerDataCentre` of its data
    /// centre, by address. As with watching, nothing depends on views agreeing.
    bool isRelay(TimePoint now) const;
    /// True when load is told, and known, within the data centre only.
    bool isLoadSharedLocally(TimePoint now) const;

    /// Counts the own heartbeat up. Once a round: were a hello to another data centre to carry a count that the own one has
    /// not heard, hearsay of it would keep a dead entry alive at its neighbours.
    void beginRound() { ++m_self.heartbeat; }
    /// A hello with a random few of the entries known, those of the own data centre first.
    Hello makeHello(std::size_t maxMembers, policy::Generator& generator) const;
    /// The answer to an entry that has just started: a hello with members of its data centre first.
    Hello makeWelcome(const EntryMember& newcomer, policy::Generator& generator) const;
    /// Whom to send a hello to in one round.
    struct Targets {
        /// Of the own data centre; they hear each other, so hellos to them pass nobody on.
        std::vector<Endpoint> local;
        /// A random few others, and the seeds that are not known or silent.
        std::vector<Endpoint> remote;
    };
    Targets nextTargets(TimePoint now, policy::Generator& generator) const;
    /// True for the sender of a hello that knows less than half of the entries known here: it has just started.
    bool isNewcomer(const Hello& hello) const { return 2 * hello.knownPeers < m_peers.size(); }

    const EntryMember& self() const { return m_self; }
    /// Other entries heard of within `silentAfter`, or `hearsaySilentAfter` where that applies.
    std::vector<EntryMember> alive(TimePoint now) const;
    /// Most entries that were ever known at once, this one included.
    std::size_t peakEntryCount() const { return m_peakEntryCount; }
    std::size_t peerCount() const { return m_peers.size(); }
    /// True for the data centre of this entry.
    bool isLocal(const DataCentreName& dataCentre) const { return dataCentre == m_self.dataCentre; }

private:
    struct Peer {
        EntryMember member;
        TimePoint updatedAt;
    };

    void update(const EntryMember& member, TimePoint now);
    /// A random few of the entries known: those of `first` first, then those of the own data centre.
    std::vector<EntryMember> sampleMembers(std::size_t maxMembers, const DataCentreName& preferredDataCentre, policy::Generator& generator) const;
    Hello helloWith(std::vector<EntryMember> members) const;
    bool isAlive(const Peer& peer, TimePoint now) const;
    /// Entries of the own data centre that are alive, stay and come before this one.
    std::size_t precedingEntries(TimePoint now) const;

    EntryMember m_self;
    std::vector<Endpoint> m_seeds;
    std::map<Endpoint, Peer> m_peers;
    std::size_t m_peakEntryCount { 1 };
};

} // namespace swiftloft::gateway
