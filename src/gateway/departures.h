#pragma once

#include "src/gateway/control-message.h"

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::gateway {

/// What this entry knows of backend servers that leave or have gone: by their own word, the list's, or that of other entries.
///
/// A word is kept by the server's life and outlasts what the list says. That a server leaves, said by itself or by the list, holds
/// for the rest of its life. That its entry was removed holds until the list has it again by a later write: its process may have
/// been cut off from the store only.
///
/// Pure: the time comes with each call.
class Departures {
public:
    /// A word is passed on for this long: several rounds of hellos.
    static constexpr milliseconds propagationTime { 6000 };
    /// After the store's return from an older copy, entries that no server keeps up have lapsed within this: three of the servers'
    /// heartbeats, and some more. Until then the list may show servers that had gone.
    static constexpr milliseconds restoredCopyExpiry { 6000 };
    /// A word of a server that is not listed is kept for this long: news of it may come late.
    static constexpr milliseconds retentionTime { 60'000 };

    /// Words in one message; the latest are told first.
    static constexpr std::size_t maxReports { 400 };

    /// What the list says of a server.
    struct Listed {
        /// Of the write that it was taken from.
        StorePosition at;
        bool isReady { false };
    };
    using List = std::map<ServerHash, Listed>;

    // Each returns true when there is something to be told to other entries at once.

    /// The list has changed, and is known up to `knownTo`. What is missing from it now has gone; what it shows ready again though
    /// it has left is told once more, as some entries may not have heard of it.
    bool setList(TimePoint now, StorePosition knownPosition, List list);
    bool onAnnounced(TimePoint now, ServerHash server);
    bool onRemoved(TimePoint now, ServerHash server, StorePosition at);
    bool onPeerReport(TimePoint now, const LeavingServer& report);

    void onStoreRestored(TimePoint now) { m_copyExpiredAt = now + restoredCopyExpiry; }
    /// The store does not answer: entries of its copy lapse later.
    void onStoreUnreachable(TimePoint now);

    bool isLeaving(TimePoint now, ServerHash server) const;
    /// To be told to other entries.
    std::vector<LeavingServer> reports(TimePoint now) const;
    /// To be told to an entry that has just started: also what others have known for long, while the list shows the server ready.
    std::vector<LeavingServer> reportsForNewEntry(TimePoint now) const;
    bool isEmpty() const { return m_departures.empty(); }
    /// Forgets what is over.
    void tick(TimePoint now);

private:
    struct Departure {
        /// When its entry was removed; unset once it is known to leave for good.
        std::optional<StorePosition> removedAt;
        TimePoint propagateUntil;
        TimePoint retainUntil;
    };

    bool update(TimePoint now, ServerHash server, std::optional<StorePosition> removedAt, TimePoint propagateUntil);
    /// The list has the server again by a write that is later than its removal.
    bool isListedAgain(TimePoint now, ServerHash server, StorePosition removedAt) const;
    bool isListedReady(ServerHash server) const;

    std::map<ServerHash, Departure> m_departures;
    List m_list;
    TimePoint m_copyExpiredAt;
};

} // namespace swiftloft::gateway
