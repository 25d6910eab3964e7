#pragma once

#include "src/ctl/fetch.h"
#include "src/ctl/options.h"

namespace swiftloft::ctl {

/// Adds `--entry` and `--timeout`, the options of commands that ask running entries.
void addFleetOptions(Options& options);

/// Asks the entries that the options name. `onFetched` gets each answer when it is there, with the entry's place on the
/// command line.
void fetchFromFleet(const Options& options, const std::string& target, const FetchedHandler& onFetched);

} // namespace swiftloft::ctl
