#pragma once

#include "src/gateway/protocol.h"

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::gateway {

/// Which backend servers may get new work, from a list that lags and at times loses servers that live.
///
/// Pure: the time comes with each call.
class ServerRegistry {
public:
    /// After the store's return, servers that lapsed while it was away re-enter the list within about two seconds. They
    /// stay usable for less than that, so that one that is really gone gets nothing later than a leaving one may.
    static constexpr milliseconds expiryGracePeriod { 1800 };
    /// The start of a server that has gone is remembered for this long: longer than news of it can lag, which is the store's
    /// history of 20 s and some seconds on the way.
    static constexpr milliseconds startRetention { 60000 };

    /// The whole list as the store gave it, as of `position`. An older list than the one known changes nothing and
    /// returns false.
    bool replaceAll(TimePoint now, StorePosition position, const std::vector<BackendServer>& servers);
    /// The list as another entry holds it, which has judged by its own sight of the store what lapsed and what is gone.
    bool replaceAllFromPeer(StorePosition position, const std::vector<BackendServer>& servers);
    /// One entry was written, as of `position`.
    bool upsert(StorePosition position, const BackendServer& server);
    /// One entry was removed, as of `position`. Gives the life that is gone; nothing when it may have lapsed only.
    std::optional<ServerIncarnation> remove(TimePoint now, StorePosition position, const BackendServerId& id);
    /// One entry was written, as of `position`, and names no server that can be used. True when it named one before.
    bool dropUnreadable(StorePosition position, const BackendServerId& id);
    void advanceTo(StorePosition position);

    void onStoreUnreachable(TimePoint now);
    void onStoreReachable(TimePoint now);
    /// The store has come back from an older copy: servers may be missing from its list that were listed since the copy, until they
    /// have written again.
    void onStoreRestored(TimePoint now);

    /// Drops servers whose grace is over. True when the usable servers changed.
    bool tick(TimePoint now);

    StorePosition position() const { return m_position; }
    /// Servers that are listed, and those that lapsed a moment ago; draining ones too.
    std::vector<BackendServer> servers() const;
    const BackendServer* find(const BackendServerId& id) const;

private:
    struct Entry {
        BackendServer server;
        /// Set while the server is missing from the list but may have lapsed only.
        std::optional<TimePoint> expiresAt;
    };

    /// Until when a server that is missing now may be one that lapsed; unset when it is gone.
    std::optional<TimePoint> graceUntil(TimePoint now) const;
    bool isOldIncarnation(const BackendServer& server) const;
    /// Takes `server` as listed unless a later life of it is known. False when nothing changed.
    bool apply(const BackendServer& server);
    void expireStarts(TimePoint now);

    struct KnownStart {
        ServerStartTime startedAt;
        /// Set once the server is in the list no more.
        std::optional<TimePoint> expiresAt;
    };

    std::map<BackendServerId, Entry> m_entries;
    /// Latest start known of each server that gave one.
    std::map<BackendServerId, KnownStart> m_latestStarts;
    StorePosition m_position;
    bool m_isStoreUnreachable { false };
    std::optional<TimePoint> m_graceUntil;
};

} // namespace swiftloft::gateway
