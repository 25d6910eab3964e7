#pragma once

#include "src/agent/events.h"

#include <swiftloft/policy/claim-table.h>
#include <swiftloft/policy/crash-quarantine.h>
#include <swiftloft/policy/dedup-table.h>
#include <swiftloft/result.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace swiftloft::agent {

struct ReducerOptions {
    BackendServerId self;
    Incarnation incarnation;
    /// How long a finished response is kept for a resent request or a new connection.
    seconds responseRetention { 300 };
    /// Limit of finished responses kept.
    std::size_t maxRetainedResponses { 2000 };
    /// Limit of the bytes of finished responses kept.
    std::size_t maxRetainedBytes { std::size_t { 32 } << 20 };
    /// Limit of the bodies of all requests in progress.
    std::size_t maxBodyBytes { std::size_t { 64 } << 20 };
    policy::DedupTableOptions dedup;
    policy::CrashQuarantineOptions quarantine;
    policy::ClaimTableOptions claims;
};

/// Makes all decisions of an agent about requests: a state machine that maps events to effects. Belongs to the control
/// thread.
///
/// All requests reach the engine through its agent. A request that this incarnation has started therefore never starts
/// again, however often and over whichever connection it arrives.
class Reducer {
public:
    static Result<Reducer> create(ReducerOptions options, TimePoint now);

    /// Processes an event and appends its effects to `effects`.
    void apply(const Event& event, Effects& effects);

    std::size_t running() const { return m_runs.size(); }
    bool isLeaving() const { return m_isLeaving; }
    bool isEngineUp() const { return m_isEngineUp; }

private:
    /// A request that is at the engine or is held until it can run there alone.
    struct RunRecord {
        policy::Ticket ticket;
        Fingerprint fingerprint;
        Tokens totalTokens;
        TimePoint deadline;
        bool isAlone { false };
        bool isHeld { false };
        std::optional<policy::ClientKey> clientKey;
        std::size_t bodyBytes { 0 };
    };

    struct RetainedResponse {
        RunId run;
        TimePoint expires;
        std::optional<policy::ClientKey> clientKey;
        std::size_t bytes { 0 };
    };

    /// A request whose connection broke. It is not known yet whether the engine crashed.
    struct BrokenRun {
        RunId run;
        Fingerprint fingerprint;
        TimePoint brokenAt;
    };

    Reducer(ReducerOptions options, policy::DedupTable dedup, policy::CrashQuarantine quarantine, policy::ClaimTable claims);

    void on(const RunRequested& event, Effects& effects);
    void on(const ClaimRequested& event, Effects& effects);
    void on(const ClaimReleased& event, Effects& effects);
    void on(const InstanceListReceived& event, Effects& effects);
    void on(const CancelRequested& event, Effects& effects);
    void on(const RunEnded& event, Effects& effects);
    void on(const EngineUp& event, Effects& effects);
    void on(const EngineDown& event, Effects& effects);
    void on(const SuspicionsReceived& event, Effects& effects);
    void on(const LeaveRequested& event, Effects& effects);
    void on(const Tick& event, Effects& effects);

    Reason refusalReason(const RunRequested& event, bool runsAlone) const;
    bool mustRunAlone(const RunRequested& event) const;
    void startRun(const RunRequested& event, bool isAlone, Effects& effects);
    /// Returns true if the check of the claim has already answered the call, and false if the request may start.
    bool resolveClaim(const RunRequested& event, Effects& effects);
    void attachByKey(const RunRequested& event, Effects& effects) const;
    void refuseStart(const RunRequested& event, policy::StartResult result, Effects& effects) const;
    void releaseHeldRun(Effects& effects);
    void stopExpiredHeldRun(TimePoint now, Effects& effects) const;
    void recordCrash(TimePoint now);
    void concludeBrokenRuns(TimePoint probedAt, Effects& effects);
    void evictExpiredResponses(TimePoint now, Effects& effects);
    void finishIfIdle(Effects& effects) const;
    void publishReport(TimePoint now, Effects& effects) const;

    ReducerOptions m_options;
    policy::DedupTable m_dedup;
    policy::CrashQuarantine m_quarantine;
    policy::ClaimTable m_claims;
    /// Runs and retained responses of requests with a client key.
    std::unordered_map<policy::ClientKey, RunId> m_runByKey;
    std::unordered_map<RunId, RunRecord> m_runs;
    /// The run that is alone at the engine or is held until it can be.
    std::optional<RunId> m_aloneRun;
    Tokens m_pendingTokens;
    /// Ordered from oldest to newest.
    std::deque<RetainedResponse> m_retainedResponses;
    std::size_t m_retainedBytes { 0 };
    /// Sum of the bodies of the requests in progress.
    std::size_t m_bodyBytes { 0 };
    std::vector<BrokenRun> m_brokenRuns;
    std::uint64_t m_crashCount { 0 };
    /// 0 unless the engine is down because of a crash.
    policy::CrashId m_currentCrash;
    bool m_isLeaving { false };
    bool m_isEngineUp { false };
    double m_tokensPerSecond { 0 };
};

} // namespace swiftloft::agent
