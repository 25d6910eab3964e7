#pragma once

#include "src/ctl/fetch.h"
#include "src/ctl/options.h"

namespace swiftloft::ctl {

/// Adds `--entry` and `--timeout`, the options of commands that ask running entries.
void addFleetOptions(Options& options);

/// Asks the entries that the options name.
std::vector<Fetched> fetchFromFleet(const Options& options, const std::string& target);

} // namespace swiftloft::ctl
