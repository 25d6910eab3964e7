#pragma once

#include "src/gateway/control-message.h"
#include "src/gateway/snapshot.h"

#include <map>
#include <span>
#include <vector>

namespace swiftloft::gateway {

/// What one entry knows of the ranks of all groups: by the word of their agents, if they tell this entry, or by the word of
/// entries that they tell. Decides what agents are told of their groups. Pure: the time comes with each call.
///
/// Agents tell two entries a data centre, and these pass on only which ranks are closed or slow: were every agent to tell
/// every entry, that alone would be more than an agent's link carries in a fleet of hundreds.
class RankRegistry {
public:
    /// News of a rank older than this counts for nothing: its agent is gone or cut off.
    static constexpr milliseconds reportLifetime { 3000 };
    /// Word that a rank is closed or slow is passed on while it is no older than this; agents repeat it every 400 ms.
    static constexpr milliseconds degradedPropagationTime { 1200 };
    /// An agent that says that it knows its group is told of it again after this long, lest a change was lost.
    static constexpr milliseconds briefRepeatInterval { 10'000 };

    /// The entries of an agent's own data centre have told it of a new group within this time, if they live.
    static constexpr milliseconds localBriefTimeout { 1000 };

    struct Change {
        /// The rank has opened, closed, slowed or recovered, or has come up in another group or epoch.
        bool isChange { false };
        /// It has come up in another group or epoch.
        bool isNewEpoch { false };
    };
    /// News of a life that has ended since changes nothing.
    Change onStatus(TimePoint now, const RankStatus& status);

    /// Takes what another entry says of closed and slow ranks in place of what it said before. True when that differs.
    bool onPeerDegradedRanks(TimePoint now, const Endpoint& peer, std::span<const DegradedRank> degraded);

    /// Closed and slow ranks by the word of their agents, to be passed on.
    std::vector<DegradedRank> degradedRanks(TimePoint now) const;
    /// All ranks whose agents have told this entry of them; open are those of a group that is.
    std::vector<Snapshot::Rank> ranks() const;
    /// Closed and slow ranks by the word of other entries.
    std::vector<Snapshot::DegradedReport> peerDegradedRanks(TimePoint now) const;

    /// What to tell the agent of the engine at `address`: its group when that has changed or the agent does not know it, else
    /// a brief without ranks, by which the agent learns whom to tell of itself. Where `isNear` is false, the group is told
    /// only to an agent that has lacked it for `nearToldWithin`: when all ranks come up together, entries of all data centres
    /// would fill each agent's link with the same addresses.
    GroupBrief nextBrief(TimePoint now, const Endpoint& address, const EngineTraits& traits, bool isLocal);

private:
    struct SentBrief {
        EngineGroupName group;
        GroupEpoch epoch;
        std::size_t ranks { 0 };
        TimePoint repeatAt;
    };
    struct Group {
        /// Newest epoch that was heard of, and when first.
        GroupEpoch epoch;
        TimePoint firstSeenAt;
        /// Newest epoch in which a rank was open.
        GroupEpoch openEpoch;
    };

    /// True when the rank does not take requests, by all that is known of its group.
    bool isClosed(const RankStatus& status) const;
    GroupBrief briefOf(TimePoint now, const RankStatus& status, const EngineTraits& traits) const;

    std::map<Endpoint, Snapshot::Rank> m_ranks;
    std::map<EngineGroupName, Group> m_groups;
    std::map<Endpoint, std::vector<Snapshot::DegradedReport>> m_peerDegradedRanks;
    /// What each agent was told of its group last.
    std::map<Endpoint, SentBrief> m_sentBriefs;
};

} // namespace swiftloft::gateway
