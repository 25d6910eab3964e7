#pragma once

#include <swiftloft/ids.h>

#include <cstdint>
#include <vector>

namespace swiftloft::agent {

/// Groups up to this size are told a new map by rank 0 alone: on its link that takes some 30 ms.
inline constexpr std::uint32_t maxDirectReceivers = 32;
/// Ranks that pass a map on in a larger group.
inline constexpr std::uint32_t relayRankCount = 8;

/// The ranks that `self` sends a new map to, once it has it. From rank 0 on, each other rank gets it from exactly one.
///
/// Failure: rank 0 sends the same map to every rank of a large group over its small link. Orders and reports wait behind it,
/// what does not fit into the link is lost, and changes are given up in staging. Passed on by a few ranks, it takes an
/// eighth of the time. A rank whose sender is gone lacks the map when it is told to load it, and
/// asks for it.
inline std::vector<RankIndex> mapReceivers(RankIndex self, std::uint32_t ranks)
{
    std::vector<RankIndex> receivers;
    bool isDirect = ranks <= maxDirectReceivers;
    if (self == RankIndex(0)) {
        auto end = isDirect ? ranks : relayRankCount + 1;
        for (std::uint32_t rank = 1; rank < end; ++rank)
            receivers.emplace_back(rank);
        return receivers;
    }
    if (isDirect || self.value() > relayRankCount)
        return receivers;
    for (auto rank = self.value() + relayRankCount; rank < ranks; rank += relayRankCount)
        receivers.emplace_back(rank);
    return receivers;
}

} // namespace swiftloft::agent
