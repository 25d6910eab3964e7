#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace swiftloft::ctl {

/// One line of a process's log, taken apart.
struct LogLine {
    std::chrono::system_clock::time_point time;
    std::string event;
    std::string process;
    std::map<std::string, std::string, std::less<>> fields;
    std::string text;

    /// Empty when the line has no such field.
    std::string field(std::string_view name) const;
};

/// Nothing for a line that no process of ours wrote. What stands before the time, such as the prefix of a collector, is
/// passed over.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace swiftloft::ctl
