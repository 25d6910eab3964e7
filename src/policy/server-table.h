#pragma once

#include "src/policy/indexed-heap.h"

#include <swiftloft/policy/router.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>

namespace swiftloft::policy::internal {

/// How far a server is from this entry.
enum class Tier : std::uint8_t {
    DataCentre,
    Region,
    Far,
};
constexpr std::size_t tierCount = 3;

/// Changes of this entry's own work at a server lately, to work out what it was when a report was sampled.
class RecentChanges {
public:
    void add(TimePoint at, Tokens change);
    /// Sum of the changes after `since`. The ring holds the last few: with more since the sample the sum is cut short,
    /// and the report's own lag is then the smaller error.
    Tokens sumAfter(TimePoint since) const;

private:
    struct Change {
        TimePoint at;
        Tokens tokens;
    };
    std::array<Change, 16> m_changes {};
    std::size_t m_next { 0 };
};

/// Figures a choice reads; kept together so that a sample touches few cache lines.
struct Server {
    Tokens ownInFlight;
    /// Smoothed work of other entries; negative until the first report.
    double othersInFlight { -1 };
    double tokensPerSecond { 0 };
    ServerHealth health;
    std::uint32_t generation { 0 };
    std::uint32_t activeIndex { 0 };
    Tier tier { Tier::DataCentre };
    ServerState state { ServerState::Active };
    bool isUsed { false };
    bool isBeingProbed { false };
    TimePoint sampledAt {};
    RecentChanges recentChanges;
    BackendServerId id;
};

/// The servers of one service by slot, the active ones also as a dense list for each tier.
class ServerTable {
public:
    ServerHandle add(const ServerDescription& description, Tier tier);
    void remove(ServerHandle handle);
    std::optional<ServerHandle> find(const BackendServerId& id) const;

    /// Null for a handle of a removed server.
    Server* at(ServerHandle handle);
    const Server* at(ServerHandle handle) const;
    Server& slot(std::uint32_t n) { return m_servers[n]; }
    const Server& slot(std::uint32_t n) const { return m_servers[n]; }
    ServerHandle handleOf(std::uint32_t n) const { return { n, m_servers[n].generation }; }
    std::size_t slots() const { return m_servers.size(); }
    std::size_t size() const { return m_ids.size(); }

    const std::vector<std::uint32_t>& active(Tier tier) const { return m_active[static_cast<std::size_t>(tier)]; }
    std::size_t activeCount() const;
    void activate(ServerHandle handle);
    void eject(ServerHandle handle);
    void markLeaving(ServerHandle handle);
    /// The ejected server that may be probed soonest, if its time has come.
    std::optional<std::uint32_t> dueForProbe(TimePoint now) const;
    /// Keeps a server that is being probed out of `dueForProbe`.
    void suspendProbe(std::uint32_t n);

private:
    void removeFromActive(std::uint32_t n);

    std::vector<Server> m_servers;
    std::vector<std::uint32_t> m_freeSlots;
    std::array<std::vector<std::uint32_t>, tierCount> m_active;
    IndexedHeap<TimePoint> m_ejected;
    boost::unordered_flat_map<BackendServerId, std::uint32_t, std::hash<BackendServerId>> m_ids;
};

} // namespace swiftloft::policy::internal
