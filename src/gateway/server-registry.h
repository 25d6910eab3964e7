#pragma once

#include "src/gateway/protocol.h"

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::gateway {

/// Determines which backend servers may get new requests, from a list that lags and at times misses servers that are
/// alive.
///
/// Pure: the time comes with each call.
class ServerRegistry {
public:
    /// A server whose list entry expired during an outage of the store stays usable for this long after the outage.
    /// Live servers are listed again within about two seconds of its end. The grace period is shorter than that, so
    /// that a server that has really ended gets no requests later than a leaving server may.
    static constexpr milliseconds expiryGracePeriod { 1800 };
    /// Time for which the start time of a removed server is remembered. It exceeds the time that reports of the server
    /// may lag: the store's history of 20 s plus some seconds in transit.
    static constexpr milliseconds startRetention { 60000 };

    /// Replaces the list by the one that the store returned, as of `position`. Returns false and changes nothing if
    /// this list is older than the known one.
    bool replaceAll(TimePoint now, StorePosition position, const std::vector<BackendServer>& servers);
    /// Replaces the list by that of another entry, which has determined from its own view of the store which servers
    /// expired and which are gone.
    bool replaceAllFromPeer(StorePosition position, const std::vector<BackendServer>& servers);
    /// Applies the write of one list entry, as of `position`.
    bool upsert(StorePosition position, const BackendServer& server);
    /// Applies the removal of one list entry, as of `position`. Returns the incarnation that has ended, or `nullopt`
    /// when its list entry may only have expired.
    std::optional<ServerIncarnation> remove(TimePoint now, StorePosition position, const BackendServerId& id);
    /// Applies the write of one list entry that names no usable server, as of `position`. Returns true if the list entry
    /// named a usable server before.
    bool dropUnreadable(StorePosition position, const BackendServerId& id);
    void advanceTo(StorePosition position);

    void onStoreUnreachable(TimePoint now);
    void onStoreReachable(TimePoint now);
    /// The store was restored from an older copy. Its list may miss servers that were listed after the copy was made,
    /// until they have written again.
    void onStoreRestored(TimePoint now);

    /// Drops servers whose grace period is over. Returns true when the usable servers changed.
    bool tick(TimePoint now);

    StorePosition position() const { return m_position; }
    /// Returns the listed servers, including draining ones, and those that expired a moment ago.
    std::vector<BackendServer> servers() const;
    const BackendServer* find(const BackendServerId& id) const;

private:
    struct Entry {
        BackendServer server;
        /// End of the grace period; set while the server is missing from the list but may only have expired.
        std::optional<TimePoint> expiresAt;
    };

    /// Returns the end of the grace period for a server that is missing now; unset when the server is gone.
    std::optional<TimePoint> graceUntil(TimePoint now) const;
    bool isOldIncarnation(const BackendServer& server) const;
    /// Applies `server` as listed unless a later incarnation of it is known. Returns false when nothing changed.
    bool apply(const BackendServer& server);
    void expireStarts(TimePoint now);

    struct KnownStart {
        ServerStartTime startedAt;
        /// Set once the server is no longer in the list.
        std::optional<TimePoint> expiresAt;
    };

    std::map<BackendServerId, Entry> m_entries;
    /// Latest known start time of each server that reported one.
    std::map<BackendServerId, KnownStart> m_latestStarts;
    StorePosition m_position;
    bool m_isStoreUnreachable { false };
    std::optional<TimePoint> m_graceUntil;
};

} // namespace swiftloft::gateway
