#include "src/replay/histogram.h"

#include <algorithm>
#include <cmath>

namespace swiftloft::replay {

namespace {

// 1 microsecond to about 40 minutes.
constexpr std::size_t bucketCount = 1100;
constexpr double smallest = 1000;
constexpr double growth = 1.02;

std::size_t bucketOf(double nanoseconds)
{
    if (nanoseconds <= smallest)
        return 0;
    auto n = static_cast<std::size_t>(std::ceil(std::log(nanoseconds / smallest) / std::log(growth)));
    return std::min(n, bucketCount - 1);
}

std::chrono::nanoseconds toNanoseconds(double value)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(value));
}

} // namespace

Histogram::Histogram()
    : m_buckets(bucketCount)
{
}

void Histogram::add(std::chrono::nanoseconds duration)
{
    auto value = static_cast<double>(duration.count());
    m_stats(value);
    ++m_buckets[bucketOf(value)];
}

std::size_t Histogram::count() const
{
    return boost::accumulators::count(m_stats);
}

std::chrono::nanoseconds Histogram::mean() const
{
    return count() ? toNanoseconds(boost::accumulators::mean(m_stats)) : std::chrono::nanoseconds(0);
}

std::chrono::nanoseconds Histogram::max() const
{
    return count() ? toNanoseconds(boost::accumulators::max(m_stats)) : std::chrono::nanoseconds(0);
}

std::chrono::nanoseconds Histogram::percentile(double share) const
{
    auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count())));
    std::uint64_t seen = 0;
    for (std::size_t n = 0; n < bucketCount && count() > 0; ++n) {
        seen += m_buckets[n];
        if (seen >= std::max<std::uint64_t>(wanted, 1))
            return toNanoseconds(smallest * std::pow(growth, static_cast<double>(n)));
    }
    return std::chrono::nanoseconds(0);
}

} // namespace swiftloft::replay
