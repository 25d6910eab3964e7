#pragma once

#include "src/agent/events.h"

#include <cstddef>
#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

namespace swiftloft::agent {

struct ReducerOptions {
    /// How long a finished request's answer and key are kept for a resend.
    seconds keepFinished { 300 };
    /// Most finished keys kept.
    std::size_t mostFinished { 100'000 };
    /// How long fingerprints of a crash are reported.
    seconds keepSuspects { 600 };
    /// Requests that broke this long before the engine was seen to be gone were in progress at the crash.
    seconds crashWindow { 2 };
};

/// All decisions of an agent about requests: State x Event -> Effects, on the control thread.
///
/// The agent is the only way to its engine, so a key that this incarnation has seen starts at most once however often
/// and over whichever connection it arrives.
class Reducer {
public:
    Reducer(Incarnation incarnation, ReducerOptions options);

    /// Appends to `effects`.
    void apply(const Event& event, Effects& effects);

    std::size_t running() const { return m_running; }
    bool isLeaving() const { return m_isLeaving; }

private:
    struct Record {
        Fingerprint fingerprint;
        /// The try that may stop the run: the latest one.
        AttemptId attempt;
        bool isRunning { true };
        Verdict verdict { Verdict::MayHaveRun };
    };

    /// A finished key or a closed try, and until when it is remembered.
    template <typename Id>
    struct Expiry {
        Id id;
        TimePoint expires;
    };

    struct BrokenRun {
        Fingerprint fingerprint;
        TimePoint at;
    };

    void on(const RunRequested& event, Effects& effects);
    void on(const CancelRequested& event, Effects& effects);
    void on(const RunEnded& event, Effects& effects);
    void on(const EngineUp& event, Effects& effects);
    void on(const EngineDown& event, Effects& effects);
    void on(const LeaveRequested& event, Effects& effects);
    void on(const Tick& event, Effects& effects);

    Reason reasonToRefuse(const RunRequested& event) const;
    void takeSuspects(TimePoint now);
    void closeAttempt(const AttemptId& attempt, TimePoint now);
    void forgetExpired(TimePoint now, Effects& effects);
    void finishIfIdle(Effects& effects);
    void publish(Effects& effects) const;

    Incarnation m_incarnation;
    ReducerOptions m_options;
    std::unordered_map<RequestKey, Record> m_records;
    std::set<AttemptId> m_closedAttempts;
    /// Oldest first.
    std::deque<Expiry<RequestKey>> m_finished;
    std::deque<Expiry<AttemptId>> m_closed;
    std::deque<BrokenRun> m_recentlyBroken;
    std::size_t m_running { 0 };
    bool m_isLeaving { false };
    bool m_isEngineUp { false };
    std::vector<Fingerprint> m_suspects;
    TimePoint m_suspectsExpire;
};

} // namespace swiftloft::agent
