#include <swiftloft/settings/diff.h>

#include "src/ctl/options.h"
#include "src/ctl/settings-file.h"
#include "src/ctl/table.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;
using settings::EffectiveSetting;
using settings::NodeChange;
using settings::PlaceChange;

std::string valueOf(const std::optional<EffectiveSetting>& setting)
{
    return setting ? setting->text() : "-";
}

/// Where the new value stands, or where the old one stood when there is none.
std::string originOf(const settings::SettingChange& change)
{
    return (change.after ? change.after : change.before)->origin.toString();
}

void addPlace(Table& table, const NodeChange& change, const char* what, const std::optional<PlaceChange>& place)
{
    if (!place || (place->before.empty() && place->after.empty()))
        return;
    auto shown = [](const std::string& text) { return text.empty() ? std::string("-") : text; };
    table.add({ change.node.toString(), std::string(toString(change.kind)), what, shown(place->before), shown(place->after), "" });
}

void printTable(const std::vector<NodeChange>& changes, const Console& console)
{
    Table table({ { "NODE" }, { "IS" }, { "KEY" }, { "BEFORE" }, { "AFTER" }, { "FROM" } });
    for (auto& change : changes) {
        addPlace(table, change, "(parent)", change.parent);
        addPlace(table, change, "(serves)", change.service);
        for (auto& setting : change.settings) {
            table.add({ change.node.toString(), std::string(toString(change.kind)), std::string(infoOf(setting.key).name),
                valueOf(setting.before), valueOf(setting.after), originOf(setting) });
        }
    }
    if (!table.isEmpty())
        table.print(console);
    console.out(fmt::format("{} nodes touched\n", changes.size()));
}

json::value toJson(const std::optional<EffectiveSetting>& setting)
{
    if (!setting)
        return nullptr;
    return json::object { { "value", setting->text() }, { "from", setting->origin.toString() } };
}

json::value toJson(const std::optional<PlaceChange>& place)
{
    if (!place)
        return nullptr;
    return json::object { { "before", place->before }, { "after", place->after } };
}

void printJson(const std::vector<NodeChange>& changes, const Console& console)
{
    json::array nodes;
    for (auto& change : changes) {
        json::array keys;
        for (auto& setting : change.settings)
            keys.push_back(json::object { { "key", infoOf(setting.key).name }, { "before", toJson(setting.before) }, { "after", toJson(setting.after) } });
        nodes.push_back(json::object { { "node", change.node.toString() }, { "is", toString(change.kind) },
            { "parent", toJson(change.parent) }, { "serves", toJson(change.service) }, { "settings", std::move(keys) } });
    }
    json::object report { { "nodes", std::move(nodes) } };
    console.out(json::serialize(report) + "\n");
}

} // namespace

ExitCode runDiff(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    auto& operands = options.operands(2, 2);
    auto before = loadValidSettings(operands[0], console);
    auto after = loadValidSettings(operands[1], console);
    if (!before || !after)
        return ExitCode::Finding;
    auto changes = settings::diff(*before, *after);
    if (options.isJson())
        printJson(changes, console);
    else
        printTable(changes, console);
    return ExitCode::Ok;
}

} // namespace swiftloft::ctl
