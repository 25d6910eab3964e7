#pragma once

#include "src/gateway/news.h"

#include <swiftloft/policy/random.h>

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::gateway {

/// The entries of the fleet as this one sees them: membership by gossiped heartbeat counters.
///
/// Nothing is elected and no view needs to agree with another. Pure: time and randomness come with each call.
class EntryBook {
public:
    /// An entry whose heartbeat has not advanced for this long is not handed to clients: four hellos were lost in a row,
    /// which a lossy link does once in a million.
    static constexpr milliseconds silentAfter { 1800 };
    /// And after this long it is forgotten. Long enough that entries find each other again after an hour's partition is
    /// not needed: seeds are asked for ever.
    static constexpr milliseconds forgottenAfter { 120'000 };
    /// Members passed on with one hello, and entries that get one; bounds the cost in a large fleet.
    static constexpr std::size_t membersPerHello { 40 };
    static constexpr std::size_t hellosPerRound { 10 };

    /// A waiting watch counts as a call at the store, whose rates grow more slowly than the fleet. Two a data centre
    /// survive each other.
    static constexpr std::size_t watchersPerDataCentre { 2 };
    static constexpr std::size_t leastWatchers { 3 };

    EntryBook(EntryMember self, std::vector<Endpoint> seeds);

    void onHello(const Hello& hello, TimePoint now);
    void setState(EntryState state) { m_self.state = state; }
    void setWatching(bool isWatching) { m_self.isWatching = isWatching; }
    /// True when this entry is one of those that follow the platform's store: the first `watchersPerDataCentre` of its data
    /// centre, by address, or any while fewer than `leastWatchers` others say that the store answers them.
    ///
    /// Views differ, and nothing depends on their agreeing: too many watchers cost calls, and too few make all others watch.
    bool shouldWatch(TimePoint now) const;
    /// The next hello to send; counts the own heartbeat up.
    Hello nextHello(policy::Generator& generator);
    /// Whom to send it to: a random few of the entries known, and the seeds that are not known or silent.
    std::vector<Endpoint> nextTargets(TimePoint now, policy::Generator& generator) const;

    const EntryMember& self() const { return m_self; }
    /// Other entries heard of within `silentAfter`.
    std::vector<EntryMember> alive(TimePoint now) const;
    /// Most entries that were ever known at once, this one included.
    std::size_t mostKnown() const { return m_mostKnown; }

private:
    struct Peer {
        EntryMember member;
        TimePoint heardAt;
    };

    void learn(const EntryMember& member, TimePoint now);

    EntryMember m_self;
    std::vector<Endpoint> m_seeds;
    std::map<Endpoint, Peer> m_peers;
    std::size_t m_mostKnown { 1 };
};

} // namespace swiftloft::gateway
