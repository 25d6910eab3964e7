#pragma once

#include <swiftloft/units.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <vector>

namespace swiftloft::replay {

/// Durations in buckets whose bounds grow by 2%, so that any percentile is read to within 2% from bounded memory.
class Histogram {
public:
    Histogram();

    void add(std::chrono::nanoseconds);

    std::size_t count() const;
    std::chrono::nanoseconds mean() const;
    std::chrono::nanoseconds max() const;
    /// Upper bound of the bucket that holds the value at `share` (0 to 1) of all; zero when empty.
    std::chrono::nanoseconds percentile(double share) const;

private:
    using Stats = boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean, boost::accumulators::tag::max>;

    boost::accumulators::accumulator_set<double, Stats> m_stats;
    std::vector<std::uint64_t> m_buckets;
};

} // namespace swiftloft::replay
