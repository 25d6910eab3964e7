#pragma once

#include <string>
#include <string_view>

namespace swiftloft::log {

/// Returns text from another writer for a quoted field of a log line: at most 80 bytes, and without characters that could be
/// mistaken for another field or line.
std::string printable(std::string_view text);

} // namespace swiftloft::log
