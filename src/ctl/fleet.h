#pragma once

#include "src/ctl/fetch.h"
#include "src/ctl/options.h"

namespace swiftloft::ctl {

/// Adds `--entry` (or `--agent`, for `role` "agent") and `--timeout`, the options of commands that ask running processes.
void addFleetOptions(Options& options, const std::string& role = "entry");

/// Asks the processes that the options name. `onFetched` gets each answer when it is there, with the process's place on
/// the command line.
void fetchFromFleet(const Options& options, const std::string& target, const FetchedHandler& onFetched, const std::string& role = "entry");

} // namespace swiftloft::ctl
