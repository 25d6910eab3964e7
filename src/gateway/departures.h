#pragma once

#include "src/gateway/control-message.h"

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::gateway {

/// What this entry knows about backend servers that are leaving or gone, from the servers themselves, the list, or
/// other entries.
///
/// A departure is keyed by server incarnation and takes precedence over the list. If the server itself or the list has
/// reported that the server is leaving, this holds for the rest of the incarnation. If the server's list entry was
/// removed, this holds only until a later write lists the server again: its process may only have been cut off from the
/// store.
///
/// Pure: the time is passed in with each call.
class Departures {
public:
    /// A departure is reported to other entries for this long, which is several rounds of hellos.
    static constexpr milliseconds propagationTime { 6000 };
    /// After the store is restored from an older copy, list entries that no server renews have expired within this
    /// time: three heartbeats of the servers plus a margin. Until then the list may contain servers that are gone.
    static constexpr milliseconds restoredCopyExpiry { 6000 };
    /// The departure of an unlisted server is kept for this long, because reports about the server may arrive late.
    static constexpr milliseconds retentionTime { 60'000 };

    /// Maximum number of reports in one message; the latest reports are kept.
    static constexpr std::size_t maxReports { 400 };

    /// A server's list entry.
    struct Listed {
        /// Position of the write that the list entry comes from.
        StorePosition at;
        bool isReady { false };
    };
    using List = std::map<ServerHash, Listed>;

    // Each of these functions returns true if something must be reported to other entries immediately.

    /// The list has changed and is known up to `knownPosition`. Servers that are missing from it now are gone. A
    /// leaving server that appears as ready again is reported once more, as some entries may not know that it is
    /// leaving.
    bool setList(TimePoint now, StorePosition knownPosition, List list);
    bool onAnnounced(TimePoint now, ServerHash server);
    bool onRemoved(TimePoint now, ServerHash server, StorePosition at);
    bool onPeerReport(TimePoint now, const LeavingServer& report);

    void onStoreRestored(TimePoint now) { m_copyExpiredAt = now + restoredCopyExpiry; }
    /// Call it while the store is unreachable: servers can't renew their list entries, so the outdated entries of a
    /// restored copy expire later.
    void onStoreUnreachable(TimePoint now);

    bool isLeaving(TimePoint now, ServerHash server) const;
    /// Reports to be sent to other entries.
    std::vector<LeavingServer> reports(TimePoint now) const;
    /// Reports to be sent to an entry that has just started: includes departures that the others have long known, as
    /// long as the list shows the server as ready.
    std::vector<LeavingServer> reportsForNewEntry(TimePoint now) const;
    bool isEmpty() const { return m_departures.empty(); }
    /// Removes departures that no longer apply.
    void tick(TimePoint now);

private:
    struct Departure {
        /// Position of the removal of the server's list entry; unset once the server is known to leave permanently.
        std::optional<StorePosition> removedAt;
        TimePoint propagateUntil;
        TimePoint retainUntil;
    };

    bool update(TimePoint now, ServerHash server, std::optional<StorePosition> removedAt, TimePoint propagateUntil);
    /// True if the list contains the server again by a write later than its removal.
    bool isListedAgain(TimePoint now, ServerHash server, StorePosition removedAt) const;
    bool isListedReady(ServerHash server) const;

    std::map<ServerHash, Departure> m_departures;
    List m_list;
    TimePoint m_copyExpiredAt;
};

} // namespace swiftloft::gateway
