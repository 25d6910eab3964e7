#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

/// Recorded demand of rank groups, and the replay of policies against it. Used by the bench and by tests; not part of the
/// public library.
namespace swiftloft::expertmap::replay {

/// From `interval` on, `rank` works at `speed` (1 is normal).
struct SpeedChange {
    std::uint32_t interval { 0 };
    std::uint32_t rank { 0 };
    double speed { 1 };
};

/// Tokens by interval, layer and expert, as bench/traces/README.md describes.
struct Trace {
    std::string name;
    MapShape shape;
    std::uint32_t intervalMinutes { 5 };
    std::uint32_t startMinute { 0 };
    /// Tokens of one layer in one step; the unit of `loads` is tokens of one step.
    double tokensPerStep { 0 };
    std::uint64_t seed { 0 };
    std::vector<SpeedChange> speedChanges;
    /// `loads[interval][layer * experts + expert]`.
    std::vector<std::vector<double>> loads;

    std::uint32_t intervals() const { return static_cast<std::uint32_t>(loads.size()); }
    std::uint32_t minuteOfDay(std::uint32_t interval) const { return (startMinute + interval * intervalMinutes) % 1440; }
    std::vector<double> speedsAt(std::uint32_t interval) const;
};

void writeTrace(std::ostream& out, const Trace& trace);
/// Fails with `MalformedInput`, naming the line, when the text is no whole trace.
Result<Trace> readTrace(std::istream& in);

/// The kinds of trace the generator makes.
enum class TraceKind {
    HanoiDay,
    GujaratDay,
    Flip,
    Oscillation,
    Noise,
    SlowRanks,
};

inline constexpr TraceKind traceKinds[] = { TraceKind::HanoiDay, TraceKind::GujaratDay, TraceKind::Flip, TraceKind::Oscillation, TraceKind::Noise, TraceKind::SlowRanks };

const char* toString(TraceKind kind);

/// The same kind, shape, length and seed give the same trace.
Trace generateTrace(TraceKind kind, const MapShape& shape, std::uint32_t intervals, std::uint64_t seed);

} // namespace swiftloft::expertmap::replay
