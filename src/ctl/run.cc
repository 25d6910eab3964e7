#include "src/ctl/command.h"
#include "src/ctl/options.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace swiftloft::ctl {

namespace {

const std::array table {
    Command { "check", "FILE", "validate a settings tree or manifest; every problem with file, line, key and what was expected", runCheck },
    Command { "show", "FILE NODE", "settings in force at a node, such as \"service NAME\", and where each was written", runShow },
    Command { "diff", "OLD NEW", "nodes that an edit touches, also through inheritance, with old and new values", runDiff },
    Command { "manifest", "PART...", "print the manifest for a tree published in parts NAME.ini", runManifest },
    Command { "keys", "", "print the settings keys as the rows of the reference page", runKeys },
    Command { "events", "", "print the catalogue of log events", runEvents },
    Command { "status", "--entry IP:PORT...", "state, settings revision and backend servers of running entries", runStatus },
    Command { "route", "--entry IP:PORT... --service NAME", "where running entries would send the next request of a service, and why", runRoute },
    Command { "maps", "--agent IP:PORT...", "expert map, step and change in progress of rank groups from running agents", runMaps },
    Command { "explain", "ID [LOG...]", "what happened to a request and why, from the logs of entries and agents (files, or standard input)", runExplain },
    Command { "burn", "--entry IP:PORT... --settings FILE", "service-level burn by service and organisation from running entries", runBurn },
};

void printHelp(const Console& console)
{
    console.out("Tools for the operator of swiftloft.\n\nUsage:\n  swiftloft-ctl COMMAND [OPTION...]\n\nCommands:\n");
    for (auto& command : table)
        console.out(fmt::format("  {:<10} {}\n", command.name, command.summary));
    console.out("\nEach command has --help, --version and --json.\n");
    console.out("Exit codes: 0 good, 1 something was found to be wrong, 2 wrong usage or unreadable file, 3 no instance answered.\n");
}

ExitCode dispatch(const Arguments& arguments, const Console& console)
{
    if (arguments.empty())
        throw UsageError("expected a command; swiftloft-ctl --help lists them");
    auto& name = arguments[0];
    if (name == "--help" || name == "help") {
        printHelp(console);
        return ExitCode::Ok;
    }
    if (name == "--version") {
        console.out("swiftloft-ctl " SWIFTLOFT_VERSION "\n");
        return ExitCode::Ok;
    }
    auto it = std::find_if(table.begin(), table.end(), [&](auto& command) { return command.name == name; });
    if (it == table.end())
        throw UsageError(fmt::format("unknown command or option \"{}\"; swiftloft-ctl --help lists them", name));
    return it->run(*it, Arguments(arguments.begin() + 1, arguments.end()), console);
}

} // namespace

std::span<const Command> commands()
{
    return table;
}

ExitCode run(const Arguments& arguments, const Console& console)
{
    try {
        return dispatch(arguments, console);
    } catch (const UsageError& error) {
        console.err(fmt::format("swiftloft-ctl: {}\n", error.what()));
        return ExitCode::Usage;
    }
}

} // namespace swiftloft::ctl
