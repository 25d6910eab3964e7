#include "src/gateway/entry-registry.h"

#include <algorithm>

namespace swiftloft::gateway {

EntryRegistry::EntryRegistry(EntryMember self, std::vector<Endpoint> seeds)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
{
    std::erase(m_seeds, m_self.control);
}

void EntryRegistry::update(const EntryMember& member, TimePoint now)
{
    if (member.control == m_self.control)
        return;
    auto [it, isNew] = m_peers.try_emplace(member.control, Peer { member, now });
    auto& known = it->second;
    bool isSameIncarnation = known.member.incarnation == member.incarnation;
    // After the restart of an entry, its peers still forward reports of the earlier incarnation, and these must not
    // replace the new one. Of the same incarnation, only a report with a higher heartbeat is applied. A report of
    // another incarnation gets here only if it is a hello of the entry itself or the known incarnation is silent.
    if (!isNew && isSameIncarnation && member.heartbeat <= known.member.heartbeat)
        return;
    known = { member, now };
    std::erase_if(m_peers, [&](auto& peer) { return peer.second.updatedAt + removalTimeout < now; });
    m_peakEntryCount = std::max(m_peakEntryCount, m_peers.size() + 1);
}

void EntryRegistry::onHello(const Hello& hello, TimePoint now)
{
    update(hello.sender, now);
    for (auto& member : hello.members) {
        auto it = m_peers.find(member.control);
        bool isOtherIncarnation = it != m_peers.end() && it->second.member.incarnation != member.incarnation;
        // An indirect report of another incarnation counts only once the known one is silent.
        if (isOtherIncarnation && isAlive(it->second, now))
            continue;
        update(member, now);
    }
}

std::vector<EntryMember> EntryRegistry::sampleMembers(std::size_t maxMembers, const DataCentreName& preferredDataCentre, policy::Generator& generator) const
{
    std::vector<const EntryMember*> members;
    members.reserve(m_peers.size());
    for (auto& [endpoint, peer] : m_peers)
        members.push_back(&peer.member);
    std::shuffle(members.begin(), members.end(), generator);
    auto moveToFront = [&](const DataCentreName& dataCentre) {
        std::stable_partition(members.begin(), members.end(), [&](auto* it) { return it->dataCentre == dataCentre; });
    };
    // Local entries send their heartbeats themselves; those of remote entries arrive through other entries.
    moveToFront(m_self.dataCentre);
    moveToFront(preferredDataCentre);
    members.resize(std::min(members.size(), maxMembers));
    std::vector<EntryMember> sample;
    sample.reserve(members.size());
    for (auto* member : members)
        sample.push_back(*member);
    return sample;
}

Hello EntryRegistry::helloWith(std::vector<EntryMember> members) const
{
    Hello hello;
    hello.sender = m_self;
    hello.knownPeers = m_peers.size();
    hello.members = std::move(members);
    return hello;
}

Hello EntryRegistry::makeHello(std::size_t maxMembers, policy::Generator& generator) const
{
    return helloWith(sampleMembers(maxMembers, m_self.dataCentre, generator));
}

Hello EntryRegistry::makeWelcome(const EntryMember& newcomer, policy::Generator& generator) const
{
    return helloWith(sampleMembers(membersPerWelcome, newcomer.dataCentre, generator));
}

EntryRegistry::Targets EntryRegistry::nextTargets(TimePoint now, policy::Generator& generator) const
{
    Targets targets;
    for (auto& [endpoint, peer] : m_peers)
        (isLocal(peer.member.dataCentre) ? targets.local : targets.remote).push_back(endpoint);
    // Each round continues where the one before stopped, so that no local entry goes without a hello for longer than
    // the rounds that reach all of them.
    if (auto n = targets.local.size(); n > maxLocalHellosPerRound) {
        auto first = static_cast<std::ptrdiff_t>(m_self.heartbeat * maxLocalHellosPerRound % n);
        std::rotate(targets.local.begin(), targets.local.begin() + first, targets.local.end());
        targets.local.resize(maxLocalHellosPerRound);
    }
    std::shuffle(targets.local.begin(), targets.local.end(), generator);
    std::shuffle(targets.remote.begin(), targets.remote.end(), generator);
    auto remaining = minHellosPerRound - std::min(targets.local.size(), minHellosPerRound);
    targets.remote.resize(std::min(targets.remote.size(), std::max(remaining, minRemoteHellosPerRound)));
    for (auto& seed : m_seeds) {
        auto it = m_peers.find(seed);
        bool isKnownAlive = it != m_peers.end() && isAlive(it->second, now);
        auto isListed = [&](auto& list) { return std::find(list.begin(), list.end(), seed) != list.end(); };
        if (!isKnownAlive && !isListed(targets.local) && !isListed(targets.remote) && seed != m_self.control)
            targets.remote.push_back(seed);
    }
    return targets;
}

bool EntryRegistry::isAlive(const Peer& peer, TimePoint now) const
{
    bool isIndirect = m_peers.size() > minHellosPerRound && !isLocal(peer.member.dataCentre);
    return peer.updatedAt + (isIndirect ? indirectSilenceTimeout : silenceTimeout) > now;
}

bool EntryRegistry::precedesThis(const Peer& peer, TimePoint now) const
{
    auto& member = peer.member;
    return isAlive(peer, now) && member.state != EntryState::Leaving && isLocal(member.dataCentre) && member.control < m_self.control;
}

std::size_t EntryRegistry::precedingEntries(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](auto& it) { return precedesThis(it.second, now); }));
}

bool EntryRegistry::shouldWatch(TimePoint now) const
{
    // The store may reject some entries and serve others. The rejected entries report in their hellos that it does not
    // respond to them, and the next entries watch in their place.
    auto isWatching = [&](auto& it) { return it.second.member.isWatching && precedesThis(it.second, now); };
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), isWatching)) < watchersPerDataCentre;
}

std::size_t EntryRegistry::backupPosition(TimePoint now) const
{
    auto preceding = precedingEntries(now);
    return preceding < watchersPerDataCentre ? 0 : preceding - watchersPerDataCentre + 1;
}

bool EntryRegistry::isRelay(TimePoint now) const
{
    return precedingEntries(now) < relaysPerDataCentre;
}

bool EntryRegistry::isLoadSharedLocally(TimePoint now) const
{
    auto alive = std::count_if(m_peers.begin(), m_peers.end(), [&](auto& it) { return isAlive(it.second, now); });
    return static_cast<std::size_t>(alive) > maxLoadBroadcastEntries;
}

std::vector<Endpoint> EntryRegistry::localRoster(TimePoint now) const
{
    std::vector<Endpoint> roster { m_self.control };
    for (auto& [endpoint, peer] : m_peers) {
        if (isLocal(peer.member.dataCentre) && peer.updatedAt + rosterRetention > now)
            roster.push_back(endpoint);
    }
    return roster;
}

std::vector<EntryMember> EntryRegistry::alive(TimePoint now) const
{
    std::vector<EntryMember> members;
    for (auto& [endpoint, peer] : m_peers) {
        if (isAlive(peer, now))
            members.push_back(peer.member);
    }
    return members;
}

std::vector<LeavingEntry> EntryRegistry::acceptingLeavers(TimePoint now) const
{
    std::vector<LeavingEntry> leavers;
    for (auto& [endpoint, peer] : m_peers) {
        auto& member = peer.member;
        auto acceptsUntil = peer.updatedAt + member.acceptsFor;
        if (member.state == EntryState::Leaving && acceptsUntil > now && isAlive(peer, now))
            leavers.push_back({ member.clients, member.dataCentre, acceptsUntil });
    }
    return leavers;
}

} // namespace swiftloft::gateway
