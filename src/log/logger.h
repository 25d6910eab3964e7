#pragma once

#include <fmt/core.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

/// Structured logs: one line an event, each with the number under which docs/EVENTS.md explains it.
namespace swiftloft::log {

enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view toString(Level level);

enum class Event : std::uint16_t {
#define SWIFTLOFT_EVENT(number, name, level, text) name = number,
#include "src/log/events.def"
#undef SWIFTLOFT_EVENT
};

struct EventInfo {
    Event event;
    std::string_view name;
    Level level;
    std::string_view text;
};

/// All events in the order of `events.def`.
std::span<const EventInfo> catalogue();

/// Where finished lines go; standard error unless a test sets another. Called from any thread, one line at a time.
using LineSink = std::function<void(std::string_view line)>;
void setLineSink(LineSink sink);

/// Asked before each line; one that it says no to is dropped. Called from any thread.
using LineFilter = std::function<bool(Event event)>;
void setFilter(LineFilter filter);

/// Lines below `level` are dropped.
void setThreshold(Level level);

/// Sets the name that each line carries, such as the instance id. Call once, before other threads start.
void setProcessName(std::string name);

void writeLine(Event event, std::string_view details);

/// Writes one line: UTC time, level, number, event name, process name and details as `key=value` pairs.
/// `details` must hold nothing secret.
template <typename... Args>
void write(Event event, fmt::format_string<Args...> format, Args&&... args)
{
    writeLine(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace swiftloft::log
