#pragma once

#include <swiftloft/result.h>

#include <functional>
#include <string>
#include <vector>

namespace swiftloft::process {

/// Reads a file that has one section of `key = value` lines.
struct IniSection {
    /// Name of the section.
    std::string name;
    /// Takes a value. Returns what was expected when the value is not it, or an empty string.
    std::function<std::string(const std::string& key, const std::string& value)> assign;
    /// Keys that must be there.
    std::vector<std::string> required;
};

/// Feeds `text` to `section`, key by key. Fails with `MalformedInput`, naming file, line, key and what was expected, on a
/// line that is no key, a key of another section, one set twice, one whose value is refused, or a missing one.
Result<void> readIniSection(const std::string& text, const std::string& fileName, const IniSection& section);

/// The text of a file. Fails with `NotFound`.
Result<std::string> readTextFile(const std::string& fileName);

} // namespace swiftloft::process
