#pragma once

#include "src/expertmap/replay/policies.h"
#include "src/expertmap/replay/trace.h"

#include <vector>

namespace swiftloft::expertmap::replay {

/// What one policy did in one interval.
struct IntervalResult {
    double meanSkew { 0 };
    std::uint64_t expertsMoved { 0 };
};

/// What one policy did over a trace.
struct ReplayResult {
    std::string policy;
    /// Time of the slowest rank over the mean rank time, layer by layer, over all sampled steps.
    double skewP50 { 0 };
    double skewP99 { 0 };
    /// Step time over its lower bound, mean of all sampled steps.
    double ratioToLowerBound { 0 };
    std::uint64_t expertsMoved { 0 };
    Bytes bytesMoved;
    std::uint64_t mapChanges { 0 };
    /// Experts moved by decisions within Rasoi Rahdari's quiet hours.
    std::uint64_t movedInQuietHours { 0 };
    /// Steps run while some rank loaded weights, at the given rate of the weight store.
    std::uint64_t stepsDisturbed { 0 };
    std::vector<IntervalResult> intervals;
};

struct ReplayOptions {
    /// Steps sampled from each interval.
    std::uint32_t stepsPerInterval { 8 };
    Bytes bytesPerExpert { 44'000'000 };
    Bytes storeBytesPerSecond { 4'000'000'000 };
    double stepSeconds { 0.006 };
};

/// Replays `trace` against `policy`. A report covers an interval and arrives at its end; the map decided then holds from
/// the interval after the next one, as loading takes time. Tokens are split by the newest report for all policies alike.
ReplayResult replay(const Trace& trace, const ExpertMap& initial, const Policy& policy, const ReplayOptions& options);

} // namespace swiftloft::expertmap::replay
