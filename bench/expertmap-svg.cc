#include "bench/expertmap-svg.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace swiftloft::expertmap::bench {

namespace {

constexpr double width = 900;
constexpr double panelHeight = 240;
constexpr double left = 70;
constexpr double top = 50;
constexpr double gap = 50;
constexpr int ticks = 5;
/// Bounds of the axis of bytes. Smaller values are drawn at the lower bound.
constexpr double minGigabytes = 0.1;
constexpr double maxGigabytes = 1e4;
constexpr std::array<const char*, 5> colours { "#888888", "#d95f02", "#1b9e77", "#7570b3", "#e6ab02" };

struct Series {
    std::string name;
    std::vector<double> values;
};

struct Panel {
    std::string title;
    double top { 0 };
    double low { 0 };
    double high { 1 };
    /// Values are logarithms to base 10.
    bool isLogarithmic { false };
};

double xOf(std::size_t n, std::size_t count)
{
    return left + width * static_cast<double>(n) / static_cast<double>(std::max<std::size_t>(count - 1, 1));
}

double yOf(const Panel& panel, double value)
{
    return panel.top + panelHeight * (1 - (value - panel.low) / (panel.high - panel.low));
}

std::string labelOf(const Panel& panel, double value)
{
    return panel.isLogarithmic ? fmt::format("{:.3g}", std::pow(10, value)) : fmt::format("{:.2f}", value);
}

void drawAxes(const Panel& panel, std::string& out)
{
    auto to = std::back_inserter(out);
    fmt::format_to(to, "<text x=\"{}\" y=\"{}\" font-weight=\"bold\">{}</text>\n", left, panel.top - 8, panel.title);
    for (int n = 0; n <= ticks; ++n) {
        double value = panel.low + (panel.high - panel.low) * n / ticks;
        double y = yOf(panel, value);
        fmt::format_to(to, "<line x1=\"{0}\" y1=\"{2:.1f}\" x2=\"{1}\" y2=\"{2:.1f}\" stroke=\"#dddddd\"/>\n", left, left + width, y);
        fmt::format_to(to, "<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{}</text>\n", left - 6, y + 4, labelOf(panel, value));
    }
}

void drawLines(const Panel& panel, const std::vector<Series>& series, std::string& out)
{
    auto to = std::back_inserter(out);
    for (std::size_t k = 0; k < series.size(); ++k) {
        fmt::format_to(to, "<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" points=\"", colours[k % colours.size()]);
        for (std::size_t n = 0; n < series[k].values.size(); ++n)
            fmt::format_to(to, "{:.1f},{:.1f} ", xOf(n, series[k].values.size()), yOf(panel, series[k].values[n]));
        out += "\"/>\n";
    }
}

double maxValue(const std::vector<Series>& series)
{
    double value = 1;
    for (auto& it : series)
        value = std::max(value, *std::max_element(it.values.begin(), it.values.end()));
    return value;
}

void drawLegend(const std::vector<Series>& series, std::string& out)
{
    auto to = std::back_inserter(out);
    for (std::size_t k = 0; k < series.size(); ++k) {
        double x = left + 370 + 108 * static_cast<double>(k);
        fmt::format_to(to, "<line x1=\"{0}\" y1=\"16\" x2=\"{1}\" y2=\"16\" stroke=\"{2}\" stroke-width=\"3\"/>\n", x, x + 24, colours[k % colours.size()]);
        fmt::format_to(to, "<text x=\"{}\" y=\"20\">{}</text>\n", x + 30, series[k].name);
    }
}

void drawHours(const replay::Trace& trace, double y, std::string& out)
{
    auto to = std::back_inserter(out);
    for (std::uint32_t n = 0; n < trace.intervals(); ++n) {
        auto minute = trace.minuteOfDay(n);
        if (minute % 180 == 0)
            fmt::format_to(to, "<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{:02}:00</text>\n", xOf(n, trace.intervals()), y, minute / 60);
    }
}

} // namespace

std::string plot(const replay::Trace& trace, const std::vector<replay::ReplayResult>& runs, Bytes bytesPerExpert)
{
    std::vector<Series> skews;
    std::vector<Series> bytes;
    for (auto& run : runs) {
        Series skew { run.policy };
        Series moved { run.policy };
        double sum = 0;
        for (auto& it : run.intervals) {
            sum += static_cast<double>(it.expertsMoved * bytesPerExpert.value()) / 1e9;
            skew.values.push_back(it.meanSkew);
            moved.values.push_back(std::log10(std::max(sum, minGigabytes)));
        }
        skews.push_back(std::move(skew));
        bytes.push_back(std::move(moved));
    }
    Panel above { "skew: slowest rank over mean", top, 1, std::max(1.1, maxValue(skews)) };
    Panel below { "GB moved since the start", top + panelHeight + gap, std::log10(minGigabytes), std::log10(maxGigabytes), true };
    double height = below.top + panelHeight + 40;
    std::string out = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" font-size=\"12\">\n"
                                  "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n<text x=\"{2}\" y=\"20\" font-size=\"15\">{3}</text>\n",
        left + width + 30, height, left, trace.name);
    drawLegend(skews, out);
    drawAxes(above, out);
    drawLines(above, skews, out);
    drawAxes(below, out);
    drawLines(below, bytes, out);
    drawHours(trace, height - 18, out);
    return out + "</svg>\n";
}

} // namespace swiftloft::expertmap::bench
