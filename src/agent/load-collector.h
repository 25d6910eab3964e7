#pragma once

#include <swiftloft/expertmap/protocol.h>
#include <swiftloft/expertmap/replica-planner.h>

#include <optional>
#include <vector>

namespace swiftloft::agent {

/// Gathers what the ranks of a group counted and plans its next map. Pure: the time comes with each call.
class LoadCollector {
public:
    LoadCollector(const expertmap::MapShape& shape, expertmap::ReplicaPlanner planner);

    /// A report without tokens tells only what the rank holds.
    void onLoads(const expertmap::RankLoads& loads);
    /// Hands what was counted to the planner, once half of the ranks that count have told.
    void observe(TimePoint now);
    /// The map that all ranks run; nothing while that is not known of each, or while they differ.
    std::optional<expertmap::VersionedMap> currentMap() const;
    /// Ranks that keep `current` from being known: nothing was heard of them, or they run another map than rank 0.
    std::vector<RankIndex> unknownRanks() const;
    const expertmap::ReplicaPlanner& planner() const { return m_planner; }

private:
    expertmap::MapShape m_shape;
    expertmap::ReplicaPlanner m_planner;
    std::vector<std::optional<expertmap::RankLoads>> m_loads;
    /// Tokens by layer and expert that the planner has not got yet, and the ranks that told of them.
    std::vector<double> m_pendingTokens;
    std::vector<bool> m_hasReported;
};

} // namespace swiftloft::agent
