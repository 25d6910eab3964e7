#include "src/gateway/capacity/pass-times.h"

#include <algorithm>

namespace swiftloft::gateway::capacity {

std::optional<Clock::duration> PassTimes::median(TimePoint now) const
{
    std::array<Clock::duration, std::tuple_size_v<decltype(m_intervals)>> valid {};
    std::size_t n = 0;
    for (auto& it : m_intervals) {
        if (it.length > Clock::duration(0) && it.at + std::max<Clock::duration>(lifetime, it.length * 3 / 2) > now)
            valid[n++] = it.length;
    }
    if (n == 0)
        return std::nullopt;
    auto middle = valid.begin() + static_cast<std::ptrdiff_t>(n / 2);
    std::nth_element(valid.begin(), middle, valid.begin() + static_cast<std::ptrdiff_t>(n));
    return *middle;
}

} // namespace swiftloft::gateway::capacity
