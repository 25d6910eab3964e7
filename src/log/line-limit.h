#pragma once

#include "src/log/logger.h"

#include <chrono>
#include <cstdint>
#include <mutex>

namespace swiftloft::log {

/// Keeps the volume of a process's log within a bound. May be called from any thread.
///
/// Lines of requests that went well are let through up to a lower bound than all others: in an overload it is the refused
/// and failed ones that will be asked about.
class LineLimit {
public:
    struct Options {
        /// Lines a second at most. A line has some 250 bytes, so this is about 100 KB a second.
        std::uint32_t linesPerSecond { 400 };
        /// Of which so many may be of requests that went well.
        std::uint32_t servedPerSecond { 200 };
    };
    using Time = std::chrono::steady_clock::time_point;

    explicit LineLimit(const Options& options)
        : m_options(options)
    {
    }

    /// True when a line of `event` may be written now.
    bool allows(Event event, Time now);
    /// Lines held back since the last call.
    std::uint64_t takeDropped();

private:
    Options m_options;
    std::mutex m_mutex;
    Time m_secondBegan;
    std::uint32_t m_lines { 0 };
    std::uint32_t m_served { 0 };
    std::uint64_t m_dropped { 0 };
};

/// Makes the log go to standard output within the bounds of a `LineLimit`. A reader that does not read costs lines, never
/// time; how many were lost is said once a second.
void logToStandardOutput(const LineLimit::Options& options = {});

} // namespace swiftloft::log
