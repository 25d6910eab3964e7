#include "src/ctl/fleet.h"

namespace swiftloft::ctl {

void addFleetOptions(Options& options)
{
    options.add("entry", "entry to ask, IP:PORT; may be given several times", cxxopts::value<std::vector<std::string>>());
    options.add("timeout", "longest wait for the answers", cxxopts::value<std::string>()->default_value("3s"));
}

void fetchFromFleet(const Options& options, const std::string& target, const FetchedHandler& onFetched)
{
    if (!options.result().count("entry"))
        throw UsageError("expected at least one --entry IP:PORT");
    auto timeout = std::get<microseconds>(options.valueOf("timeout", settings::ValueType::Duration));
    auto endpoints = endpointsFrom(options.result()["entry"].as<std::vector<std::string>>());
    fetchAll(endpoints, target, Clock::now() + timeout, onFetched);
}

} // namespace swiftloft::ctl
