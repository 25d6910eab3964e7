#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

/// Recorded demand of rank groups, and the replay of policies against it. Used by the benchmark and by tests; not
/// part of the public library.
namespace swiftloft::expertmap::replay {

/// From `interval` on, `rank` runs at `speed` (1 is normal).
struct SpeedChange {
    std::uint32_t interval { 0 };
    std::uint32_t rank { 0 };
    double speed { 1 };
};

/// Tokens by interval, layer and expert, in the format that bench/traces/README.md describes.
struct Trace {
    std::string name;
    MapShape shape;
    std::uint32_t intervalMinutes { 5 };
    std::uint32_t startMinute { 0 };
    /// Tokens of one layer in one step. The values of `loads` are also tokens of one step.
    double tokensPerStep { 0 };
    std::uint64_t seed { 0 };
    std::vector<SpeedChange> speedChanges;
    /// `loads[interval][layer * experts + expert]`.
    std::vector<std::vector<double>> loads;

    std::uint32_t intervals() const { return static_cast<std::uint32_t>(loads.size()); }
    std::uint32_t minuteOfDay(std::uint32_t interval) const { return (startMinute + interval * intervalMinutes) % 1440; }
    /// Speeds by rank in `interval`.
    std::vector<double> speedsAt(std::uint32_t interval) const;
};

/// Writes `trace` as text that `readTrace` parses.
void writeTrace(std::ostream& out, const Trace& trace);
/// Parses a trace. Fails with `MalformedInput`, naming the line, when the text is not a complete trace.
Result<Trace> readTrace(std::istream& in);

/// Kinds of trace that the generator makes.
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

/// Generates a trace. The same kind, shape, length and seed always give the same trace.
Trace generateTrace(TraceKind kind, const MapShape& shape, std::uint32_t intervals, std::uint64_t seed);

} // namespace swiftloft::expertmap::replay
