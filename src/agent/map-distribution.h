#pragma once

#include <swiftloft/ids.h>

#include <cstdint>
#include <vector>

namespace swiftloft::agent {

/// Groups up to this size receive a new map from rank 0 alone, which takes about 30 ms on its link.
inline constexpr std::uint32_t maxDirectReceivers = 32;
/// Number of ranks that forward a map in a larger group.
inline constexpr std::uint32_t relayRankCount = 8;

/// Returns the ranks that `self` sends a new map to. Starting at rank 0, each other rank receives the map from exactly
/// one rank.
///
/// In a large group, rank 0 would have to send the same map to every rank over its narrow link. Orders and reports
/// would queue behind the map, packets that exceed the capacity of the link would be lost, and changes would time out
/// in staging. Forwarding by a few ranks takes an eighth of the time. If the rank that should forward the map has
/// failed, the receiver lacks the map when it is ordered to load it, and then requests it.
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
