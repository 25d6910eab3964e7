#pragma once

#include <swiftloft/membership/view.h>

#include <cstddef>
#include <vector>

namespace swiftloft::membership {

struct SubsetOptions {
    std::size_t agentsPerService { 16 }; ///< Maximum number of agents an entry connects to for each service.
};

/// Returns the agents to which an entry keeps connections, ordered by id.
///
/// For each service, selects the usable agents of the entry's region with the highest rendezvous scores for this entry.
/// Agents of other regions make up the number if the region has too few. If a service has few agents, all of them are
/// selected. Entries whose views differ may temporarily connect to different agents, which is harmless.
std::vector<NodeId> agentsFor(const View& view, const ListedInstance& entry, const SubsetOptions& options);

} // namespace swiftloft::membership
