#pragma once

#include <swiftloft/policy/claim.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace swiftloft::policy {

struct HomeSelectorOptions {
    /// Number of homes of a key under one list. A key runs at most once as long as the lists of any two entries have at
    /// least one of its homes in common.
    std::size_t homesPerKey { 3 };
    /// Lists replaced within this time are used as well as the current one.
    milliseconds window { 30000 };
};

/// Selects the home agents of client keys by rendezvous hashing over each recently current list of agents. The homes of
/// a key are the agents that remember the claims on it; their grants ensure that the key runs at most once.
///
/// Keys are hashed into a fixed number of slots. The homes of a slot are computed once per list, so that the cost of a
/// request does not grow with the fleet.
class HomeSelector {
public:
    static Result<HomeSelector> create(HomeSelectorOptions options);

    /// A newer list of agents was read. Older revisions are ignored.
    void onAgentList(ListRevision revision, std::vector<BackendServerId> agents, TimePoint now);
    ListRevision revision() const;
    /// The homes under the current list, best first, followed by the additional homes under earlier lists that were
    /// replaced within the window. Empty when no list is known or all known lists are empty.
    std::vector<BackendServerId> homesOf(const ClientKey& key, TimePoint now);

private:
    struct View {
        ListRevision revision;
        std::vector<BackendServerId> agents;
        /// Time at which a newer list was read; `TimePoint::max()` for the current list.
        TimePoint replacedAt;
        /// Indices into `agents` by slot; empty until first use.
        std::vector<std::vector<std::uint32_t>> homes;
    };

    explicit HomeSelector(HomeSelectorOptions options);
    const std::vector<std::uint32_t>& homesInView(View& view, std::size_t slot) const;

    HomeSelectorOptions m_options;
    /// Newest first.
    std::deque<View> m_views;
};

} // namespace swiftloft::policy
