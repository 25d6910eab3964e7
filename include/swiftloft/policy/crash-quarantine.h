#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
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

/// How specific a possible cause of crashes is: the position of a part in its prompt, counted from 1, or `wholeRequest`.
using Specificity = Strong<struct SpecificityTag, std::uint8_t>;
inline constexpr Specificity wholeRequest { 255 };

/// The specificity of the part with this index in its prompt.
Specificity specificityOfPart(std::size_t index);

/// What may cause crashes: a request, with all its repeats, or a part of a prompt, with all requests that share it.
struct PossibleCause {
    Fingerprint fingerprint;
    Specificity specificity { wholeRequest };

    friend bool operator==(const PossibleCause&, const PossibleCause&) = default;
};

/// Counts the crashes of a part that were known when a run with it started. Crashes of the same round count as one: a part
/// that many requests share is in flight wherever servers crash, and its runs that start before a crash is known are no
/// evidence beside each other. Round 0: the run was no trial of the part.
using CrashRound = Strong<struct CrashRoundTag, std::uint8_t>;

/// The requests that were in flight on a backend server when it crashed.
struct CrashReport {
    CrashId crash;
    std::vector<Fingerprint> inFlight;
    /// Requests that had been running for a while when the server crashed, and are less likely its cause.
    std::vector<Fingerprint> inProgress {};
    /// A part of the prompt of one of `inFlight`.
    struct Part {
        PossibleCause cause;
        /// Result of `nextRound` when the run started, if it started as the trial of this part.
        CrashRound round {};
    };
    std::vector<Part> parts {};
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
    Specificity specificity { wholeRequest };
    /// Only of parts.
    CrashRound round {};

    friend bool operator==(const SuspicionMessage&, const SuspicionMessage&) = default;
};

/// Ordered from the least to the most restrictive.
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
    /// request had been running for a while counts half. For a part of prompts, the number of rounds of crashes.
    std::size_t threshold { 2 };
    seconds quarantinePeriod { 3600 };
    /// A request that was quarantined remains a suspect for this long afterwards, and one more crash quarantines it
    /// again.
    seconds reviewPeriod { 0 };
    std::size_t capacity { 4096 };
    /// A crash says nothing about a request or part for this long after its success was reported by `onPartSuccess`. A
    /// part that many prompts share, or a request that many clients send, is in flight at most crashes.
    seconds provenPeriod { 10 };
    /// Number of requests and parts whose last success is remembered.
    std::size_t successCapacity { 8192 };
    /// Messages that have passed through this many nodes are dropped. Well above the number that any propagation needs.
    std::uint32_t maxHops { 16 };
};

/// Detects requests that crash the servers that run them. Used by entries and, as a second line of defence, by agents.
///
/// All requests in flight at a crash become suspects, and so do the parts of their prompts that have not just succeeded.
/// A suspect runs alone; when it succeeds, it is cleared, which releases requests that merely ran beside the cause. A
/// number of crashes that were not cleared quarantine a suspect.
///
/// A quarantined request or part explains the crashes at which it was in flight: these no longer count against parts that
/// are less likely causes. The likeliest cause is the one with the most crashes; among those with as many, the one that
/// has not succeeded for the longest time, and then the request or the last part in its prompt. Requests are judged each
/// by itself.
///
/// The state is a set of (fingerprint, crash, cleared, weak, round) tuples, so messages may be duplicated, delayed and reordered:
/// nodes that have received the same messages and seen the same successes decide alike, for up to eight crashes of a
/// fingerprint.
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
    /// The same for a part of the request's prompt, or for a request of many clients: remembers the success as well.
    std::vector<SuspicionMessage> onPartSuccess(Fingerprint part, TimePoint now);
    /// A success within `provenPeriod` is remembered.
    bool isProven(Fingerprint part, TimePoint now) const;
    std::vector<SuspicionMessage> onCrash(const CrashReport& report, TimePoint now);
    /// Returns true when the message contained new information and must be propagated further.
    bool onMessage(const SuspicionMessage& message, TimePoint now);
    /// All current suspicions, for a node that has just joined.
    std::vector<SuspicionMessage> snapshot(TimePoint now) const;
    /// Removes expired records.
    void tick(TimePoint now);

    std::size_t size() const { return m_records.size(); }
    /// Number of crashes that count against the fingerprint.
    std::size_t crashes(Fingerprint fingerprint, TimePoint now) const;
    /// Parts that may be the cause in place of this quarantined one: they were in flight at the same crashes. Requests that
    /// lack one of them are no certain cause, and a run of such a request shows which part it is.
    std::span<const Fingerprint> alternatives(Fingerprint part) const;
    /// The round of a trial of the part that starts now.
    CrashRound nextRound(Fingerprint part, TimePoint now) const;
    bool isQuarantined(Fingerprint fingerprint, TimePoint now) const { return check(fingerprint, now).action == QuarantineAction::Refuse; }

private:
    struct Crash {
        CrashId id;
        TimePoint expiresAt;
        bool isCleared { false };
        std::uint32_t hops { 0 };
        bool isWeak { false };
        CrashRound round {};
    };
    struct Record {
        std::vector<Crash> crashes;
        unsigned running { 0 };
        /// The highest that was reported: a part may stand at different places in different prompts.
        Specificity specificity;
        /// The last judgement has found a cause of crashes in it.
        bool isCause { false };
        /// Only of a part that is a cause: the parts that may be it instead.
        std::vector<Fingerprint> alternatives;
        /// It may be the cause in place of another part.
        bool isAlternative { false };

        bool isPart() const { return specificity != wholeRequest; }
    };
    using Records = boost::unordered_flat_map<Fingerprint, Record, std::hash<Fingerprint>>;
    /// A record with enough crashes to be a cause.
    struct Suspect {
        Record* record { nullptr };
        std::size_t crashes { 0 };
        TimePoint succeededAt;
        Fingerprint fingerprint;
    };

    explicit CrashQuarantine(CrashQuarantineOptions options);
    bool merge(const PossibleCause& cause, Crash crash, TimePoint now);
    static bool makeRoom(Record& record, const Crash& next);
    /// Weight of the crashes that count against the record. `explained`: crashes that do not.
    std::size_t weightOf(const Record& record, TimePoint now, const std::set<CrashId>& explained) const;
    bool isOverThreshold(const Record& record, TimePoint now) const;
    bool isRefused(const Record& record, TimePoint now) const;
    /// True if nothing but their places in prompts tells which of the two parts is the cause.
    bool isAmbiguous(const Suspect& one, const Suspect& other, TimePoint now) const;
    /// Finds the requests and parts that are causes, and the crashes that they explain.
    void judge(TimePoint now);
    /// Judges again if that can make a difference.
    void onCrashesChanged(Record& record, bool isNewCrash, TimePoint now);
    void rememberSuccess(Fingerprint part, TimePoint now);
    void rememberCrash(CrashId crash);
    /// True if the record was in flight at a third of the crashes that have become known last. Servers that crash for
    /// another reason do so also where it is not in flight.
    bool explainsRecentCrashes(const Record& record) const;
    void evictToCapacity(TimePoint now);
    void extendQuarantine(Record& record, TimePoint now) const;
    SuspicionMessage messageOf(Fingerprint fingerprint, const Record& record, const Crash& crash, TimePoint now) const;

    CrashQuarantineOptions m_options;
    Records m_records;
    /// Crashes that a quarantined request or part explains.
    std::set<CrashId> m_explained;
    /// The crashes that have become known last, the latest one last.
    std::vector<CrashId> m_recentCrashes;
    /// Last successes of requests and parts.
    boost::unordered_flat_map<Fingerprint, TimePoint, std::hash<Fingerprint>> m_successes;
};

} // namespace swiftloft::policy
