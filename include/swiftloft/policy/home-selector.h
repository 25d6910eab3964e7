#pragma once

#include <swiftloft/policy/claim.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace swiftloft::policy {

struct HomeSelectorOptions {
    /// Homes of a key under one list. Two lists can differ in all but one of them and no key runs twice.
    std::size_t homesPerKey { 3 };
    /// Lists replaced within this time count beside the current one.
    milliseconds window { 30000 };
};

/// The agents that keep watch over a client key: rendezvous hashing over each list of agents that was current lately.
///
/// Keys fall into a fixed number of slots; a slot's homes are worked out once for each list, so that the cost of a
/// request does not grow with the fleet.
class HomeSelector {
public:
    static Result<HomeSelector> create(HomeSelectorOptions options);

    /// A newer list of agents was read. Older revisions are ignored.
    void onAgentList(ListRevision revision, std::vector<BackendServerId> agents, TimePoint now);
    ListRevision revision() const;
    /// The homes under the current list, best first, then those under the lists of the window that are not among them.
    /// Empty when no list is known, or it is empty.
    std::vector<BackendServerId> homesOf(const ClientKey& key, TimePoint now);

private:
    struct View {
        ListRevision revision;
        std::vector<BackendServerId> agents;
        /// When a newer list replaced it.
        TimePoint replacedAt;
        /// Indices into `agents` by slot; empty until asked for.
        std::vector<std::vector<std::uint32_t>> homes;
    };

    explicit HomeSelector(HomeSelectorOptions options);
    const std::vector<std::uint32_t>& homesInView(View& view, std::size_t slot) const;

    HomeSelectorOptions m_options;
    /// Newest first.
    std::deque<View> m_views;
};

} // namespace swiftloft::policy
