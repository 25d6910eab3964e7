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

void printHistogram(std::string& out, const std::string& name, const Labels& labels, const Histogram& histogram)
{
    auto bucket = [&](const std::string& bound, std::uint64_t count) {
        auto withBound = labels;
        withBound.push_back({ "le", bound });
        out += fmt::format("{}_bucket{} {}\n", name, braces(withBound), count);
    };
    for (std::size_t n = 0; n < Histogram::bounds().size(); ++n)
        bucket(fmt::format("{}", Histogram::bounds()[n]), histogram.atMost(n));
    bucket("+Inf", histogram.count());
    out += fmt::format("{}_sum{} {}\n", name, braces(labels), histogram.sum());
    out += fmt::format("{}_count{} {}\n", name, braces(labels), histogram.count());
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

const std::vector<double>& Histogram::bounds()
{
    static const std::vector<double> values { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12 };
    return values;
}

void Histogram::add(double value)
{
    ++m_count;
    m_sum += value;
    for (std::size_t n = 0; n < m_counts.size(); ++n)
        m_counts[n] += value <= bounds()[n] ? 1 : 0;
}

std::uint64_t Histogram::atMost(std::size_t n) const
{
    return m_counts[n];
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

void Metrics::addTo(const std::string& name, const Labels& labels, double value)
{
    m_histograms[name][labels].add(value);
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
    for (auto& [name, family] : m_histograms) {
        out += fmt::format("# TYPE {} histogram\n", name);
        for (auto& [labels, histogram] : family)
            printHistogram(out, name, labels, histogram);
    }
    return out;
}

void SharedMetrics::count(const std::string& name, const Labels& labels, double n)
{
    std::scoped_lock lock(m_mutex);
    m_metrics.count(name, labels, n);
}

void SharedMetrics::set(const std::string& name, const Labels& labels, double value)
{
    std::scoped_lock lock(m_mutex);
    m_metrics.set(name, labels, value);
}

void SharedMetrics::addTo(const std::string& name, const Labels& labels, double value)
{
    std::scoped_lock lock(m_mutex);
    m_metrics.addTo(name, labels, value);
}

std::string SharedMetrics::text() const
{
    std::scoped_lock lock(m_mutex);
    return m_metrics.text();
}

} // namespace swiftloft::process
