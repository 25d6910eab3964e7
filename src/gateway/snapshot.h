#pragma once

#include "src/gateway/configuration.h"
#include "src/gateway/control-message.h"

#include <map>
#include <memory>
#include <vector>

namespace swiftloft::gateway {

/// Immutable state that the control thread publishes to the traffic thread; always replaced as a whole.
struct Snapshot {
    /// Null until a configuration is known.
    std::shared_ptr<const Configuration> configuration;
    std::vector<BackendServer> servers;
    /// This entry's own member record as sent to other entries.
    EntryMember self;
    /// Other entries that are alive.
    std::vector<EntryMember> entries;
    /// Entries that are leaving and still accept all requests, this one included.
    std::vector<LeavingEntry> leavers;
    /// Control addresses of the entries of this data centre, including this one and those that fell silent within
    /// `EntryRegistry::rosterRetention`.
    std::vector<Endpoint> localRoster;
    /// Maximum number of entries that may exist, including this one; used to compute shares of budgets.
    std::size_t maxEntries { 1 };
    /// True once the entry has the state it needs to serve requests.
    bool isReady { false };
    /// True once the entry has been asked to stop while it was ready: it serves the clients that still know it.
    bool servesWhileLeaving { false };
    /// The last status received from each agent about the rank on its instance, and when it was received.
    struct Rank {
        RankStatus status;
        TimePoint receivedAt;
    };
    std::vector<Rank> ranks;
    /// A closed or slow rank as reported by another entry, and the time of the agent's status behind the report.
    struct DegradedReport {
        Endpoint address;
        TimePoint reportedAt;
        bool isOpen { false };
        double pace { 1 };
        bool hasEngineEnded { false };
    };
    std::vector<DegradedReport> peerDegradedRanks;
    /// A rank group, and the time of rank 0's status behind its figures.
    struct Group {
        EngineGroupName group;
        GroupEpoch epoch;
        TimePoint reportedAt;
        /// Duration of a pass; 0 while unknown.
        double passMs { 0 };
        /// Load of the most loaded rank relative to the mean; 0 while unknown.
        double imbalance { 0 };
        /// Ranks copy experts for a change of the expert map.
        bool isCopying { false };
        std::vector<RankPlace> ranks;
    };
    /// Empty while agents report none.
    std::vector<Group> groups;
    /// Load of the servers of another data centre, as reported by that data centre.
    struct RemoteLoad {
        DataCentreName dataCentre;
        ServiceLoad load;
    };
    std::vector<RemoteLoad> remoteLoads;
    /// Demand at the entries of another data centre, as reported by that data centre.
    struct RemoteDemand {
        DataCentreName dataCentre;
        ServiceDemand demand;
        TimePoint receivedAt;
    };
    std::vector<RemoteDemand> remoteDemands;
    /// Data centre of this entry.
    DataCentreName dataCentre;
    /// True if entries exchange the load of single servers only within their data centre.
    bool isLoadSharedLocally { false };
};

/// The latest report of each closed or slow rank, from its agent or from another entry.
std::map<Endpoint, Snapshot::DegradedReport> latestDegradedReports(const Snapshot& snapshot);

} // namespace swiftloft::gateway
