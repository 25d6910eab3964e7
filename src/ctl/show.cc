#include "src/ctl/options.h"
#include "src/ctl/settings-file.h"
#include "src/ctl/table.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;
using settings::EffectiveSetting;

/// The node's place in the tree; empty where it is fixed.
std::string parentOf(const settings::Tree& tree, const settings::NodeId& node)
{
    auto parent = tree.parentOf(node);
    return parent ? parent->toString() : std::string();
}

void printJson(const settings::NodeId& node, const std::string& parent, const std::vector<EffectiveSetting>& values, const Console& console)
{
    json::array rows;
    for (auto& setting : values) {
        json::object row { { "key", setting.name() }, { "value", setting.text() }, { "built_in", setting.origin.isBuiltIn() } };
        if (!setting.origin.isBuiltIn()) {
            row["node"] = setting.origin.node.toString();
            row["file"] = setting.origin.file;
            row["line"] = setting.origin.line;
        }
        rows.push_back(std::move(row));
    }
    json::object report { { "node", node.toString() }, { "parent", parent }, { "settings", std::move(rows) } };
    console.out(json::serialize(report) + "\n");
}

void printTable(const settings::NodeId& node, const std::string& parent, const std::vector<EffectiveSetting>& values, const Console& console)
{
    console.out(fmt::format("[{}]{}\n\n", node.toString(), parent.empty() ? "" : " inherits from " + parent));
    Table table({ { "KEY" }, { "VALUE" }, { "FROM" } });
    for (auto& setting : values)
        table.add({ std::string(setting.name()), setting.text(), setting.origin.toString() });
    table.print(console);
}

/// Accepts the node as one operand or as its words ("organisation", "x", "at", "service", "y").
settings::NodeId nodeFrom(const Arguments& operands)
{
    std::string text = operands[1];
    for (std::size_t it = 2; it < operands.size(); ++it)
        text += " " + operands[it];
    auto node = settings::NodeId::parse(text);
    if (!node)
        throw UsageError(fmt::format("node: found \"{}\", expected {}", text, node.error().message));
    return *node;
}

} // namespace

ExitCode runShow(const Command& command, const Arguments& arguments, const Console& console)
{
    constexpr std::size_t longestNode = 5;
    Options options(command);
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    auto& operands = options.operands(2, 1 + longestNode);
    auto node = nodeFrom(operands);
    auto tree = loadValidSettings(operands[0], console);
    if (!tree)
        return ExitCode::Finding;
    auto values = tree->effective(node);
    if (!values) {
        console.err(values.error().message + "\n");
        return ExitCode::Finding;
    }
    if (options.isJson())
        printJson(node, parentOf(*tree, node), *values, console);
    else
        printTable(node, parentOf(*tree, node), *values, console);
    return ExitCode::Ok;
}

} // namespace swiftloft::ctl
