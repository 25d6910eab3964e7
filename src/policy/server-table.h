#pragma once

#include "src/policy/indexed-heap.h"

#include <swiftloft/policy/router.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>

namespace swiftloft::policy::internal {

/// Distance of a server from this entry.
enum class Tier : std::uint8_t {
    DataCentre,
    Region,
    Far,
};
constexpr std::size_t tierCount = 3;

/// Recent changes of this entry's own work at a server, used to compute what that work was when a report was sampled.
class RecentChanges {
public:
    void add(TimePoint at, Tokens change);
    /// Sum of the changes after `since`. The ring buffer holds only the most recent changes. With more changes since
    /// then the sum is incomplete; the lag of the report is then the smaller error.
    Tokens sumAfter(TimePoint since) const;

private:
    struct Change {
        TimePoint at;
        Tokens tokens;
    };
    std::array<Change, 16> m_changes {};
    std::size_t m_next { 0 };
};

/// The values that a selection reads, kept together so that sampling a server touches few cache lines.
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

/// The servers of one service by slot, with a dense list of the active servers of each tier.
class ServerTable {
public:
    ServerHandle add(const ServerDescription& description, Tier tier);
    void remove(ServerHandle handle);
    std::optional<ServerHandle> find(const BackendServerId& id) const;

    /// Returns null for the handle of a removed server.
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
    /// The ejected server whose ejection period ends first, if that period is over.
    std::optional<std::uint32_t> dueForProbe(TimePoint now) const;
    /// Excludes a server from `dueForProbe` while it is being probed.
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
