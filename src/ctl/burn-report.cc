#include "src/ctl/burn-report.h"

#include "src/ctl/table.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;
using burn::Alarm;
using burn::Summary;
using burn::SummaryRow;
using burn::windowLengths;

constexpr std::size_t reasonsShown = 3;

std::string organisationName(const SummaryRow& row)
{
    return row.organisation ? row.organisation->value() : "(all)";
}

std::vector<std::string> cellsOf(const SummaryRow& row)
{
    auto& longest = row.burns.back();
    std::vector<std::string> cells { row.service.value(), organisationName(row),
        row.objective ? fmt::format("{:.6g}%", row.objective->value() * 100) : "not in the settings" };
    for (auto& it : row.burns)
        cells.push_back(row.objective ? fmt::format("{:.1f}", it.rate) : "-");
    cells.push_back(row.objective ? fmt::format("{:.0f}%", row.budgetLeft * 100) : "-");
    cells.push_back(fmt::format("{}", longest.good + longest.bad));
    cells.push_back(fmt::format("{}", longest.bad));
    cells.emplace_back(toString(row.alarm));
    cells.push_back(topReasons(row));
    return cells;
}

json::object toJson(const SummaryRow& row)
{
    json::array burns;
    for (std::size_t it = 0; it < row.burns.size(); ++it) {
        auto& burn = row.burns[it];
        burns.push_back(json::object { { "seconds", windowLengths[it].count() }, { "good", burn.good }, { "bad", burn.bad }, { "rate", burn.rate } });
    }
    json::object reasons;
    for (auto& reason : row.reasons)
        reasons[reason.reason] = reason.count;
    json::object object { { "service", row.service.value() }, { "organisation", nullptr }, { "objective", nullptr }, { "burn", std::move(burns) },
        { "budget_left", nullptr }, { "alarm", toString(row.alarm) }, { "reasons", std::move(reasons) } };
    if (row.organisation)
        object["organisation"] = row.organisation->value();
    if (row.objective) {
        object["objective"] = row.objective->value();
        object["budget_left"] = row.budgetLeft;
    }
    return object;
}

} // namespace

std::string windowName(std::chrono::seconds length)
{
    if (length >= std::chrono::hours(24))
        return fmt::format("{} d", length / std::chrono::hours(24));
    if (length >= std::chrono::hours(1))
        return fmt::format("{} h", length / std::chrono::hours(1));
    return fmt::format("{} min", length / std::chrono::minutes(1));
}

std::string topReasons(const SummaryRow& row)
{
    std::string text;
    for (std::size_t it = 0; it < row.reasons.size() && it < reasonsShown; ++it)
        text += fmt::format("{}{} {}", it ? ", " : "", row.reasons[it].reason, row.reasons[it].count);
    return text;
}

void printBurnTable(const Summary& summary, const Console& console)
{
    std::vector<Table::Column> columns { { "SERVICE" }, { "ORGANISATION" }, { "OBJECTIVE", Table::Align::Right } };
    for (auto length : windowLengths)
        columns.push_back({ "BURN " + windowName(length), Table::Align::Right });
    columns.insert(columns.end(), { { "BUDGET LEFT", Table::Align::Right }, { "REQUESTS", Table::Align::Right }, { "BAD", Table::Align::Right }, { "ALARM" }, { "TOP REASONS" } });
    Table table(std::move(columns));
    for (auto& row : summary.rows)
        table.add(cellsOf(row), row.alarm == Alarm::None ? Tone::Plain : Tone::Bad);
    table.print(console);
    if (summary.leftOut > 0)
        console.out(fmt::format("and {} organisations that use less of their budget\n", summary.leftOut));
    console.out(fmt::format("\n{} of {} entries answered; covered:", summary.instances.size(), summary.asked));
    for (std::size_t it = 0; it < windowLengths.size(); ++it)
        console.out(fmt::format(" {} {:.0f}%", windowName(windowLengths[it]), summary.coverage[it] * 100));
    console.out("\n");
    for (auto& it : summary.missing)
        console.out(fmt::format("missing: {}: {}\n", it.address, it.reason));
}

std::string burnJson(const Summary& summary)
{
    json::array instances;
    for (auto& instance : summary.instances)
        instances.emplace_back(instance.value());
    json::array missing;
    for (auto& it : summary.missing)
        missing.push_back(json::object { { "entry", it.address }, { "reason", it.reason } });
    json::array coverage;
    for (std::size_t it = 0; it < windowLengths.size(); ++it)
        coverage.push_back(json::object { { "seconds", windowLengths[it].count() }, { "covered", summary.coverage[it] } });
    json::array rows;
    for (auto& row : summary.rows)
        rows.push_back(toJson(row));
    return json::serialize(json::object { { "asked", summary.asked }, { "instances", std::move(instances) }, { "missing", std::move(missing) },
        { "coverage", std::move(coverage) }, { "rows", std::move(rows) } });
}

} // namespace swiftloft::ctl
