#pragma once

#include "src/ctl/console.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::ctl {

using Arguments = std::vector<std::string>;

/// One subcommand of `swiftloft-ctl`.
struct Command {
    std::string_view name;
    std::string_view operands;
    std::string_view summary;
    /// Gets what follows the command's name.
    std::function<ExitCode(const Command&, const Arguments&, const Console&)> run;
};

ExitCode runCheck(const Command&, const Arguments&, const Console&);
ExitCode runShow(const Command&, const Arguments&, const Console&);
ExitCode runDiff(const Command&, const Arguments&, const Console&);
ExitCode runManifest(const Command&, const Arguments&, const Console&);
ExitCode runEvents(const Command&, const Arguments&, const Console&);
ExitCode runKeys(const Command&, const Arguments&, const Console&);
ExitCode runStatus(const Command&, const Arguments&, const Console&);
ExitCode runRoute(const Command&, const Arguments&, const Console&);
ExitCode runMaps(const Command&, const Arguments&, const Console&);
ExitCode runExplain(const Command&, const Arguments&, const Console&);
ExitCode runBurn(const Command&, const Arguments&, const Console&);

std::span<const Command> commands();

/// Runs the command line without the program's name. Faults of usage are reported on the console.
ExitCode run(const Arguments& arguments, const Console& console);

} // namespace swiftloft::ctl
