#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// Reads INI text line by line with inih and says on which line each thing stands.
namespace swiftloft::settings::internal {

/// What `readLines` meets, in the order of the text.
struct LineHandler {
    /// `[heading]`, without brackets and outer blanks.
    std::function<void(std::uint32_t line, std::string_view heading)> section;
    std::function<void(std::uint32_t line, std::string_view key, std::string_view value)> entry;
    /// A line that is none of these; `isTooLong` when it is longer than `maxLineLength`.
    std::function<void(std::uint32_t line, std::string_view text, bool isTooLong)> bad;
};

/// inih cuts longer lines in two without a word.
constexpr std::size_t maxLineLength = 190;

void readLines(std::string_view text, const LineHandler& handler);

} // namespace swiftloft::settings::internal
