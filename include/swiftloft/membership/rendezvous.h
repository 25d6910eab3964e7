#pragma once

#include <swiftloft/membership/types.h>

#include <cstddef>
#include <span>
#include <vector>

namespace swiftloft::membership {

/// Score of `member` for `subject`; the members with the highest scores are chosen. Nodes that know the same members
/// choose alike, and a member that comes or goes moves only the choices it wins or held.
std::uint64_t rendezvousScore(NodeKey member, std::uint64_t subject);

/// The `most` members with the highest scores, best first.
std::vector<NodeKey> rendezvousChoice(std::span<const NodeKey> members, std::uint64_t subject, std::size_t maxCount);

} // namespace swiftloft::membership
