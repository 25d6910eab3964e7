#include <swiftloft/policy/fleet-share.h>

#include <algorithm>
#include <limits>

namespace swiftloft::policy {

namespace {

/// Size that results in no share: the list does not contain this entry, or no list has been read yet.
constexpr std::size_t notListed = std::numeric_limits<std::size_t>::max();

} // namespace

FleetShare::FleetShare(FleetShareOptions options, TimePoint now)
    : m_options(options)
    , m_intervals { { notListed, TimePoint::max() } }
    , m_lastReadAt(now)
    , m_integratedUntil(now)
{
}

Result<FleetShare> FleetShare::create(FleetShareOptions options, TimePoint now)
{
    if (options.window.count() <= 0 || options.staleAfter.count() <= 0)
        return Error { ErrorCode::InvalidArgument, "fleet share: window and stale-after must be positive" };
    if (options.staleListPolicy == StaleListPolicy::ReleaseShare && options.staleAfter >= options.window)
        return Error { ErrorCode::InvalidArgument, "fleet share: stale-after must be less than the window" };
    return FleetShare(options, now);
}

TimePoint FleetShare::leavesWindowAt(const Interval& interval) const
{
    return interval.end == TimePoint::max() ? interval.end : interval.end + m_options.window;
}

TimePoint FleetShare::shareExpiresAt() const
{
    return m_options.staleListPolicy == StaleListPolicy::ReleaseShare ? m_lastReadAt + m_options.staleAfter : TimePoint::max();
}

double FleetShare::shareOf(const Interval& interval) const
{
    if (interval.size == notListed || m_integratedUntil >= shareExpiresAt())
        return 0;
    return 1 / static_cast<double>(std::max<std::size_t>(interval.size, 1));
}

void FleetShare::onInstanceList(std::size_t size, bool containsSelf, TimePoint now)
{
    advance(now);
    m_lastReadAt = std::max(m_lastReadAt, now);
    auto effectiveSize = containsSelf ? size : notListed;
    if (m_intervals.back().size == effectiveSize)
        return;
    m_intervals.back().end = m_integratedUntil;
    while (!m_intervals.empty() && m_intervals.back().size <= effectiveSize)
        m_intervals.pop_back();
    m_intervals.push_back({ effectiveSize, TimePoint::max() });
}

double FleetShare::at(TimePoint now)
{
    advance(now);
    return shareOf(m_intervals.front());
}

double FleetShare::integralUntil(TimePoint now)
{
    advance(now);
    return m_integral;
}

void FleetShare::integrateUntil(TimePoint end)
{
    if (end <= m_integratedUntil)
        return;
    auto activeUntil = std::clamp(shareExpiresAt(), m_integratedUntil, end);
    m_integral += shareOf(m_intervals.front()) * std::chrono::duration<double>(activeUntil - m_integratedUntil).count();
    m_integratedUntil = end;
}

void FleetShare::advance(TimePoint now)
{
    while (leavesWindowAt(m_intervals.front()) < now) {
        integrateUntil(leavesWindowAt(m_intervals.front()));
        m_intervals.pop_front();
    }
    integrateUntil(now);
}

} // namespace swiftloft::policy
