#pragma once

#include "src/gateway/control-message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace swiftloft::gateway {

struct Snapshot;

/// The limits that overloaded backend servers advertise in their responses, and this entry's share of each limit: the
/// part of the limit that this entry may use.
///
/// A limit applies to all entries together, and an entry can't consult the others within a request. So each limit is
/// divided equally among a few entries, its *holders*. Every entry computes the same order of the visible entries from
/// the server's hash, and the holders are the first entries in that order. Each holder sends at the rate of its share
/// and accumulates permits for one request plus one second's worth; the others send nothing. The fewer requests a limit
/// allows, the fewer holders it has, so that the permits accumulated by all holders stay within a fixed slack.
///
/// The latest limit of a server is sent to the other entries with its age; the newest report wins. If nothing has been
/// reported about a limit for `probeDelay`, the entries send one probe request each in turn, which shows whether the
/// limit still applies. Without probes, a limit of zero would never end, because no request is sent that could show its
/// end. Nor would a limit end on an entry that missed the report of its end.
///
/// Pure: the time is passed in with each call.
class ServerLimits {
public:
    /// The first entry in the order probes after this time without a report, each further entry `probeInterval` later.
    static constexpr milliseconds probeDelay { 4000 };
    static constexpr milliseconds probeInterval { 2000 };
    /// A holder accumulates permits for its share of this time, plus one request.
    static constexpr milliseconds burstWindow { 1000 };
    /// Number of holders of a limit below one request per second. There is one more holder for each full request per
    /// second.
    static constexpr double minHolders { 3 };
    /// A limit, or its end, is reported to other entries for this long after the server advertised it.
    static constexpr milliseconds propagationTime { 10'000 };
    static constexpr milliseconds endPropagationTime { 5000 };
    /// After this time without a report, another response that confirms the limit is sent to the other entries
    /// immediately.
    static constexpr milliseconds refreshInterval { 1000 };
    /// The limit of an unlisted server is kept for this long: the server list expires while the store is unreachable.
    static constexpr milliseconds unlistedRetention { 30'000 };
    /// Maximum number of reports in one message; the latest reports are kept.
    static constexpr std::size_t maxReports { 400 };

    /// Processes the limit in a response to a request sent at `sentAt`. Returns true if the limit has changed.
    bool onResponse(TimePoint now, ServerHash server, TimePoint sentAt, const std::optional<AdvertisedLimit>& limit);
    /// Processes the report of another entry. Returns true if the limit has changed.
    bool onPeerReport(TimePoint now, const LimitReport& report);
    /// Sets the listed servers and the entries that share limits: this entry and the visible entries that serve.
    void setFleet(TimePoint now, const Snapshot& snapshot);

    /// Unset if the server advertises no limit.
    std::optional<RequestRate> limitOf(ServerHash server) const;
    /// The earliest time at which the server's limit allows this entry to send a request; `now` for a server without a
    /// limit.
    TimePoint nextSendTime(TimePoint now, ServerHash server) const;
    void onSend(TimePoint now, ServerHash server);
    /// The server's limit divided by the number of entries that may exist. This is the rate at which this entry may
    /// send, averaged over many servers with the same limit, because each server has other holders.
    double evenShare(ServerHash server) const;

    /// Reports to be sent to other entries.
    std::vector<LimitReport> reports(TimePoint now) const;
    /// Incremented for each report that this entry received from a server and that the other entries don't have yet.
    std::uint64_t localVersion() const { return m_localVersion; }
    bool isEmpty() const { return m_limits.empty(); }

private:
    struct LimitState {
        /// Unset once the limit has ended.
        std::optional<RequestRate> rate;
        /// When the server advertised the limit or its end.
        TimePoint reportedAt;
        /// When this entry last sent a probe request.
        TimePoint probedAt;
        /// Position of this entry in the order of the server.
        std::size_t position { 0 };
        /// Requests per second that this entry may send; zero if it is not a holder.
        double share { 0 };
        /// Permits accumulated at `permitsUpdatedAt`.
        double permits { 0 };
        TimePoint permitsUpdatedAt;
    };
    struct Member {
        membership::NodeKey key;
        DataCentreName dataCentre;
        bool isSelf { false };
    };

    /// Applies a report that is newer than all before. Returns true if the limit has changed.
    bool update(TimePoint now, ServerHash server, std::optional<RequestRate> rate, TimePoint reportedAt);
    double holderCount(RequestRate rate) const;
    std::size_t positionOf(ServerHash server) const;
    void updateShare(TimePoint now, LimitState& state) const;
    double permitsAt(const LimitState& state, TimePoint now) const;

    std::map<ServerHash, LimitState> m_limits;
    std::vector<Member> m_members;
    /// Number of visible entries divided by the number of entries that may exist.
    double m_visibleShare { 1 };
    std::uint64_t m_localVersion { 0 };
};

} // namespace swiftloft::gateway
