#include <swiftloft/settings/schema.h>

#include "src/ctl/options.h"
#include "src/ctl/table.h"
#include "src/log/logger.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;

void printEventsAsJson(const Console& console)
{
    json::array rows;
    for (auto& info : log::catalogue())
        rows.push_back(json::object { { "number", static_cast<int>(info.event) }, { "name", info.name }, { "level", log::toString(info.level) }, { "text", info.text } });
    console.out(json::serialize(rows) + "\n");
}

void printEvents(const Console& console)
{
    Table table({ { "NUMBER", Table::Align::Right }, { "NAME" }, { "LEVEL" }, { "WHAT IT SAYS" } });
    for (auto& info : log::catalogue())
        table.add({ fmt::format("{}", static_cast<int>(info.event)), std::string(info.name), std::string(log::toString(info.level)), std::string(info.text) });
    table.print(console);
}

void printKeysAsJson(const Console& console)
{
    json::array rows;
    for (auto& info : settings::schema())
        rows.push_back(json::object { { "key", info.name }, { "type", settings::toString(info.type) }, { "range", info.range }, { "default", info.defaultText }, { "text", info.text } });
    console.out(json::serialize(rows) + "\n");
}

} // namespace

ExitCode runEvents(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    options.operands(0, 0);
    if (options.isJson())
        printEventsAsJson(console);
    else
        printEvents(console);
    return ExitCode::Ok;
}

ExitCode runKeys(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    options.operands(0, 0);
    if (options.isJson()) {
        printKeysAsJson(console);
        return ExitCode::Ok;
    }
    for (auto& row : settings::referenceRows())
        console.out(row + "\n");
    return ExitCode::Ok;
}

} // namespace swiftloft::ctl
