#include "src/ctl/fleet.h"
#include "src/ctl/table.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;

constexpr auto mapsTarget = "/swiftloft/v1/maps";

/// One row of the table.
struct RankRow {
    std::vector<std::string> cells;
    bool isGood { true };
};

std::string text(const json::value& value)
{
    return value.is_null() ? "-" : value.is_string() ? json::value_to<std::string>(value)
                                                     : json::serialize(value);
}

std::string versionText(const json::value& value)
{
    return value.is_null() ? "-" : fmt::format("{:016x}", value.to_number<std::uint64_t>());
}

std::string pointText(const json::value& value)
{
    return value.is_null() ? "-" : fmt::format("{} at {}", versionText(value.at("map_version")), text(value.at("step")));
}

/// Throws when the page lacks a field.
RankRow rowFrom(const std::string& address, const json::value& page)
{
    if (page.at("group").is_null())
        return { { address, "-", "-", "in no rank group" }, true };
    auto& engine = page.at("engine");
    auto& coordinator = page.at("coordinator");
    RankRow row { { address, text(page.at("group")), text(page.at("rank")) }, !engine.is_null() };
    if (engine.is_null())
        row.cells.insert(row.cells.end(), { "-", "-", "-" });
    else
        row.cells.insert(row.cells.end(), { versionText(engine.at("map_version")), text(engine.at("step")), pointText(engine.at("armed")) });
    if (coordinator.is_null())
        return row;
    auto silent = json::value_to<std::vector<std::uint32_t>>(coordinator.at("silent_ranks"));
    auto& held = coordinator.at("held_step");
    row.cells.insert(row.cells.end(), { text(coordinator.at("phase")), silent.empty() ? "-" : fmt::format("{}", fmt::join(silent, " ")), text(held) });
    row.isGood = row.isGood && silent.empty() && held.is_null();
    return row;
}

RankRow rowFrom(const std::string& address, const Result<std::string>& body)
{
    if (!body)
        return { { address, "-", "-", body.error().message }, false };
    try {
        return rowFrom(address, json::parse(*body));
    } catch (const std::exception& e) {
        return { { address, "-", "-", fmt::format("no maps page: {}", e.what()) }, false };
    }
}

void printTable(const std::map<std::size_t, Fetched>& answers, const Console& console, bool& areAllGood)
{
    Table table({ { "AGENT" }, { "GROUP" }, { "RANK", Table::Align::Right }, { "MAP" }, { "STEP", Table::Align::Right }, { "ARMED FOR" }, { "PHASE" },
        { "SILENT RANKS" }, { "HELD AT", Table::Align::Right } });
    for (auto& [index, answer] : answers) {
        auto row = rowFrom(toString(answer.endpoint), answer.body);
        areAllGood = areAllGood && row.isGood;
        table.add(row.cells, row.isGood ? Tone::Plain : Tone::Bad);
    }
    table.print(console);
}

void printJson(const std::map<std::size_t, Fetched>& answers, const Console& console, bool& areAllGood)
{
    json::array rows;
    for (auto& [index, answer] : answers) {
        auto address = toString(answer.endpoint);
        areAllGood = areAllGood && rowFrom(address, answer.body).isGood;
        json::object row { { "agent", address } };
        json::error_code ec;
        auto page = answer.body ? json::parse(*answer.body, ec) : json::value();
        if (answer.body && !ec)
            row["maps"] = std::move(page);
        else
            row["error"] = answer.body ? ec.message() : answer.body.error().message;
        rows.push_back(std::move(row));
    }
    console.out(json::serialize(rows) + "\n");
}

} // namespace

ExitCode runMaps(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    addFleetOptions(options, "agent");
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    options.operands(0, 0);
    std::map<std::size_t, Fetched> answers;
    fetchFromFleet(
        options, mapsTarget, [&](std::size_t index, Fetched it) { answers.emplace(index, std::move(it)); }, "agent");
    bool areAllGood = true;
    if (options.isJson())
        printJson(answers, console, areAllGood);
    else
        printTable(answers, console, areAllGood);
    auto hasAnswer = std::any_of(answers.begin(), answers.end(), [](auto& it) { return it.second.body.has_value(); });
    if (!hasAnswer)
        return ExitCode::Unreachable;
    return areAllGood ? ExitCode::Ok : ExitCode::Finding;
}

} // namespace swiftloft::ctl
