#pragma once

#include "src/gateway/control-message.h"
#include "src/gateway/snapshot.h"

#include <map>
#include <span>
#include <vector>

namespace swiftloft::gateway {

/// The ranks of all groups as known to one entry. A rank's status comes from its agent, if the agent reports to this
/// entry, or from another entry that the agent reports to. Also decides which group briefs (messages that tell an agent
/// the addresses of its group) are sent to agents. Pure: the time is passed in with each call.
///
/// Agents report to two entries per data centre, and these forward only which ranks are closed or slow: if every agent
/// reported to every entry, that traffic alone would exceed an agent's link in a fleet of hundreds.
class RankRegistry {
public:
    /// The status of a rank older than this is ignored: its agent is gone or cut off.
    static constexpr milliseconds reportLifetime { 3000 };
    /// A closed or slow rank is reported to other entries while the agent's status is no older than this; agents repeat
    /// their status every 400 ms.
    static constexpr milliseconds degradedPropagationTime { 1200 };
    /// An agent that already knows its group gets the brief again after this time, in case a brief with a change was
    /// lost.
    static constexpr milliseconds briefRepeatInterval { 10'000 };

    /// Entries of other data centres wait for this time before they send an agent the brief of a new group. By then the
    /// entries of the agent's own data centre have sent it, if any of them is alive.
    static constexpr milliseconds localBriefTimeout { 1000 };

    struct Change {
        /// The rank has opened, closed, slowed down or recovered, or has come up in another group or epoch.
        bool isChange { false };
        /// The rank has come up in another group or epoch.
        bool isNewEpoch { false };
    };
    /// Processes an agent's status. The status of an older incarnation of the rank is ignored.
    Change onStatus(TimePoint now, const RankStatus& status);

    /// Replaces the closed and slow ranks that another entry reported before. Returns true if the report differs from
    /// the previous one.
    bool onPeerDegradedRanks(TimePoint now, const Endpoint& peer, std::span<const DegradedRank> degraded);

    /// Closed and slow ranks as reported by their agents, to be forwarded to other entries.
    std::vector<DegradedRank> degradedRanks(TimePoint now) const;
    /// All ranks whose agents report to this entry. `isOpen` is set for the ranks of an open group.
    std::vector<Snapshot::Rank> ranks() const;
    /// Closed and slow ranks as reported by other entries.
    std::vector<Snapshot::DegradedReport> peerDegradedRanks(TimePoint now) const;

    /// Returns the brief for the agent of the engine at `address`: its group if that has changed or the agent does not
    /// know it, otherwise a brief without ranks, which shows the agent which entry to report to. If `isLocal` is false,
    /// the group is sent only to an agent that has lacked it for `localBriefTimeout`: when all ranks come up together,
    /// entries of all data centres would otherwise fill each agent's link with the same addresses.
    GroupBrief nextBrief(TimePoint now, const Endpoint& address, const EngineTraits& traits, bool isLocal);

private:
    struct SentBrief {
        EngineGroupName group;
        GroupEpoch epoch;
        std::size_t ranks { 0 };
        TimePoint repeatAt;
    };
    struct Group {
        /// The newest epoch reported, and when it was first reported.
        GroupEpoch epoch;
        TimePoint firstSeenAt;
        /// The newest epoch in which a rank was open.
        GroupEpoch openEpoch;
    };

    /// True if the rank does not accept requests, given everything known about its group.
    bool isClosed(const RankStatus& status) const;
    GroupBrief briefOf(TimePoint now, const RankStatus& status, const EngineTraits& traits) const;

    std::map<Endpoint, Snapshot::Rank> m_ranks;
    std::map<EngineGroupName, Group> m_groups;
    std::map<Endpoint, std::vector<Snapshot::DegradedReport>> m_peerDegradedRanks;
    /// The last group brief sent to each agent.
    std::map<Endpoint, SentBrief> m_sentBriefs;
};

} // namespace swiftloft::gateway
