/// Replays traces against a running fleet and judges the stated outcomes; makes load; makes traces.
#include "src/replay/commands.h"

#include <fmt/format.h>

#include <cstdio>
#include <string_view>

namespace {

constexpr std::string_view usage = "Usage: swiftloft-replay COMMAND [OPTION...]\n"
                                   "\n"
                                   "Commands:\n"
                                   "  run        replay a trace and judge its stated outcomes\n"
                                   "  load       send generated requests at a rate or a concurrency\n"
                                   "  generate   write a trace from a seed\n"
                                   "\n"
                                   "'swiftloft-replay COMMAND --help' lists the options.\n";

} // namespace

int main(int argc, char** argv)
{
    using namespace swiftloft::replay;
    std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "run")
        return runCommand(argc - 1, argv + 1);
    if (command == "load")
        return loadCommand(argc - 1, argv + 1);
    if (command == "generate")
        return generateCommand(argc - 1, argv + 1);
    if (command == "--help") {
        fmt::print("{}", usage);
        return 0;
    }
    if (command == "--version") {
        fmt::print("swiftloft-replay {}\n", SWIFTLOFT_VERSION);
        return 0;
    }
    fmt::print(stderr, "swiftloft-replay: '{}' is not a command\n{}", command, usage);
    return 2;
}
