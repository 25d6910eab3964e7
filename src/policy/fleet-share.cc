#include <swiftloft/policy/fleet-share.h>

#include <algorithm>
#include <limits>

namespace swiftloft::policy {

namespace {

/// Size that leaves no share: this entry is not, or not yet, named.
constexpr std::size_t notNamed = std::numeric_limits<std::size_t>::max();

} // namespace

FleetShare::FleetShare(FleetShareOptions options, TimePoint now)
    : m_options(options)
    , m_stretches { { notNamed, TimePoint::max() } }
    , m_lastRead(now)
    , m_integratedUntil(now)
{
}

Result<FleetShare> FleetShare::create(FleetShareOptions options, TimePoint now)
{
    if (options.window.count() <= 0 || options.staleAfter.count() <= 0)
        return Error { ErrorCode::InvalidArgument, "fleet share: window and stale-after must be positive" };
    if (options.staleList == StaleList::Surrender && options.staleAfter >= options.window)
        return Error { ErrorCode::InvalidArgument, "fleet share: stale-after must be less than the window" };
    return FleetShare(options, now);
}

TimePoint FleetShare::leavesWindowAt(const Stretch& stretch) const
{
    return stretch.end == TimePoint::max() ? stretch.end : stretch.end + m_options.window;
}

TimePoint FleetShare::surrenderAt() const
{
    return m_options.staleList == StaleList::Surrender ? m_lastRead + m_options.staleAfter : TimePoint::max();
}

double FleetShare::shareOf(const Stretch& stretch) const
{
    if (stretch.size == notNamed || m_integratedUntil >= surrenderAt())
        return 0;
    return 1 / static_cast<double>(std::max<std::size_t>(stretch.size, 1));
}

void FleetShare::onList(std::size_t size, bool containsSelf, TimePoint now)
{
    advance(now);
    m_lastRead = std::max(m_lastRead, now);
    auto effective = containsSelf ? size : notNamed;
    if (m_stretches.back().size == effective)
        return;
    m_stretches.back().end = m_integratedUntil;
    while (!m_stretches.empty() && m_stretches.back().size <= effective)
        m_stretches.pop_back();
    m_stretches.push_back({ effective, TimePoint::max() });
}

double FleetShare::at(TimePoint now)
{
    advance(now);
    return shareOf(m_stretches.front());
}

double FleetShare::yieldUntil(TimePoint now)
{
    advance(now);
    return m_yield;
}

void FleetShare::integrateUntil(TimePoint end)
{
    if (end <= m_integratedUntil)
        return;
    auto paidUntil = std::clamp(surrenderAt(), m_integratedUntil, end);
    m_yield += shareOf(m_stretches.front()) * std::chrono::duration<double>(paidUntil - m_integratedUntil).count();
    m_integratedUntil = end;
}

void FleetShare::advance(TimePoint now)
{
    while (leavesWindowAt(m_stretches.front()) < now) {
        integrateUntil(leavesWindowAt(m_stretches.front()));
        m_stretches.pop_front();
    }
    integrateUntil(now);
}

} // namespace swiftloft::policy
