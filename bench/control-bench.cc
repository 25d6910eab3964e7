#include "bench/control-bench.h"

#include "src/membership/random.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>

namespace swiftloft::bench {

std::string makeTree(std::size_t bytes, std::uint64_t seed)
{
    membership::Random random(seed);
    std::string text;
    for (std::size_t i = 0; text.size() < bytes; ++i) {
        text += fmt::format("[organisation organisation-{:05}]\nparent = default\nrate-limit = {:05}\nburst = {:04}\nweight = {:03}\n\n",
            i, random.below(100'000), random.below(10'000), random.below(1000));
    }
    return text;
}

std::string editTree(std::string tree, std::uint64_t change)
{
    constexpr std::string_view key = "burst = ";
    membership::Random random(change);
    auto at = tree.find(key, random.below(tree.size() - 200));
    if (at != std::string::npos)
        tree.replace(at + key.size(), 4, fmt::format("{:04}", random.below(10'000)));
    return tree;
}

} // namespace swiftloft::bench

int main(int argc, char** argv)
{
    using namespace swiftloft::bench;
    using Mode = std::function<void(const ControlBenchOptions&)>;
    const std::map<std::string, Mode> modes { { "fleet", benchFleet }, { "loss", benchLoss }, { "member", benchMember }, { "udp", benchUdp }, { "subset", benchSubset } };
    cxxopts::Options options("control-bench", "What control costs a node");
    options.add_options()("mode", "fleet, loss, member, udp or subset", cxxopts::value<std::string>()->default_value("fleet"));
    options.add_options()("nodes", "processes of the system", cxxopts::value<std::size_t>()->default_value("50"));
    options.add_options()("seconds", "steady state measured", cxxopts::value<std::size_t>()->default_value("30"));
    options.add_options()("tree-bytes", "size of the settings tree", cxxopts::value<std::size_t>()->default_value("1000000"));
    options.add_options()("changes", "changes of the tree", cxxopts::value<std::size_t>()->default_value("5"));
    options.add_options()("seed", "seed of the run", cxxopts::value<std::uint64_t>()->default_value("1"));
    auto arguments = options.parse(argc, argv);
    auto mode = modes.find(arguments["mode"].as<std::string>());
    if (mode == modes.end()) {
        fmt::print(stderr, "{}\n", options.help());
        return 2;
    }
    ControlBenchOptions chosen;
    chosen.nodes = arguments["nodes"].as<std::size_t>();
    chosen.seconds = arguments["seconds"].as<std::size_t>();
    chosen.treeBytes = arguments["tree-bytes"].as<std::size_t>();
    chosen.changes = arguments["changes"].as<std::size_t>();
    chosen.seed = arguments["seed"].as<std::uint64_t>();
    mode->second(chosen);
    return 0;
}
