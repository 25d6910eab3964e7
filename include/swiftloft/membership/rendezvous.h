#pragma once

#include <swiftloft/membership/types.h>

#include <cstddef>
#include <span>
#include <vector>

namespace swiftloft::membership {

/// Returns the score of `member` for `subject` in rendezvous hashing. The members with the highest scores are chosen.
/// Nodes that know the same members make the same choices. A member that joins or leaves changes only the choices that
/// it wins or had won.
std::uint64_t rendezvousScore(NodeKey member, std::uint64_t subject);

/// Returns up to `maxCount` members with the highest scores for `subject`, highest first.
std::vector<NodeKey> rendezvousChoice(std::span<const NodeKey> members, std::uint64_t subject, std::size_t maxCount);

} // namespace swiftloft::membership
