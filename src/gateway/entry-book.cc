#include "src/gateway/entry-book.h"

#include <algorithm>

namespace swiftloft::gateway {

EntryBook::EntryBook(EntryMember self, std::vector<Endpoint> seeds)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
{
}

void EntryBook::learn(const EntryMember& member, TimePoint now)
{
    if (member.control == m_self.control)
        return;
    auto [it, isNew] = m_peers.try_emplace(member.control, Peer { member, now });
    auto& known = it->second;
    bool isSameLife = known.member.incarnation == member.incarnation;
    // Failure: word of an earlier life of an entry still goes round after its restart. A life is only replaced by one
    // whose news is fresher than anything heard of the old one: its own hello, or a higher count in the same life.
    if (!isNew && isSameLife && member.heartbeat <= known.member.heartbeat)
        return;
    known = { member, now };
    std::erase_if(m_peers, [&](auto& peer) { return peer.second.heardAt + forgottenAfter < now; });
    m_mostKnown = std::max(m_mostKnown, m_peers.size() + 1);
}

void EntryBook::onHello(const Hello& hello, TimePoint now)
{
    learn(hello.sender, now);
    for (auto& member : hello.members) {
        auto it = m_peers.find(member.control);
        bool isOtherLife = it != m_peers.end() && it->second.member.incarnation != member.incarnation;
        // Hearsay of another life counts only once the known one has gone silent.
        if (isOtherLife && it->second.heardAt + silentAfter > now)
            continue;
        learn(member, now);
    }
}

Hello EntryBook::nextHello(policy::Generator& generator)
{
    ++m_self.heartbeat;
    Hello hello;
    hello.sender = m_self;
    for (auto& [endpoint, peer] : m_peers)
        hello.members.push_back(peer.member);
    std::shuffle(hello.members.begin(), hello.members.end(), generator);
    if (hello.members.size() > membersPerHello)
        hello.members.resize(membersPerHello);
    return hello;
}

std::vector<Endpoint> EntryBook::nextTargets(TimePoint now, policy::Generator& generator) const
{
    std::vector<Endpoint> targets;
    targets.reserve(m_peers.size() + m_seeds.size());
    for (auto& [endpoint, peer] : m_peers)
        targets.push_back(endpoint);
    std::shuffle(targets.begin(), targets.end(), generator);
    if (targets.size() > hellosPerRound)
        targets.resize(hellosPerRound);
    for (auto& seed : m_seeds) {
        auto it = m_peers.find(seed);
        bool isHeard = it != m_peers.end() && it->second.heardAt + silentAfter > now;
        bool isListed = std::find(targets.begin(), targets.end(), seed) != targets.end();
        if (!isHeard && !isListed && seed != m_self.control)
            targets.push_back(seed);
    }
    return targets;
}

bool EntryBook::shouldWatch(TimePoint now) const
{
    std::size_t before = 0;
    std::size_t watching = 0;
    for (auto& member : alive(now)) {
        if (member.state == EntryState::Leaving)
            continue;
        before += member.dataCentre == m_self.dataCentre && member.control < m_self.control ? 1 : 0;
        watching += member.isWatching ? 1 : 0;
    }
    // Failure: the store turns the watchers away and serves others. They say so, and the others begin to watch.
    return before < watchersPerDataCentre || watching < leastWatchers;
}

std::vector<EntryMember> EntryBook::alive(TimePoint now) const
{
    std::vector<EntryMember> members;
    for (auto& [endpoint, peer] : m_peers) {
        if (peer.heardAt + silentAfter > now)
            members.push_back(peer.member);
    }
    return members;
}

} // namespace swiftloft::gateway
