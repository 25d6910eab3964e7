#pragma once

#include <swiftloft/settings/tree.h>

#include "src/ctl/console.h"

#include <string>

namespace swiftloft::ctl {

/// Reads a whole file; throws `UsageError` when it can't.
std::string readFile(const std::string& path);

/// Reads and validates a settings file with the function that all processes use. A manifest's parts are looked for
/// beside it as NAME.ini.
settings::Parsed loadSettings(const std::string& path);

/// As `loadSettings`, but reports the problems on the console and gives nothing when there are any.
std::optional<settings::Tree> loadValidSettings(const std::string& path, const Console& console);

} // namespace swiftloft::ctl
