#pragma once

#include <swiftloft/result.h>
#include <swiftloft/units.h>

namespace swiftloft::policy {

/// Follows the median of a stream with one number: up a little when a value is above, down when below. Unlike a mean
/// it is not moved by one engine that is ten times slower.
class RunningMedian {
public:
    void add(double value);
    double value() const { return m_value; }

private:
    double m_value { 0 };
    unsigned m_count { 0 };
};

struct ServerHealthOptions {
    /// Weight of the newest observation in a server's own average.
    double weight { 0.2 };
    /// Token gaps above the median of the service times this count as slow; below it the difference is noise.
    double gapTolerance { 1.3 };
    /// The same for first-byte latency against the prediction, which is the noisier of the two.
    double firstByteTolerance { 2.5 };
    double maximumFactor { 8 };
    /// A server not observed for so long is believed to be as fast as the others again, so that it gets tried.
    seconds expireAfter { 20 };
    /// Failures in a row that eject; a crash ejects at once.
    unsigned failuresToEject { 3 };
    /// Running share of failures that ejects a server which also succeeds now and then.
    double failureShareToEject { 0.4 };
    milliseconds initialEjection { 1000 };
    milliseconds maxEjection { 60000 };
};

/// What the servers of one service are compared with.
struct ServiceBaseline {
    RunningMedian tokenGap;
    RunningMedian firstByteRatio;
};

enum class FailureKind {
    Unreachable,
    TimedOut,
    Crashed,
    /// The agent refused for lack of room: no sign of ill health.
    Refused,
};

/// What this entry saw of one backend server: how slow, and whether it fails.
class ServerHealth {
public:
    void onTokenGap(microseconds gap, ServiceBaseline& baseline, const ServerHealthOptions& options, TimePoint now);
    void onFirstByte(microseconds predicted, microseconds observed, ServiceBaseline& baseline, const ServerHealthOptions& options, TimePoint now);
    void onSuccess(const ServerHealthOptions& options, TimePoint now);
    /// True when the server is to be ejected until `ejectedUntil()`.
    bool onFailure(FailureKind kind, const ServerHealthOptions& options, TimePoint now);

    /// 1 for a server as fast as the median, 4 for one four times slower.
    double slowFactor(const ServerHealthOptions& options, TimePoint now) const;
    TimePoint ejectedUntil() const { return m_ejectedUntil; }

private:
    double m_tokenGap { 0 };
    double m_firstByteRatio { 0 };
    double m_factor { 1 };
    TimePoint m_observedAt {};
    TimePoint m_ejectedUntil {};
    double m_failureShare { 0 };
    unsigned m_failures { 0 };
    unsigned m_ejections { 0 };

    void updateFactor(const ServiceBaseline& baseline, const ServerHealthOptions& options, TimePoint now);
};

} // namespace swiftloft::policy
