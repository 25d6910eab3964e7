/// Configuration service, instance list and weight store of a platform.
#include "standin/platform.h"
#include "standin/program.h"

#include "src/log/logger.h"

namespace swiftloft::standin {

namespace {

int run(int argc, char** argv)
{
    cxxopts::Options options("standin-platform", "Stand-in for the platform: settings, instance list, weight store");
    options.add_options()("listen", "IP:PORT to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("settings", "INI file published as revision 1", cxxopts::value<std::string>());
    options.add_options()("instances", "JSON file with the instance list", cxxopts::value<std::string>());
    options.add_options()("calls-per-second", "calls answered a second; more get 429", cxxopts::value<std::int64_t>()->default_value("2000"));
    options.add_options()("weights-bytes-per-second", "rate of the weight store", cxxopts::value<std::int64_t>()->default_value("1073741824"));
    int exitStatus = 0;
    auto parsed = parseCommandLine(options, argc, argv, exitStatus);
    if (!parsed)
        return exitStatus;
    log::setProcessName("platform");
    boost::asio::io_context io(1);
    PlatformOptions platformOptions;
    platformOptions.callsPerSecond = (*parsed)["calls-per-second"].as<std::int64_t>();
    platformOptions.weightBytesPerSecond = std::max<std::int64_t>(1, (*parsed)["weights-bytes-per-second"].as<std::int64_t>());
    Platform platform(io, platformOptions);
    try {
        if (parsed->count("settings"))
            platform.publishSettings(readFile((*parsed)["settings"].as<std::string>()));
        if (parsed->count("instances"))
            platform.publishInstances(readFile((*parsed)["instances"].as<std::string>()));
    } catch (const std::exception& error) {
        log::write(log::Event::StartFailed, "error=\"{}\"", error.what());
        return 1;
    }
    return serveUntilSignal(io, (*parsed)["listen"].as<std::string>(), [&](Exchange& exchange) { return platform.handle(exchange); });
}

} // namespace

} // namespace swiftloft::standin

int main(int argc, char** argv)
{
    return swiftloft::standin::run(argc, argv);
}
