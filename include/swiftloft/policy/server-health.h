#pragma once

#include <swiftloft/result.h>
#include <swiftloft/units.h>

namespace swiftloft::policy {

/// Estimates the median of a stream with a single value, which moves up slightly for each larger value and down for
/// each smaller one. Unlike a mean, the estimate is not distorted by one engine that is ten times slower.
class RunningMedian {
public:
    void add(double value);
    double value() const { return m_value; }

private:
    double m_value { 0 };
    unsigned m_count { 0 };
};

struct ServerHealthOptions {
    /// Weight of the newest observation in a server's moving average.
    double weight { 0.2 };
    /// Token gaps (times between two tokens) above the service's median times this factor count as slow; smaller
    /// differences are noise.
    double gapTolerance { 1.3 };
    /// The same for the ratio of observed to predicted first-byte latency, which is noisier than token gaps.
    double firstByteTolerance { 2.5 };
    double maxFactor { 8 };
    /// Time without observations after which a server is assumed to be as fast as the others again, so that it is
    /// selected again.
    seconds expireAfter { 20 };
    /// Number of consecutive failures that eject a server; a crash ejects it immediately.
    unsigned failuresToEject { 3 };
    /// Moving failure rate that ejects a server which also succeeds occasionally.
    double failureShareToEject { 0.4 };
    milliseconds initialEjection { 1000 };
    milliseconds maxEjection { 60000 };
};

/// Service-wide reference values with which each server is compared.
struct ServiceBaseline {
    RunningMedian tokenGap;
    RunningMedian firstByteRatio;
};

enum class FailureKind {
    Unreachable,
    TimedOut,
    Crashed,
    /// The agent refused the request because it is at capacity, which does not indicate a fault.
    Refused,
};

/// Health of one backend server as observed by this entry: its relative speed and its failures.
class ServerHealth {
public:
    void onTokenGap(microseconds gap, ServiceBaseline& baseline, const ServerHealthOptions& options, TimePoint now);
    void onFirstByte(microseconds predicted, microseconds observed, ServiceBaseline& baseline, const ServerHealthOptions& options, TimePoint now);
    void onSuccess(const ServerHealthOptions& options, TimePoint now);
    /// Returns true when the server must be ejected until `ejectedUntil()`.
    bool onFailure(FailureKind kind, const ServerHealthOptions& options, TimePoint now);

    /// Returns 1 for a server as fast as the median, 4 for one that is four times slower.
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
