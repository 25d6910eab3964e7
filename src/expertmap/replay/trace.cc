#include "src/expertmap/replay/trace.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <array>
#include <cmath>
#include <istream>
#include <ostream>
#include <sstream>

namespace swiftloft::expertmap::replay {

namespace {

constexpr const char* magic = "swiftloft-trace 1";

Error malformed(std::size_t line, std::string_view what)
{
    return { ErrorCode::MalformedInput, fmt::format("line {}: {}", line, what) };
}

/// Parses one `key value...` line into the trace. Returns the error text, or an empty text on success.
std::string parseLine(Trace& trace, const std::string& text)
{
    std::istringstream line(text);
    std::string key;
    line >> key;
    if (key == "name")
        line >> trace.name;
    else if (key == "ranks")
        line >> trace.shape.ranks;
    else if (key == "layers")
        line >> trace.shape.layers;
    else if (key == "experts")
        line >> trace.shape.experts;
    else if (key == "slots-per-rank")
        line >> trace.shape.slotsPerRank;
    else if (key == "interval-minutes")
        line >> trace.intervalMinutes;
    else if (key == "start-minute")
        line >> trace.startMinute;
    else if (key == "tokens-per-step")
        line >> trace.tokensPerStep;
    else if (key == "seed")
        line >> trace.seed;
    else if (key == "speed") {
        SpeedChange change;
        line >> change.interval >> change.rank >> change.speed;
        if (line && (change.rank >= trace.shape.ranks || !(change.speed > 0)))
            return "speed line has an unknown rank or a speed that is not positive";
        trace.speedChanges.push_back(change);
    } else if (key == "load") {
        std::uint32_t interval = 0;
        std::uint32_t layer = 0;
        line >> interval >> layer;
        bool isNext = layer < trace.shape.layers && interval == trace.loads.size() - (layer > 0 ? 1 : 0);
        if (!line || !isNext)
            return "load lines must be in order of interval and layer";
        if (layer == 0)
            trace.loads.emplace_back().reserve(static_cast<std::size_t>(trace.shape.layers) * trace.shape.experts);
        if (trace.loads.back().size() != static_cast<std::size_t>(layer) * trace.shape.experts)
            return "a layer is missing or duplicated";
        for (std::uint32_t n = 0; n < trace.shape.experts; ++n) {
            double load = -1;
            line >> load;
            if (!line || !std::isfinite(load) || load < 0)
                return "a load is missing or negative";
            trace.loads.back().push_back(load);
        }
    } else
        return fmt::format("unknown key '{}'", key);
    return line ? "" : fmt::format("missing or invalid value of '{}'", key);
}

} // namespace

std::vector<double> Trace::speedsAt(std::uint32_t interval) const
{
    std::vector<double> speeds(shape.ranks, 1.0);
    for (auto& change : speedChanges) {
        if (change.interval <= interval)
            speeds[change.rank] = change.speed;
    }
    return speeds;
}

void writeTrace(std::ostream& out, const Trace& trace)
{
    fmt::print(out, "{}\nname {}\nranks {}\nlayers {}\nexperts {}\nslots-per-rank {}\n", magic, trace.name, trace.shape.ranks,
        trace.shape.layers, trace.shape.experts, trace.shape.slotsPerRank);
    fmt::print(out, "interval-minutes {}\nstart-minute {}\ntokens-per-step {}\nseed {}\n", trace.intervalMinutes, trace.startMinute,
        trace.tokensPerStep, trace.seed);
    for (auto& change : trace.speedChanges)
        fmt::print(out, "speed {} {} {}\n", change.interval, change.rank, change.speed);
    for (std::uint32_t t = 0; t < trace.intervals(); ++t) {
        for (std::uint32_t layer = 0; layer < trace.shape.layers; ++layer) {
            fmt::print(out, "load {} {}", t, layer);
            for (std::uint32_t n = 0; n < trace.shape.experts; ++n)
                fmt::print(out, " {:.0f}", trace.loads[t][static_cast<std::size_t>(layer) * trace.shape.experts + n]);
            fmt::print(out, "\n");
        }
    }
}

Result<Trace> readTrace(std::istream& in)
{
    Trace trace;
    std::string text;
    if (!std::getline(in, text) || text != magic)
        return malformed(1, "not a trace: the header line is missing or unknown");
    for (std::size_t line = 2; std::getline(in, text); ++line) {
        auto error = parseLine(trace, text);
        if (!error.empty())
            return malformed(line, error);
    }
    auto valuesPerInterval = static_cast<std::size_t>(trace.shape.layers) * trace.shape.experts;
    if (valuesPerInterval == 0 || trace.loads.empty() || trace.loads.back().size() != valuesPerInterval || !(trace.tokensPerStep > 0))
        return malformed(0, "incomplete trace: the shape, tokens per step or loads of the last interval are missing");
    return trace;
}

const char* toString(TraceKind kind)
{
    constexpr std::array<const char*, std::size(traceKinds)> names { "hanoi-day", "gujarat-day", "flip", "oscillation", "noise", "slow-ranks" };
    return names[static_cast<std::size_t>(kind)];
}

} // namespace swiftloft::expertmap::replay
