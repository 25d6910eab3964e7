#pragma once

#include "src/gateway/capacity/pass-times.h"
#include "src/gateway/model.h"

#include <optional>

namespace swiftloft::gateway::capacity {

/// How the duration of a group's pass depends on the requests that run, from the published traits of its engines.
struct PassModel {
    double stepMs { 0 };
    double stepMsPerRequest { 0 };
    double stepsPerPass { 1 };
    double ranks { 1 };

    bool isKnown() const { return stepMs > 0; }
    /// Duration at normal pace with this many requests on all ranks together, in milliseconds.
    double passMs(double running) const { return stepsPerPass * (stepMs + stepMsPerRequest * running / ranks); }
};

/// Duration of a pass, and how old the news behind it is.
struct Pass {
    Clock::duration length {};
    Clock::duration age {};
};

/// What one entry knows of the passes of one group. Own streams go before the report of the group, which goes before the
/// pace of its ranks. Pure.
class GroupEstimate {
public:
    /// A reported pass or pace is valid for this long; agents repeat their reports every 400 ms.
    static constexpr milliseconds reportLifetime { 1200 };
    /// Passes from the start of an attempt to its first event while none has been seen: the one in progress and the one
    /// that reads the prompt.
    static constexpr double defaultFirstPasses { 2 };

    void setModel(const PassModel& model) { m_model = model; }
    const PassModel& model() const { return m_model; }

    void onAttemptStarted(TimePoint now)
    {
        ++m_ownRunning;
        m_lastStartedAt = now;
    }
    void onAttemptEnded() { m_ownRunning -= m_ownRunning > 0 ? 1 : 0; }
    /// Requests of this entry that run on the group.
    unsigned ownRunning() const { return m_ownRunning; }
    /// When this entry last sent a request to the group; the epoch if it has not.
    TimePoint lastStartedAt() const { return m_lastStartedAt; }
    void onFirstEvent(TimePoint now, Clock::duration sinceStart);
    void onInterval(TimePoint now, Clock::duration interval) { m_passes.add(now, interval); }
    void onReportedPass(TimePoint reportedAt, double passMs);
    /// The slowest rank works at this pace; 1 is normal.
    void onReportedPace(TimePoint reportedAt, double pace);

    /// Unset if nothing recent is known, or if only the pace is known and the traits are not.
    std::optional<Pass> pass(TimePoint now, double running) const;
    /// Mean of the last passes as seen by this entry; unset if nothing recent is known.
    std::optional<Clock::duration> meanSeenPass(TimePoint now) const { return m_passes.mean(now); }
    /// Duration of the last passes as seen by this entry or reported; unset if nothing recent is known.
    std::optional<Pass> seenPass(TimePoint now) const;
    bool isReportedSlow(TimePoint now) const { return m_pace > 1 && m_paceReportedAt + reportLifetime > now; }
    double firstPasses() const { return m_firstPasses; }
    /// Number of requests that may run so that a pass lasts `length`, given that it lasts `pass` with `running`; unset if
    /// the traits are not known.
    std::optional<double> runningAt(Clock::duration length, Clock::duration pass, double running) const;

private:
    PassModel m_model;
    PassTimes m_passes;
    unsigned m_ownRunning { 0 };
    TimePoint m_lastStartedAt {};
    double m_firstPasses { defaultFirstPasses };
    TimePoint m_passReportedAt {};
    double m_reportedPassMs { 0 };
    TimePoint m_paceReportedAt {};
    double m_pace { 1 };
};

} // namespace swiftloft::gateway::capacity
