#pragma once

#include "src/gateway/control-message.h"

#include <map>
#include <optional>

namespace swiftloft::gateway {

struct Snapshot;

/// What the platform tolerates beyond the rate that a cold server accepts: in each second at most `overshoot` times the
/// rate, plus `slack` requests.
struct ColdLimitOptions {
    double overshoot { 1 };
    double slack { 0 };
};

/// This entry's share of the requests that cold backend servers accept.
///
/// A cold server crashes if all entries together send it more than a few requests in one second, so the bound must hold
/// in each second and not on average. Each cold server therefore has a fixed number of permits, one for each request a
/// second that it accepts. They are divided evenly among the data centres, and within one among the entries known
/// there, in an order that every entry computes from the server's hash. A permit lets one request pass in
/// `permitInterval`, which is longer than a second. No entry needs to know what the others have sent.
///
/// Entries whose views differ may hold a permit twice; what the platform tolerates beyond the rate covers one such
/// permit for each entry with a deviating view. Silent entries keep their permits, and an entry that has just started
/// has none until it knows its neighbours.
///
/// Unused permits are not accumulated. `ServerLimits` accumulates them, because it keeps its limits on average only.
///
/// Pure: the time is passed in with each call.
class ColdServerLimits {
public:
    /// An entry sends nothing to cold servers for this long after its start. Within two rounds of hellos it knows the
    /// entries of its data centre, if there are at most twice `EntryRegistry::maxLocalHellosPerRound`.
    static constexpr milliseconds settleTime { 1000 };
    /// Time between two uses of a permit: requests that are sent this far apart don't arrive within one second.
    static constexpr milliseconds permitInterval { 1050 };

    void setOptions(const ColdLimitOptions& options) { m_options = options; }
    /// Sets the servers, which of them are cold, and the entries that share their permits.
    void setFleet(TimePoint now, const Snapshot& snapshot);

    /// The earliest time at which this entry may send a request to the server; `now` if the server is not cold.
    TimePoint nextSendTime(TimePoint now, ServerHash server) const;
    void onSend(TimePoint now, ServerHash server);
    /// The rate of a cold server divided by the number of entries that may exist; zero for a server that is not cold.
    double evenShare(TimePoint now, ServerHash server) const;
    bool isCold(TimePoint now, ServerHash server) const;
    bool isEmpty() const { return m_limits.empty(); }

private:
    struct Limit {
        TimePoint coldUntil;
        unsigned permits { 0 };
        double evenShare { 0 };
        TimePoint nextSendAt;
    };

    /// Permits of a server for all entries together.
    unsigned permitsOf(RequestRate rate) const;

    ColdLimitOptions m_options;
    std::map<ServerHash, Limit> m_limits;
    /// Unset until the first snapshot.
    std::optional<TimePoint> m_settledAt;
};

} // namespace swiftloft::gateway
