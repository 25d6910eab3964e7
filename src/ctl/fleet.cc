#include "src/ctl/fleet.h"

#include <swiftloft/settings/value.h>

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
    auto text = options.result()["timeout"].as<std::string>();
    auto timeout = settings::parseValue(settings::ValueType::Duration, text);
    if (!timeout)
        throw UsageError("--timeout: found \"" + text + "\", expected " + timeout.error().message);
    auto endpoints = endpointsFrom(options.result()["entry"].as<std::vector<std::string>>());
    fetchAll(endpoints, target, Clock::now() + std::get<microseconds>(*timeout), onFetched);
}

} // namespace swiftloft::ctl
