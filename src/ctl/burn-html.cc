#include "src/ctl/burn-report.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace swiftloft::ctl {

namespace {

using burn::Alarm;
using burn::Summary;
using burn::SummaryRow;
using burn::windowLengths;

constexpr auto chartWidth = 220.0;
constexpr auto barHeight = 9.0;
constexpr auto barStep = 12.0;
/// Burn at the right edge of the chart; higher rates are cut there and their number tells.
constexpr auto chartMaxRate = 20.0;

constexpr auto head = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body { font: 14px sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 4px 10px 4px 0; border-bottom: 1px solid #ccc; vertical-align: top; }
tr { break-inside: avoid; }
tr.total td { font-weight: bold; border-top: 2px solid #555; }
.alarm { color: #a40000; font-weight: bold; }
.number { text-align: right; }
svg text { font: 9px sans-serif; }
@media print { body { margin: 0; font-size: 10pt; } * { print-color-adjust: exact; } }
</style></head><body>
)";

std::string escaped(std::string_view text)
{
    std::string html;
    for (char c : text) {
        switch (c) {
        case '&':
            html += "&amp;";
            break;
        case '<':
            html += "&lt;";
            break;
        case '>':
            html += "&gt;";
            break;
        case '"':
            html += "&quot;";
            break;
        default:
            html += c;
        }
    }
    return html;
}

/// One bar a window, with a line where the budget is used up exactly.
std::string chart(const SummaryRow& row)
{
    auto height = barStep * static_cast<double>(row.burns.size());
    auto labels = 40.0;
    auto scale = chartWidth / chartMaxRate;
    auto svg = fmt::format(R"(<svg width="{}" height="{}" role="img" aria-label="burn by window">)", labels + chartWidth + 40, height);
    for (std::size_t it = 0; it < row.burns.size(); ++it) {
        auto rate = row.burns[it].rate;
        auto y = barStep * static_cast<double>(it);
        auto width = std::min(rate, chartMaxRate) * scale;
        svg += fmt::format(R"(<text x="0" y="{}">{}</text>)", y + barHeight, windowName(windowLengths[it]));
        svg += fmt::format(R"(<rect x="{}" y="{}" width="{:.1f}" height="{}" fill="{}"/>)", labels, y, width, barHeight, rate > 1 ? "#c0392b" : "#4a7ab5");
        svg += fmt::format(R"(<text x="{:.1f}" y="{}">{:.1f}</text>)", labels + width + 3, y + barHeight, rate);
    }
    svg += fmt::format(R"(<line x1="{0:.1f}" y1="0" x2="{0:.1f}" y2="{1}" stroke="#222" stroke-dasharray="2 2"/></svg>)", labels + scale, height);
    return svg;
}

void addRow(std::string& html, const SummaryRow& row)
{
    auto& longest = row.burns.back();
    auto it = std::back_inserter(html);
    fmt::format_to(it, R"(<tr class="{}"><td>{}</td><td>{}</td>)", row.organisation ? "" : "total", escaped(row.service.value()),
        row.organisation ? escaped(row.organisation->value()) : "all");
    fmt::format_to(it, R"(<td class="number">{}</td><td>{}</td>)", row.objective ? fmt::format("{:.6g}%", row.objective->value() * 100) : "not in the settings",
        row.objective ? chart(row) : std::string());
    fmt::format_to(it, R"(<td class="number">{}</td><td class="number">{}</td><td class="number">{}</td>)",
        row.objective ? fmt::format("{:.0f}%", row.budgetLeft * 100) : "", longest.good + longest.bad, longest.bad);
    fmt::format_to(it, "<td class=\"{}\">{}</td><td>{}</td></tr>\n", row.alarm == Alarm::None ? "" : "alarm", toString(row.alarm), escaped(topReasons(row)));
}

void addCoverage(std::string& html, const Summary& summary)
{
    auto it = std::back_inserter(html);
    fmt::format_to(it, "<p>{} of {} entries answered. Covered:", summary.instances.size(), summary.asked);
    for (std::size_t index = 0; index < windowLengths.size(); ++index)
        fmt::format_to(it, " {} {:.0f}%{}", windowName(windowLengths[index]), summary.coverage[index] * 100, index + 1 < windowLengths.size() ? "," : ".");
    html += "</p>\n";
    for (auto& missing : summary.missing)
        fmt::format_to(it, "<p class=\"alarm\">Missing: {}: {}</p>\n", escaped(missing.address), escaped(missing.reason));
}

} // namespace

std::string burnHtml(const Summary& summary, const std::string& time)
{
    std::string html = head;
    html += fmt::format("<h1>Service-level burn</h1>\n<p>{}. A burn of 1 (dashed line) uses up the budget exactly; the budget is what the objective allows over {}.</p>\n",
        escaped(time), windowName(windowLengths.back()));
    addCoverage(html, summary);
    html += "<table><thead><tr><th>Service</th><th>Organisation</th><th>Objective</th><th>Burn</th><th>Budget left</th><th>Requests</th><th>Bad</th><th>Alarm</th><th>Top reasons</th></tr></thead><tbody>\n";
    for (auto& row : summary.rows)
        addRow(html, row);
    html += "</tbody></table>\n";
    if (summary.leftOut > 0)
        html += fmt::format("<p>And {} organisations that use less of their budget.</p>\n", summary.leftOut);
    return html + "</body></html>\n";
}

} // namespace swiftloft::ctl
