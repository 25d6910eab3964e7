#include "src/process/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace swiftloft::process {

namespace accumulators = boost::accumulators;

namespace {

std::string escaped(std::string_view value)
{
    std::string out;
    for (char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out;
}

std::string braces(const Labels& labels)
{
    if (labels.empty())
        return "";
    std::string out;
    for (auto& label : labels)
        out += fmt::format("{}{}=\"{}\"", out.empty() ? "{" : ",", label.name, escaped(label.value));
    return out + "}";
}

void printFamily(std::string& out, const std::string& name, std::string_view type, const std::map<Labels, double>& family)
{
    out += fmt::format("# TYPE {} {}\n", name, type);
    for (auto& [labels, value] : family)
        out += fmt::format("{}{} {}\n", name, braces(labels), value);
}

} // namespace

Summary::Summary()
    : m_accumulator(accumulators::extended_p_square_probabilities = probabilities())
{
}

const std::vector<double>& Summary::probabilities()
{
    static const std::vector<double> values { 0.5, 0.9, 0.95, 0.99, 0.999 };
    return values;
}

std::uint64_t Summary::count() const
{
    return accumulators::count(m_accumulator);
}

double Summary::sum() const
{
    return accumulators::sum(m_accumulator);
}

double Summary::quantile(double probability) const
{
    if (count() == 0)
        return 0;
    return accumulators::quantile(m_accumulator, accumulators::quantile_probability = probability);
}

void Metrics::count(const std::string& name, const Labels& labels, double n)
{
    m_counters[name][labels] += n;
}

void Metrics::set(const std::string& name, const Labels& labels, double value)
{
    m_gauges[name][labels] = value;
}

void Metrics::observe(const std::string& name, const Labels& labels, double value)
{
    m_summaries[name][labels].add(value);
}

std::string Metrics::text() const
{
    std::string out;
    for (auto& [name, family] : m_counters)
        printFamily(out, name, "counter", family);
    for (auto& [name, family] : m_gauges)
        printFamily(out, name, "gauge", family);
    for (auto& [name, family] : m_summaries) {
        out += fmt::format("# TYPE {} summary\n", name);
        for (auto& [labels, summary] : family) {
            for (auto probability : Summary::probabilities()) {
                auto withQuantile = labels;
                withQuantile.push_back({ "quantile", fmt::format("{}", probability) });
                out += fmt::format("{}{} {}\n", name, braces(withQuantile), summary.quantile(probability));
            }
            out += fmt::format("{}_sum{} {}\n", name, braces(labels), summary.sum());
            out += fmt::format("{}_count{} {}\n", name, braces(labels), summary.count());
        }
    }
    return out;
}

} // namespace swiftloft::process
