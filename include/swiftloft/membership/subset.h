#pragma once

#include <swiftloft/membership/view.h>

#include <cstddef>
#include <vector>

namespace swiftloft::membership {

struct SubsetOptions {
    std::size_t agentsPerService { 16 }; ///< Connections an entry keeps for each service.
};

/// The agents an entry keeps connections to, ordered by id.
///
/// For each service, those with the highest rendezvous scores for this entry among the usable agents of its region;
/// other regions fill up what the region lacks. Services with few agents are connected to all of them. Two entries
/// whose views differ connect to different agents for a while, which harms nothing.
std::vector<NodeId> agentsFor(const View& view, const ListedInstance& entry, const SubsetOptions& options);

} // namespace swiftloft::membership
