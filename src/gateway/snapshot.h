#pragma once

#include "src/gateway/configuration.h"
#include "src/gateway/control-message.h"

#include <memory>
#include <vector>

namespace swiftloft::gateway {

/// What the control thread tells the traffic thread: immutable, replaced as a whole.
struct Snapshot {
    /// Null until one is known.
    std::shared_ptr<const Configuration> configuration;
    std::vector<BackendServer> servers;
    /// This entry as it describes itself to others.
    EntryMember self;
    /// Other entries that are alive.
    std::vector<EntryMember> entries;
    /// Entries that may exist, this one included; for shares of budgets.
    std::size_t maxEntries { 1 };
    /// Knows enough to serve.
    bool isReady { false };
    /// Was told to stop.
    bool isLeaving { false };
    /// What agents last said of the ranks they run beside, and when.
    struct Rank {
        RankStatus status;
        TimePoint receivedAt;
    };
    std::vector<Rank> ranks;
    /// A closed or slow rank by the word of another entry, and when its agent said so.
    struct DegradedReport {
        Endpoint address;
        TimePoint reportedAt;
        bool isOpen { false };
        double pace { 1 };
    };
    std::vector<DegradedReport> peerDegradedRanks;
    /// What runs at the servers of another data centre, by its word.
    struct RemoteLoad {
        DataCentreName dataCentre;
        ServiceLoad load;
    };
    std::vector<RemoteLoad> remoteLoads;
    /// Of this entry.
    DataCentreName dataCentre;
    /// Load is told, and known, within the data centre only.
    bool isLoadSharedLocally { false };
};

} // namespace swiftloft::gateway
