#include "src/ctl/fleet.h"
#include "src/ctl/route-report.h"

#include <swiftloft/settings/node-id.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <map>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;

struct Answered {
    Endpoint endpoint;
    Result<RouteReport> report;
    std::string body;
};

/// In the order of the command line.
std::map<std::size_t, Answered> askFleet(const Options& options)
{
    auto service = options.result().count("service") ? options.result()["service"].as<std::string>() : std::string();
    if (!settings::isValidName(service))
        throw UsageError("expected --service NAME, a name as in the settings tree");
    auto target = "/swiftloft/v1/route?service=" + service;
    std::map<std::size_t, Answered> answers;
    fetchFromFleet(options, target, [&](std::size_t index, Fetched it) {
        auto report = it.body ? routeFromJson(*it.body) : Result<RouteReport>(it.body.error());
        answers.emplace(index, Answered { it.endpoint, std::move(report), it.body ? *it.body : std::string() });
    });
    return answers;
}

void printText(const Answered& answer, const Console& console)
{
    if (answer.report)
        printRoute(*answer.report, console);
    else
        console.err(fmt::format("{}: {}\n", toString(answer.endpoint), answer.report.error().message));
}

json::object toJson(const Answered& answer)
{
    json::object row { { "entry", toString(answer.endpoint) } };
    if (answer.report)
        row["route"] = json::parse(answer.body);
    else
        row["error"] = answer.report.error().message;
    return row;
}

} // namespace

ExitCode runRoute(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    addFleetOptions(options);
    options.add("service", "service to explain", cxxopts::value<std::string>());
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    options.operands(0, 0);
    auto hasAnswer = false;
    auto hasFinding = false;
    json::array rows;
    for (auto& [index, answer] : askFleet(options)) {
        hasAnswer = hasAnswer || answer.report.has_value();
        hasFinding = hasFinding || !answer.report || !answer.report->best();
        if (options.isJson())
            rows.push_back(toJson(answer));
        else
            printText(answer, console);
    }
    if (options.isJson())
        console.out(json::serialize(rows) + "\n");
    if (!hasAnswer)
        return ExitCode::Unreachable;
    return hasFinding ? ExitCode::Finding : ExitCode::Ok;
}

} // namespace swiftloft::ctl
