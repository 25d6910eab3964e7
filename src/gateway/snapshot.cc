#include "src/gateway/snapshot.h"

namespace swiftloft::gateway {

std::map<Endpoint, Snapshot::DegradedReport> latestDegradedReports(const Snapshot& snapshot)
{
    std::map<Endpoint, Snapshot::DegradedReport> degraded;
    for (auto& rank : snapshot.ranks) {
        if (!rank.status.isOpen || rank.status.pace >= slowPace)
            degraded[rank.status.address] = { rank.status.address, rank.receivedAt, rank.status.isOpen, rank.status.pace };
    }
    for (auto& rank : snapshot.peerDegradedRanks) {
        auto it = degraded.try_emplace(rank.address, rank).first;
        if (it->second.reportedAt < rank.reportedAt)
            it->second = rank;
    }
    return degraded;
}

} // namespace swiftloft::gateway
