#include "src/ctl/status-report.h"

#include "src/ctl/fleet.h"
#include "src/ctl/table.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;

constexpr auto statusTarget = "/swiftloft/v1/status";

/// States of an instance and of a backend server that call for nothing.
constexpr std::string_view readyState = "ready";
constexpr std::string_view upState = "up";

struct Answered {
    Endpoint endpoint;
    Result<StatusReport> report;
    std::string body;
};

/// In the order of the command line.
std::vector<Answered> askFleet(const Options& options)
{
    std::map<std::size_t, Answered> byIndex;
    fetchFromFleet(options, statusTarget, [&](std::size_t index, Fetched it) {
        auto report = it.body ? statusFromJson(*it.body) : Result<StatusReport>(it.body.error());
        auto body = it.body ? std::move(*it.body) : std::string();
        byIndex.emplace(index, Answered { it.endpoint, std::move(report), std::move(body) });
    });
    std::vector<Answered> answers;
    answers.reserve(byIndex.size());
    for (auto& [index, answer] : byIndex)
        answers.push_back(std::move(answer));
    return answers;
}

std::string revisionText(const std::optional<Revision>& revision)
{
    return revision ? fmt::format("{}", revision->value()) : "-";
}

std::string loadText(const BackendServerStatus& server)
{
    return server.load ? fmt::format("{:.0f}%", *server.load * 100) : "-";
}

void printInstances(const std::vector<Answered>& answers, const Console& console)
{
    Table table({ { "ENTRY" }, { "INSTANCE" }, { "ROLE" }, { "DATA CENTRE" }, { "STATE" }, { "SETTINGS", Table::Align::Right },
        { "REFUSED", Table::Align::Right }, { "IN FLIGHT", Table::Align::Right }, { "BACKEND SERVERS", Table::Align::Right } });
    for (auto& answer : answers) {
        auto address = toString(answer.endpoint);
        if (!answer.report) {
            table.add({ address, "-", "-", "-", answer.report.error().message }, Tone::Bad);
            continue;
        }
        auto& report = *answer.report;
        auto isGood = report.state == readyState && !report.refusedRevision;
        table.add({ address, report.instance.value(), report.role, report.dataCentre.value(), report.state, revisionText(report.settingsRevision),
                      revisionText(report.refusedRevision), fmt::format("{}", report.inFlight), fmt::format("{}", report.backendServers.size()) },
            isGood ? Tone::Plain : Tone::Bad);
    }
    table.print(console);
}

void printBackendServers(const std::vector<Answered>& answers, const Console& console)
{
    Table table({ { "INSTANCE" }, { "BACKEND SERVER" }, { "SERVICE" }, { "DATA CENTRE" }, { "STATE" }, { "LOAD", Table::Align::Right } });
    for (auto& answer : answers) {
        if (!answer.report)
            continue;
        for (auto& server : answer.report->backendServers) {
            table.add({ answer.report->instance.value(), server.id.value(), server.service.value(), server.dataCentre.value(), server.state, loadText(server) },
                server.state == upState ? Tone::Plain : Tone::Bad);
        }
    }
    console.out("\n");
    table.print(console);
}

/// What an operator must not overlook in the tables.
bool printFindings(const std::vector<Answered>& answers, const Console& console)
{
    std::set<std::string> revisions;
    auto found = false;
    for (auto& answer : answers) {
        if (!answer.report) {
            found = true;
            continue;
        }
        revisions.insert(revisionText(answer.report->settingsRevision));
        if (answer.report->refusedRevision) {
            found = true;
            console.err(fmt::format("{} refuses settings revision {}: {}\n", answer.report->instance.value(), revisionText(answer.report->refusedRevision), answer.report->refusedReason));
        }
    }
    if (revisions.size() > 1)
        console.err(fmt::format("{} settings revisions are in force; a change should be everywhere within seconds\n", revisions.size()));
    return found || revisions.size() > 1;
}

void printJson(const std::vector<Answered>& answers, const Console& console)
{
    json::array rows;
    for (auto& answer : answers) {
        json::object row { { "entry", toString(answer.endpoint) } };
        if (answer.report)
            row["status"] = json::parse(answer.body);
        else
            row["error"] = answer.report.error().message;
        rows.push_back(std::move(row));
    }
    console.out(json::serialize(rows) + "\n");
}

} // namespace

ExitCode runStatus(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    addFleetOptions(options);
    options.add("backend-servers", "list the backend servers that each entry sees", cxxopts::value<bool>()->default_value("false"));
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    options.operands(0, 0);
    auto answers = askFleet(options);
    if (options.isJson())
        printJson(answers, console);
    else
        printInstances(answers, console);
    if (!options.isJson() && options.result()["backend-servers"].as<bool>())
        printBackendServers(answers, console);
    auto hasFindings = printFindings(answers, console);
    auto hasAnswer = std::any_of(answers.begin(), answers.end(), [](auto& answer) { return answer.report.has_value(); });
    if (!hasAnswer)
        return ExitCode::Unreachable;
    return hasFindings ? ExitCode::Finding : ExitCode::Ok;
}

} // namespace swiftloft::ctl
