#include "src/gateway/capacity/group-estimate.h"

#include <algorithm>

namespace swiftloft::gateway::capacity {

namespace {

constexpr double firstEventWeight = 0.1;
/// A first event that takes longer waited for other things than passes, such as a group that forms.
constexpr double maxFirstPasses = 8;

Clock::duration fromMs(double ms)
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

double toMs(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void GroupEstimate::onFirstEvent(TimePoint now, Clock::duration sinceStart)
{
    auto seen = seenPass(now);
    if (!seen)
        return;
    auto passes = std::clamp(toMs(sinceStart) / toMs(seen->length), 1.0, maxFirstPasses);
    m_firstPasses += firstEventWeight * (passes - m_firstPasses);
}

void GroupEstimate::onReportedPass(TimePoint reportedAt, double passMs)
{
    if (reportedAt < m_passReportedAt)
        return;
    m_passReportedAt = reportedAt;
    m_reportedPassMs = passMs;
}

void GroupEstimate::onReportedPace(TimePoint reportedAt, double pace)
{
    m_paceReportedAt = reportedAt;
    m_pace = pace;
}

std::optional<Pass> GroupEstimate::seenPass(TimePoint now) const
{
    if (auto length = m_passes.median(now))
        return Pass { *length, now - m_passes.newestAt() };
    if (m_reportedPassMs > 0 && m_passReportedAt + reportLifetime > now)
        return Pass { fromMs(m_reportedPassMs), now - m_passReportedAt };
    return std::nullopt;
}

std::optional<Pass> GroupEstimate::pass(TimePoint now, double running) const
{
    if (auto seen = seenPass(now))
        return seen;
    if (m_model.isKnown() && isReportedSlow(now))
        return Pass { fromMs(m_pace * m_model.passMs(running)), now - m_paceReportedAt };
    return std::nullopt;
}

std::optional<double> GroupEstimate::runningAt(Clock::duration length, Clock::duration pass, double running) const
{
    if (!m_model.isKnown() || m_model.stepMsPerRequest <= 0)
        return std::nullopt;
    // The group is as many times slower than its traits say, with any number of requests.
    double slowdown = toMs(pass) / m_model.passMs(running);
    double stepMs = toMs(length) / slowdown / m_model.stepsPerPass;
    return std::max(0.0, (stepMs - m_model.stepMs) / m_model.stepMsPerRequest * m_model.ranks);
}

} // namespace swiftloft::gateway::capacity
