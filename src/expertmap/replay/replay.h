#pragma once

#include "src/expertmap/replay/policies.h"
#include "src/expertmap/replay/trace.h"

#include <vector>

namespace swiftloft::expertmap::replay {

/// Results of one policy in one interval.
struct IntervalResult {
    double meanSkew { 0 };
    std::uint64_t expertsMoved { 0 };
};

/// Results of one policy over a trace.
struct ReplayResult {
    std::string policy;
    /// Quantiles, over all sampled steps, of the time of the slowest rank divided by the mean rank time. Both times
    /// are summed layer by layer.
    double skewP50 { 0 };
    double skewP99 { 0 };
    /// Step time divided by its lower bound, averaged over all sampled steps.
    double ratioToLowerBound { 0 };
    std::uint64_t expertsMoved { 0 };
    Bytes bytesMoved;
    std::uint64_t mapChanges { 0 };
    /// Experts moved by decisions within the quiet hours of Rasoi Rahdari.
    std::uint64_t movedInQuietHours { 0 };
    /// Steps run while some rank loads weights, at the given rate of the weight store.
    std::uint64_t stepsDisturbed { 0 };
    std::vector<IntervalResult> intervals;
};

struct ReplayOptions {
    /// Number of steps sampled from each interval.
    std::uint32_t stepsPerInterval { 8 };
    Bytes bytesPerExpert { 44'000'000 };
    Bytes storeBytesPerSecond { 4'000'000'000 };
    double stepSeconds { 0.006 };
};

/// Replays `trace` with `policy`. A report covers one interval and arrives at its end. The map that is decided on
/// then applies from the interval after the next one, because loading takes time. Tokens are split by the newest
/// report for all policies alike.
ReplayResult replay(const Trace& trace, const ExpertMap& initial, const Policy& policy, const ReplayOptions& options);

} // namespace swiftloft::expertmap::replay
