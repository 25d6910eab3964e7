#include "test/explore/map-change-explorer.h"

#include <cxxopts.hpp>

#include <cstdio>

/// Explores a change of the map under all combinations of faults, which takes minutes. Exits with 1 if a step mixed maps or a
/// group did not settle, and prints the faults and commands of the shortest run of each kind.
int main(int argc, char** argv)
{
    using namespace swiftloft::agent::rig;
    cxxopts::Options usage("swiftloft-explore", "Plays a change of a group's map under all combinations of faults.");
    usage.add_options()("ranks", "ranks of the group", cxxopts::value<std::uint32_t>()->default_value("2"), "N");
    usage.add_options()("faults", "faults of a run", cxxopts::value<int>()->default_value("2"), "N");
    usage.add_options()("check-fences", "the engines reject commands with outdated fences");
    usage.add_options()("h,help", "print this help");
    auto arguments = usage.parse(argc, argv);
    if (arguments.count("help")) {
        fmt::print("{}\n", usage.help());
        return 0;
    }
    bool isClean = true;
    for (int phase = 0; phase < RankFleet::pollTurns; ++phase) {
        ChangeExplorer::Options options { { arguments["ranks"].as<std::uint32_t>(), arguments.count("check-fences") > 0, phase }, arguments["faults"].as<int>(), 0 };
        auto result = ChangeExplorer(options).explore();
        fmt::print("{}: {}", toString(options), toString(result));
        std::fflush(stdout);
        isClean = isClean && result.violations.empty() && result.unsettled == 0;
    }
    return isClean ? 0 : 1;
}
