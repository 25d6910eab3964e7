#include "src/process/program.h"

#include "src/log/logger.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <exception>
#include <random>

namespace swiftloft::process {

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

int start(const std::string& name, const std::string& fileName, const std::function<void(ProcessConfig, Incarnation)>& run)
{
    auto config = readProcessConfig(fileName);
    if (!config) {
        log::write(log::Event::StartFailed, "problem=\"{}\"", config.error().message);
        return exitFailed;
    }
    auto incarnation = drawIncarnation();
    log::setProcessName(config->id);
    log::write(log::Event::ProcessStarted, "program={} version={} incarnation={:016x} data-centre={}", name, SWIFTLOFT_VERSION,
        incarnation.value(), config->dataCentre.value());
    try {
        run(*config, incarnation);
    } catch (const std::exception& error) {
        log::write(log::Event::StartFailed, "problem=\"{}\"", error.what());
        return exitFailed;
    }
    log::write(log::Event::ProcessStopped, "");
    return 0;
}

} // namespace

Incarnation drawIncarnation()
{
    std::random_device source;
    auto high = static_cast<std::uint64_t>(source()) << 32;
    return Incarnation(high | source());
}

int runDaemon(int argc, char** argv, const std::string& name, const std::string& purpose,
    const std::function<void(ProcessConfig, Incarnation)>& run)
{
    cxxopts::Options options(name, purpose);
    options.add_options()("config", "process file (docs/REFERENCE.md, \"Process files\")", cxxopts::value<std::string>(), "FILE");
    options.add_options()("h,help", "print this help");
    options.add_options()("version", "print the version");
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            fmt::print("{}\n", options.help());
            return 0;
        }
        if (arguments.count("version")) {
            fmt::print("{} {}\n", name, SWIFTLOFT_VERSION);
            return 0;
        }
        if (!arguments.unmatched().empty() || !arguments.count("config")) {
            fmt::print(stderr, "{}: expected --config FILE and nothing else; see {} --help\n", name, name);
            return exitUsage;
        }
        return start(name, arguments["config"].as<std::string>(), run);
    } catch (const cxxopts::exceptions::exception& error) {
        fmt::print(stderr, "{}: {}; see {} --help\n", name, error.what(), name);
        return exitUsage;
    }
}

} // namespace swiftloft::process
