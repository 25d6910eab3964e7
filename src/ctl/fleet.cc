#include "src/ctl/fleet.h"

#include <fmt/format.h>

namespace swiftloft::ctl {

void addFleetOptions(Options& options, const std::string& role)
{
    options.add(role, role + " to ask, IP:PORT; may be given several times", cxxopts::value<std::vector<std::string>>());
    options.add("timeout", "longest wait for the answers", cxxopts::value<std::string>()->default_value("3s"));
}

void fetchFromFleet(const Options& options, const std::string& target, const FetchedHandler& onFetched, const std::string& role)
{
    if (!options.result().count(role))
        throw UsageError(fmt::format("expected at least one --{} IP:PORT", role));
    auto timeout = std::get<microseconds>(options.valueOf("timeout", settings::ValueType::Duration));
    auto endpoints = endpointsFrom(options.result()[role].as<std::vector<std::string>>());
    fetchAll(endpoints, target, Clock::now() + timeout, onFetched);
}

} // namespace swiftloft::ctl
