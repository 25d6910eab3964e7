#pragma once

#include <sstream> // the next headers use it without naming it

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

/// Counters, gauges and summaries of one process, printed as Prometheus text. Belongs to one thread.
namespace swiftloft::process {

/// Label names and values of one series, in the order they are printed.
struct Label {
    std::string name;
    std::string value;

    friend auto operator<=>(const Label&, const Label&) = default;
};
using Labels = std::vector<Label>;

/// Quantiles of a stream of values in constant memory.
class Summary {
public:
    Summary();

    void add(double value) { m_accumulator(value); }
    std::uint64_t count() const;
    double sum() const;
    /// `probability` must be one of `probabilities()`. The value is 0 until something was added.
    double quantile(double probability) const;
    static const std::vector<double>& probabilities();

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square_quantile>>;

    Accumulator m_accumulator;
};

/// Counts of values by fixed upper bounds; those of several processes add up.
class Histogram {
public:
    /// Seconds, from a millisecond to the longest deadlines, each about twice the one before.
    static const std::vector<double>& bounds();

    void add(double value);
    std::uint64_t count() const { return m_count; }
    double sum() const { return m_sum; }
    /// Values at or below `bounds()[n]`.
    std::uint64_t atMost(std::size_t n) const;

private:
    std::vector<std::uint64_t> m_counts = std::vector<std::uint64_t>(bounds().size());
    std::uint64_t m_count { 0 };
    double m_sum { 0 };
};

class Metrics {
public:
    void count(const std::string& name, const Labels& labels, double n = 1);
    void set(const std::string& name, const Labels& labels, double value);
    void observe(const std::string& name, const Labels& labels, double value);
    /// Adds a value to a histogram.
    void addTo(const std::string& name, const Labels& labels, double value);

    /// Prometheus text exposition format.
    std::string text() const;

private:
    template <typename Value>
    using Family = std::map<Labels, Value>;

    std::map<std::string, Family<double>> m_counters;
    std::map<std::string, Family<double>> m_gauges;
    std::map<std::string, Family<Summary>> m_summaries;
    std::map<std::string, Family<Histogram>> m_histograms;
};

/// Metrics that one thread writes and another prints.
class SharedMetrics {
public:
    void count(const std::string& name, const Labels& labels, double n = 1);
    void set(const std::string& name, const Labels& labels, double value);
    void addTo(const std::string& name, const Labels& labels, double value);
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    Metrics m_metrics;
};

} // namespace swiftloft::process
