#include "src/log/logger.h"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <mutex>

namespace swiftloft::log {

namespace {

constexpr EventInfo events[] = {
#define SWIFTLOFT_EVENT(number, name, level, text) { Event::name, #name, Level::level, text },
#include "src/log/events.def"
#undef SWIFTLOFT_EVENT
};

struct Output {
    std::mutex mutex;
    LineSink sink = [](std::string_view line) { fmt::print(stderr, "{}\n", line); };
    LineFilter filter;
    Level threshold { Level::Info };
    std::string processName { "swiftloft" };
};

Output& output()
{
    static Output instance;
    return instance;
}

const EventInfo& infoOf(Event event)
{
    for (auto& info : events) {
        if (info.event == event)
            return info;
    }
    return events[0];
}

} // namespace

std::string_view toString(Level level)
{
    constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
    return names[static_cast<std::size_t>(level)];
}

std::span<const EventInfo> catalogue()
{
    return events;
}

void setLineSink(LineSink sink)
{
    std::scoped_lock lock(output().mutex);
    output().sink = std::move(sink);
}

void setFilter(LineFilter filter)
{
    std::scoped_lock lock(output().mutex);
    output().filter = std::move(filter);
}

void setThreshold(Level level)
{
    std::scoped_lock lock(output().mutex);
    output().threshold = level;
}

void setProcessName(std::string name)
{
    std::scoped_lock lock(output().mutex);
    output().processName = std::move(name);
}

void writeLine(Event event, std::string_view details)
{
    auto& info = infoOf(event);
    auto& out = output();
    // Not under the lock: a filter may write a line of its own.
    if (out.filter && !out.filter(event))
        return;
    std::scoped_lock lock(out.mutex);
    if (info.level < out.threshold)
        return;
    auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    out.sink(fmt::format("{:%Y-%m-%dT%H:%M:%S}Z {} {} {} {} {}", now, toString(info.level),
        static_cast<int>(event), info.name, out.processName, details));
}

} // namespace swiftloft::log
