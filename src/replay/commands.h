#pragma once

/// The commands of swiftloft-replay. Each takes the arguments from its own name on and returns the exit status: 0 when
/// the stated outcomes hold, 1 when one does not, 2 for a wrong command line or trace.
namespace swiftloft::replay {

int runCommand(int argc, char** argv);
int loadCommand(int argc, char** argv);
int generateCommand(int argc, char** argv);

} // namespace swiftloft::replay
