#pragma once

#include "src/gateway/control-message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace swiftloft::gateway {

struct Snapshot;

/// The limits that backend servers in need name in their answers, and this entry's part in keeping them.
///
/// A limit binds all entries together, and no entry can ask another within a request. So a few *holders* share it evenly: the
/// first of an order of the entries that every entry computes for itself from the server's name and the entries in sight. Each
/// holder sends at its share and saves up one request and a second's worth; the others send nothing. The fewer requests
/// a limit allows, the fewer holders it has, so that what all of them have saved up stays within a fixed slack.
///
/// What a server said last is told to the other entries with its age; the newest word counts. When nothing has been heard of a
/// limit for `askAfter`, entries send one request each in turn, which shows whether it still holds: a limit of zero would
/// otherwise never end, nor one whose end an entry was not told.
///
/// Pure: the time comes with each call.
class ServerLimits {
public:
    /// The first entry in the order asks after this silence, each further one `askEvery` later.
    static constexpr milliseconds probeDelay { 4000 };
    static constexpr milliseconds probeInterval { 2000 };
    /// A holder saves up its share of this time, and one request.
    static constexpr milliseconds burstWindow { 1000 };
    /// Holders of a limit of less than one request a second; one more for each request a second.
    static constexpr double minHolders { 3 };
    /// That a limit holds, or has ended, is passed on for this long after the server said so.
    static constexpr milliseconds propagationTime { 10'000 };
    static constexpr milliseconds endPropagationTime { 5000 };
    /// That a limit still holds is news to the others after this silence.
    static constexpr milliseconds refreshInterval { 1000 };
    /// What was heard of a server that is not listed any more is kept for this long: the list lapses while the store is away.
    static constexpr milliseconds unlistedRetention { 30'000 };
    /// Words in one message; the latest are told first.
    static constexpr std::size_t maxReports { 400 };

    /// Takes what an answer to a request sent at `sentAt` says. True when the limit is another than before.
    bool onResponse(TimePoint now, ServerHash server, TimePoint sentAt, const std::optional<AdvertisedLimit>& limit);
    /// Takes the word of another entry. True when the limit is another than before.
    bool onPeerReport(TimePoint now, const LimitReport& report);
    /// The servers that are listed, and the entries that share limits: this one and those in sight that serve.
    void setFleet(TimePoint now, const Snapshot& snapshot);

    /// Unset where the server names none.
    std::optional<RequestRate> limitOf(ServerHash server) const;
    /// When this entry may send to the server next, as far as its limit goes: `now` for one without a limit.
    TimePoint nextSendTime(TimePoint now, ServerHash server) const;
    void onSend(TimePoint now, ServerHash server);
    /// What this entry may send on average over all servers of such a limit, were it spread evenly over the entries.
    double evenShare(ServerHash server) const;

    /// What is to be told to other entries.
    std::vector<LimitReport> reports(TimePoint now) const;
    /// Counts what this entry has heard from servers and others don't know yet.
    std::uint64_t localVersion() const { return m_localVersion; }
    bool isEmpty() const { return m_limits.empty(); }

private:
    struct LimitState {
        /// Unset once the limit has ended.
        std::optional<RequestRate> rate;
        /// When the server said so.
        TimePoint reportedAt;
        /// When this entry last sent a request only to hear of the limit.
        TimePoint probedAt;
        /// Place of this entry in the order of the server.
        std::size_t position { 0 };
        /// Requests a second that this entry may send; zero for one that is no holder.
        double share { 0 };
        /// Requests saved up at `countedAt`.
        double permits { 0 };
        TimePoint permitsUpdatedAt;
    };
    struct Member {
        membership::NodeKey key;
        DataCentreName dataCentre;
        bool isSelf { false };
    };

    /// Takes a word that is newer than all before. True when it says something else.
    bool update(TimePoint now, ServerHash server, std::optional<RequestRate> rate, TimePoint reportedAt);
    double holderCount(RequestRate rate) const;
    std::size_t positionOf(ServerHash server) const;
    void updateShare(TimePoint now, LimitState& state) const;
    double permitsAt(const LimitState& state, TimePoint now) const;

    std::map<ServerHash, LimitState> m_limits;
    std::vector<Member> m_members;
    /// Part of the entries that may exist that is in sight.
    double m_visibleShare { 1 };
    std::uint64_t m_localVersion { 0 };
};

} // namespace swiftloft::gateway
