#pragma once

#include <swiftloft/expertmap/protocol.h>
#include <swiftloft/expertmap/replica-planner.h>

#include <optional>
#include <vector>

namespace swiftloft::agent {

/// Collects the loads (token counts by expert) that the ranks of a group report, and feeds them to the planner of the
/// group's next map. Pure: the caller supplies the time.
class LoadCollector {
public:
    LoadCollector(const expertmap::MapShape& shape, expertmap::ReplicaPlanner planner);

    /// Records the report of a rank. A report without tokens only lists the experts that the rank holds.
    void onLoads(const expertmap::RankLoads& loads);
    /// Passes the collected counts to the planner once half of the counting ranks (those whose reports contain token
    /// counts) have reported.
    void observe(TimePoint now);
    /// Returns the map that all ranks run, or `nullopt` while the map of a rank is unknown or the maps differ.
    std::optional<expertmap::VersionedMap> currentMap() const;
    /// Returns the ranks because of which `currentMap` returns `nullopt`: they have not reported, or their report
    /// differs from that of rank 0 in map or incarnation.
    std::vector<RankIndex> unknownRanks() const;
    const expertmap::ReplicaPlanner& planner() const { return m_planner; }

private:
    expertmap::MapShape m_shape;
    expertmap::ReplicaPlanner m_planner;
    std::vector<std::optional<expertmap::RankLoads>> m_loads;
    /// Tokens by layer and expert that have not been passed to the planner yet, and the ranks that reported them.
    std::vector<double> m_pendingTokens;
    std::vector<bool> m_hasReported;
};

} // namespace swiftloft::agent
