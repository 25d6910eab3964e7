#pragma once

#include "src/process/process-config.h"

#include <swiftloft/ids.h>

#include <functional>
#include <string>

namespace swiftloft::process {

/// A number that no earlier or other process has, from the system's random source.
Incarnation drawIncarnation();

/// The `main` of a daemon: reads the command line (`--config FILE`, `--help`, `--version`) and the process file, says
/// what is wrong with either, and calls `run`. Returns the exit code: 0 after a graceful shutdown, 1 when the process
/// could not start, 2 when the command line is wrong.
int runDaemon(int argc, char** argv, const std::string& name, const std::string& purpose,
    const std::function<void(ProcessConfig, Incarnation)>& run);

} // namespace swiftloft::process
