#pragma once

#include "src/gateway/model.h"

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::gateway {

/// Orders states of the platform's server list: a higher one is newer.
using ListRevision = Strong<struct ListRevisionTag, std::uint64_t>;

/// Which backend servers may get new work, from a list that lags and at times loses servers that live.
///
/// Pure: the time comes with each call.
class ServerBook {
public:
    /// After the store's return, servers that lapsed while it was away re-enter the list within about two seconds. They
    /// stay usable for less than that, so that one that is really gone gets nothing later than a leaving one may.
    static constexpr milliseconds lapseGrace { 1800 };
    /// The start of a server that has gone is remembered for this long: longer than news of it can lag, which is the store's
    /// history of 20 s and some seconds on the way.
    static constexpr milliseconds startKeptFor { 60000 };

    /// The whole list as the store gave it, as of `revision`. An older list than the one known changes nothing and
    /// returns false.
    bool setAll(TimePoint now, ListRevision revision, const std::vector<BackendServer>& servers);
    /// The list as another entry holds it, which has judged by its own sight of the store what lapsed and what is gone.
    bool setAllFromPeer(ListRevision revision, const std::vector<BackendServer>& servers);
    /// One entry was written, as of `revision`.
    bool put(ListRevision revision, const BackendServer& server);
    /// One entry was removed, as of `revision`. Gives the life that is gone; nothing when it may have lapsed only.
    std::optional<ServerLife> remove(TimePoint now, ListRevision revision, const BackendServerId& id);
    /// One entry was written, as of `revision`, and names no server that can be used. True when it named one before.
    bool dropUnreadable(ListRevision revision, const BackendServerId& id);
    void advance(ListRevision revision);

    void onStoreLost(TimePoint now);
    void onStoreRegained(TimePoint now);

    /// Drops servers whose grace is over. True when the usable servers changed.
    bool tick(TimePoint now);

    ListRevision revision() const { return m_revision; }
    /// Servers that are listed, and those that lapsed a moment ago; draining ones too.
    std::vector<BackendServer> servers() const;
    const BackendServer* find(const BackendServerId& id) const;

private:
    struct Entry {
        BackendServer server;
        /// Set while the server is missing from the list but may have lapsed only.
        std::optional<TimePoint> goneAt;
    };

    /// Until when a server that is missing now may be one that lapsed; unset when it is gone.
    std::optional<TimePoint> graceUntil(TimePoint now) const;
    bool isOfEndedLife(const BackendServer& server) const;
    /// Takes `server` as listed unless a later life of it is known. False when nothing changed.
    bool take(const BackendServer& server);
    void forgetStarts(TimePoint now);

    struct KnownStart {
        ServerStart startedAt;
        /// Set once the server is in the list no more.
        std::optional<TimePoint> forgottenAt;
    };

    std::map<BackendServerId, Entry> m_entries;
    /// Latest start known of each server that gave one.
    std::map<BackendServerId, KnownStart> m_starts;
    ListRevision m_revision;
    bool m_isStoreAway { false };
    std::optional<TimePoint> m_graceUntil;
};

} // namespace swiftloft::gateway
