#include "src/ctl/options.h"
#include "src/ctl/settings-file.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;

json::object toJson(const settings::Problem& problem)
{
    return {
        { "code", settings::toString(problem.code) },
        { "file", problem.file },
        { "line", problem.line },
        { "node", problem.node },
        { "key", problem.key },
        { "found", problem.found },
        { "expected", problem.expected },
    };
}

void printJson(const settings::Parsed& parsed, const Console& console)
{
    json::array problems;
    for (auto& problem : parsed.problems)
        problems.push_back(toJson(problem));
    json::object report { { "valid", parsed.tree.has_value() }, { "problems", std::move(problems) } };
    console.out(json::serialize(report) + "\n");
}

void printText(const std::string& path, const settings::Parsed& parsed, const Console& console)
{
    for (auto& problem : parsed.problems)
        console.err(problem.toString() + "\n");
    if (!parsed.tree) {
        auto n = parsed.problems.size();
        console.err(fmt::format("{}: {} {}; such a revision would be refused everywhere\n", path, n, n == 1 ? "problem" : "problems"));
        return;
    }
    auto& tree = *parsed.tree;
    console.out(fmt::format("{}: valid: {} services, {} groups, {} organisations, {} data centres\n", path,
        tree.services().size(), tree.groups().size(), tree.organisations().size(), tree.dataCentres().size()));
}

} // namespace

ExitCode runCheck(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    auto& path = options.operands(1, 1)[0];
    auto parsed = loadSettings(path);
    if (options.isJson())
        printJson(parsed, console);
    else
        printText(path, parsed, console);
    return parsed.tree ? ExitCode::Ok : ExitCode::Finding;
}

} // namespace swiftloft::ctl
