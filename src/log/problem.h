#pragma once

#include <exception>
#include <string>

namespace swiftloft::log {

/// What went wrong, for the `problem` field of a line: the category and plain message of a system error, else the error's own
/// text. `what()` of a system error also holds the place in a library's source, with whole template names.
std::string problemOf(const std::exception& error);

} // namespace swiftloft::log
