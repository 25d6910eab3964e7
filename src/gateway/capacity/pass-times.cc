#include "src/gateway/capacity/pass-times.h"

#include <algorithm>
#include <numeric>

namespace swiftloft::gateway::capacity {

PassTimes::Lengths PassTimes::validLengths(TimePoint now) const
{
    Lengths valid;
    for (auto& it : m_intervals) {
        if (it.length > Clock::duration(0) && it.at + std::max<Clock::duration>(lifetime, it.length * 3 / 2) > now)
            valid.push_back(it.length);
    }
    return valid;
}

std::optional<Clock::duration> PassTimes::median(TimePoint now) const
{
    auto valid = validLengths(now);
    if (valid.empty())
        return std::nullopt;
    auto middle = valid.begin() + static_cast<std::ptrdiff_t>(valid.size() / 2);
    std::nth_element(valid.begin(), middle, valid.end());
    return *middle;
}

std::optional<Clock::duration> PassTimes::mean(TimePoint now) const
{
    auto valid = validLengths(now);
    if (valid.empty())
        return std::nullopt;
    return std::accumulate(valid.begin(), valid.end(), Clock::duration(0)) / static_cast<int>(valid.size());
}

} // namespace swiftloft::gateway::capacity
