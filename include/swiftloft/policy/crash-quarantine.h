#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace swiftloft::policy {

/// Identifies one crash of one backend server; computed by `crashIdOf`.
using CrashId = Strong<struct CrashIdTag, std::uint64_t>;

/// Computes the id of a crash. `count` is the number of engine crashes that this agent incarnation has observed so far.
CrashId crashIdOf(const BackendServerId& server, Incarnation agent, std::uint64_t count);

/// Selects the server that runs a suspect (a request that was in flight when an engine crashed) in isolation. All
/// entries with the same candidates select the same server, so that all copies of a suspect reach one agent, which runs
/// them one at a time. Linear in the number of candidates; suspects are rare.
std::optional<BackendServerId> isolationServer(Fingerprint fingerprint, std::span<const BackendServerId> candidates);

/// The requests that were in flight on a backend server when it crashed.
struct CrashReport {
    CrashId crash;
    std::vector<Fingerprint> inFlight;
    /// Requests that had been running for a while when the server crashed, and are less likely its cause.
    std::vector<Fingerprint> inProgress {};
};

/// States that requests with this fingerprint are suspected of having caused this crash, or, when `isCleared` is set,
/// that they did not cause it. Small enough to be propagated to every entry and agent.
struct SuspicionMessage {
    Fingerprint fingerprint;
    CrashId crash;
    /// A request with this fingerprint has since succeeded on another server, so it did not cause this crash.
    bool isCleared { false };
    /// Time to expiry when the message was sent. Nodes have no common clock, so each receiver converts it to its own
    /// time point.
    milliseconds remaining { 0 };
    /// Number of nodes that have forwarded this suspicion.
    std::uint32_t hops { 0 };
    /// The request had been running for a while when the server crashed.
    bool isWeak { false };

    friend bool operator==(const SuspicionMessage&, const SuspicionMessage&) = default;
};

enum class QuarantineAction {
    Admit,
    /// The request is a suspect: send it to `isolationServer`, which runs it alone.
    RunAlone,
    /// The request is a suspect and a copy of it is running: refuse for now. This attempt has not run, but earlier
    /// attempts of the same request may have run.
    Wait,
    /// The request is quarantined: refuse it until `until`. This attempt has not run, but earlier attempts of the same
    /// request may have run.
    Refuse,
};

std::string_view toString(QuarantineAction action);

struct QuarantineDecision {
    QuarantineAction action { QuarantineAction::Admit };
    TimePoint until;
};

struct CrashQuarantineOptions {
    /// Time for which a request is a suspect after a crash.
    seconds suspicionPeriod { 600 };
    /// Number of crashes within `suspicionPeriod`, none of them cleared, that quarantine a request. A crash at which the
    /// request had been running for a while counts half.
    std::size_t threshold { 2 };
    seconds quarantinePeriod { 3600 };
    /// A request that was quarantined remains a suspect for this long afterwards, and one more crash quarantines it
    /// again.
    seconds reviewPeriod { 0 };
    std::size_t capacity { 4096 };
    /// Messages that have passed through this many nodes are dropped. Well above the number that any propagation needs.
    std::uint32_t maxHops { 16 };
};

/// Detects requests that crash the servers that run them. Used by entries and, as a second line of defence, by agents.
///
/// All requests in flight at a crash become suspects. A suspect runs alone; when it succeeds, it is cleared, which
/// releases requests that merely ran beside the cause. A number of crashes that were not cleared quarantine a request.
/// The state is a set of (fingerprint, crash, cleared, weak) tuples, so messages may be duplicated, delayed and reordered:
/// nodes that have received the same messages decide alike, for up to eight crashes of a fingerprint.
class CrashQuarantine {
public:
    static Result<CrashQuarantine> create(CrashQuarantineOptions options);

    /// True when there are no suspects, so that no fingerprint needs to be computed.
    bool empty() const { return m_records.empty(); }
    QuarantineDecision check(Fingerprint fingerprint, TimePoint now) const;
    /// A run for which `check` returned `RunAlone` starts. Call `onEndAlone` when it ends, whatever its outcome.
    void onStartAlone(Fingerprint fingerprint);
    void onEndAlone(Fingerprint fingerprint);
    /// A run has succeeded. Returns the messages to propagate.
    std::vector<SuspicionMessage> onSuccess(Fingerprint fingerprint, TimePoint now);
    std::vector<SuspicionMessage> onCrash(const CrashReport& report, TimePoint now);
    /// Returns true when the message contained new information and must be propagated further.
    bool onMessage(const SuspicionMessage& message, TimePoint now);
    /// All current suspicions, for a node that has just joined.
    std::vector<SuspicionMessage> snapshot(TimePoint now) const;
    /// Removes expired records.
    void tick(TimePoint now);

    std::size_t size() const { return m_records.size(); }
    bool isQuarantined(Fingerprint fingerprint, TimePoint now) const { return check(fingerprint, now).action == QuarantineAction::Refuse; }

private:
    struct Crash {
        CrashId id;
        TimePoint expiresAt;
        bool isCleared { false };
        std::uint32_t hops { 0 };
        bool isWeak { false };
    };
    struct Record {
        std::vector<Crash> crashes;
        unsigned running { 0 };
    };
    using Records = boost::unordered_flat_map<Fingerprint, Record, std::hash<Fingerprint>>;

    explicit CrashQuarantine(CrashQuarantineOptions options);
    bool merge(Fingerprint fingerprint, Crash crash, TimePoint now);
    static bool makeRoom(std::vector<Crash>& crashes);
    bool isOverThreshold(const Record& record, TimePoint now) const;
    void evictToCapacity(TimePoint now);
    void extendQuarantine(Record& record, TimePoint now) const;
    SuspicionMessage messageOf(Fingerprint fingerprint, const Crash& crash, TimePoint now) const;

    CrashQuarantineOptions m_options;
    Records m_records;
};

} // namespace swiftloft::policy
