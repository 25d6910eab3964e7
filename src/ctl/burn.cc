#include "src/burn/summary.h"
#include "src/ctl/burn-report.h"
#include "src/ctl/fleet.h"
#include "src/ctl/settings-file.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <fstream>

namespace swiftloft::ctl {

namespace {

burn::Scope scopeFrom(const Options& options)
{
    burn::Scope scope;
    if (options.result().count("service"))
        scope.service = ServiceName(options.result()["service"].as<std::string>());
    if (scope.service && !settings::isValidName(scope.service->value()))
        throw UsageError(fmt::format("--service: found \"{}\", expected the name of a service", scope.service->value()));
    scope.hasOrganisations = !options.result()["totals"].as<bool>();
    return scope;
}

burn::Summary askFleet(const Options& options, const burn::ObjectiveOf& objectiveOf)
{
    burn::Summariser summariser;
    fetchFromFleet(options, burn::targetOf(scopeFrom(options)), [&](std::size_t, const Fetched& it) {
        auto report = it.body ? burn::reportFromJson(*it.body) : Result<burn::Report>(it.body.error());
        summariser.add({ toString(it.endpoint), std::move(report) });
    });
    return summariser.finish(objectiveOf);
}

burn::ObjectiveOf objectivesIn(const settings::Tree& tree)
{
    return [tree](const ServiceName& service) -> std::optional<settings::Ratio> {
        auto settings = tree.service(service);
        if (!settings)
            return std::nullopt;
        return settings->objective.availability;
    };
}

void writeHtml(const std::string& path, const burn::Summary& summary)
{
    auto now = std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
    std::ofstream file(path, std::ios::binary);
    file << burnHtml(summary, fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", now));
    if (!file.flush())
        throw UsageError(fmt::format("{}: can't be written", path));
}

} // namespace

ExitCode runBurn(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    addFleetOptions(options);
    options.add("settings", "settings tree or manifest with the objectives", cxxopts::value<std::string>());
    options.add("service", "this service only", cxxopts::value<std::string>());
    options.add("totals", "each service as a whole, without organisations; quick for a large fleet", cxxopts::value<bool>()->default_value("false"));
    options.add("html", "also write the report to FILE, as one HTML document", cxxopts::value<std::string>());
    options.add("top", "organisations of each service to show beside those with an alarm", cxxopts::value<std::string>()->default_value("20"));
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    options.operands(0, 0);
    if (!options.result().count("settings"))
        throw UsageError("expected --settings FILE, which names the objectives");
    auto tree = loadValidSettings(options.result()["settings"].as<std::string>(), console);
    if (!tree)
        return ExitCode::Finding;
    auto summary = askFleet(options, objectivesIn(*tree));
    if (options.isJson())
        console.out(burnJson(summary) + "\n");
    summary.keepWorst(static_cast<std::size_t>(std::get<std::int64_t>(options.valueOf("top", settings::ValueType::Count))));
    if (!options.isJson())
        printBurnTable(summary, console);
    if (options.result().count("html"))
        writeHtml(options.result()["html"].as<std::string>(), summary);
    if (summary.instances.empty())
        return ExitCode::Unreachable;
    return summary.hasAlarm() || !summary.missing.empty() ? ExitCode::Finding : ExitCode::Ok;
}

} // namespace swiftloft::ctl
