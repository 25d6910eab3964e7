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
        if (isOtherLife && isAlive(it->second, now))
            continue;
        learn(member, now);
    }
}

std::vector<EntryMember> EntryBook::drawMembers(std::size_t most, const DataCentreName& first, policy::Generator& generator) const
{
    std::vector<const EntryMember*> members;
    members.reserve(m_peers.size());
    for (auto& [endpoint, peer] : m_peers)
        members.push_back(&peer.member);
    std::shuffle(members.begin(), members.end(), generator);
    auto putFirst = [&](const DataCentreName& dataCentre) {
        std::stable_partition(members.begin(), members.end(), [&](auto* it) { return it->dataCentre == dataCentre; });
    };
    // The counts of neighbours come from themselves, those of others by hearsay.
    putFirst(m_self.dataCentre);
    putFirst(first);
    members.resize(std::min(members.size(), most));
    std::vector<EntryMember> drawn;
    drawn.reserve(members.size());
    for (auto* member : members)
        drawn.push_back(*member);
    return drawn;
}

Hello EntryBook::helloWith(std::vector<EntryMember> members) const
{
    Hello hello;
    hello.sender = m_self;
    hello.known = m_peers.size();
    hello.members = std::move(members);
    return hello;
}

Hello EntryBook::hello(std::size_t mostMembers, policy::Generator& generator) const
{
    return helloWith(drawMembers(mostMembers, m_self.dataCentre, generator));
}

Hello EntryBook::welcome(const EntryMember& newcomer, policy::Generator& generator) const
{
    return helloWith(drawMembers(membersPerWelcome, newcomer.dataCentre, generator));
}

EntryBook::Targets EntryBook::nextTargets(TimePoint now, policy::Generator& generator) const
{
    Targets targets;
    for (auto& [endpoint, peer] : m_peers)
        (isNear(peer.member.dataCentre) ? targets.near : targets.far).push_back(endpoint);
    std::shuffle(targets.near.begin(), targets.near.end(), generator);
    targets.near.resize(std::min(targets.near.size(), neighboursPerRound));
    std::shuffle(targets.far.begin(), targets.far.end(), generator);
    auto left = hellosPerRound - std::min(targets.near.size(), hellosPerRound);
    targets.far.resize(std::min(targets.far.size(), std::max(left, farHellosPerRound)));
    for (auto& seed : m_seeds) {
        auto it = m_peers.find(seed);
        bool isHeard = it != m_peers.end() && isAlive(it->second, now);
        auto isListed = [&](auto& list) { return std::find(list.begin(), list.end(), seed) != list.end(); };
        if (!isHeard && !isListed(targets.near) && !isListed(targets.far) && seed != m_self.control)
            targets.far.push_back(seed);
    }
    return targets;
}

bool EntryBook::isAlive(const Peer& peer, TimePoint now) const
{
    bool isByHearsay = m_peers.size() > hellosPerRound && !isNear(peer.member.dataCentre);
    return peer.heardAt + (isByHearsay ? hearsaySilentAfter : silentAfter) > now;
}

std::size_t EntryBook::entriesBefore(TimePoint now) const
{
    auto isBefore = [&](auto& it) {
        auto& member = it.second.member;
        return isAlive(it.second, now) && member.state != EntryState::Leaving && isNear(member.dataCentre) && member.control < m_self.control;
    };
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), isBefore));
}

bool EntryBook::shouldWatch(TimePoint now) const
{
    auto isWatching = [&](auto& it) { return it.second.member.isWatching && it.second.member.state != EntryState::Leaving && isAlive(it.second, now); };
    auto watching = static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), isWatching));
    // Failure: the store turns the watchers away and serves others. They say so, and the others begin to watch.
    return watching < leastWatchers || entriesBefore(now) < watchersPerDataCentre;
}

bool EntryBook::isRelay(TimePoint now) const
{
    return entriesBefore(now) < relaysPerDataCentre;
}

bool EntryBook::sharesLoadNearby(TimePoint now) const
{
    auto alive = std::count_if(m_peers.begin(), m_peers.end(), [&](auto& it) { return isAlive(it.second, now); });
    return static_cast<std::size_t>(alive) > mostToldOfLoad;
}

std::vector<EntryMember> EntryBook::alive(TimePoint now) const
{
    std::vector<EntryMember> members;
    for (auto& [endpoint, peer] : m_peers) {
        if (isAlive(peer, now))
            members.push_back(peer.member);
    }
    return members;
}

} // namespace swiftloft::gateway
