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
    /// How long a finished answer is kept for a resend or a new connection.
    seconds keepAnswers { 300 };
    /// Most finished answers kept.
    std::size_t mostAnswers { 2000 };
    policy::DedupTableOptions dedup;
    policy::CrashQuarantineOptions quarantine;
    policy::ClaimTableOptions claims;
};

/// All decisions of an agent about requests: State x Event -> Effects, on the control thread.
///
/// The agent is the only way to its engine, so what this incarnation has started it never starts again, however often
/// and over whichever connection the request arrives.
class Reducer {
public:
    static Result<Reducer> create(ReducerOptions options, TimePoint now);

    /// Appends to `effects`.
    void apply(const Event& event, Effects& effects);

    std::size_t running() const { return m_runs.size(); }
    bool isLeaving() const { return m_isLeaving; }
    bool isEngineUp() const { return m_isEngineUp; }

private:
    /// A request that is at the engine, or held until it may go there alone.
    struct Run {
        policy::Ticket ticket;
        Fingerprint fingerprint;
        Tokens work;
        TimePoint deadline;
        bool isAlone { false };
        bool isHeld { false };
        std::optional<policy::ClientKey> clientKey;
    };

    struct KeptAnswer {
        RunId run;
        TimePoint expires;
        std::optional<policy::ClientKey> clientKey;
    };

    /// A request that broke; whether the engine crashed with it is not known yet.
    struct BrokenRun {
        RunId run;
        Fingerprint fingerprint;
        TimePoint at;
    };

    Reducer(ReducerOptions options, policy::DedupTable dedup, policy::CrashQuarantine quarantine, policy::ClaimTable claims);

    void on(const RunRequested& event, Effects& effects);
    void on(const ClaimRequested& event, Effects& effects);
    void on(const ClaimReleased& event, Effects& effects);
    void on(const ListLearned& event, Effects& effects);
    void on(const CancelRequested& event, Effects& effects);
    void on(const RunEnded& event, Effects& effects);
    void on(const EngineUp& event, Effects& effects);
    void on(const EngineDown& event, Effects& effects);
    void on(const SuspicionsHeard& event, Effects& effects);
    void on(const LeaveRequested& event, Effects& effects);
    void on(const Tick& event, Effects& effects);

    Reason reasonToRefuse(const RunRequested& event, bool runsAlone) const;
    bool mustRunAlone(const RunRequested& event) const;
    void begin(const RunRequested& event, bool isAlone, Effects& effects);
    /// True when a claim settles what becomes of the call; false when it may go on to start.
    bool settleClaim(const RunRequested& event, Effects& effects);
    void attachToKey(const RunRequested& event, Effects& effects) const;
    void refuseStart(const RunRequested& event, policy::StartResult result, Effects& effects) const;
    void releaseHeld(Effects& effects);
    void stopLateHeld(TimePoint now, Effects& effects) const;
    void takeCrash(TimePoint now);
    void concludeBroken(TimePoint probedAt, Effects& effects);
    void forgetExpired(TimePoint now, Effects& effects);
    void finishIfIdle(Effects& effects) const;
    void publish(TimePoint now, Effects& effects) const;

    ReducerOptions m_options;
    policy::DedupTable m_dedup;
    policy::CrashQuarantine m_quarantine;
    policy::ClaimTable m_claims;
    /// Runs and kept answers of client keys.
    std::unordered_map<policy::ClientKey, RunId> m_runOfKey;
    std::unordered_map<RunId, Run> m_runs;
    /// The run that has, or waits for, the engine to itself.
    std::optional<RunId> m_alone;
    Tokens m_pending;
    /// Oldest first.
    std::deque<KeptAnswer> m_answers;
    std::vector<BrokenRun> m_broken;
    std::uint64_t m_crashes { 0 };
    /// 0 while the engine is not down by a crash.
    policy::CrashId m_crash;
    bool m_isLeaving { false };
    bool m_isEngineUp { false };
    double m_tokensPerSecond { 0 };
};

} // namespace swiftloft::agent
