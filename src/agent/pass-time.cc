#include "src/agent/pass-time.h"

#include <algorithm>

namespace swiftloft::agent {

void PassTime::observe(TimePoint now, StepNumber step)
{
    bool isNewLife = !m_countedFrom || step < *m_countedFrom;
    if (isNewLife) {
        m_countedFrom = step;
        m_countedSince = now;
        return;
    }
    auto passes = step.value() - m_countedFrom->value();
    if (passes == 0 || now < m_countedSince + measuredOver)
        return;
    m_measured[m_next] = (now - m_countedSince) / static_cast<Clock::rep>(passes);
    m_next = (m_next + 1) % remembered;
    m_countedFrom = step;
    m_countedSince = now;
}

std::optional<Clock::duration> PassTime::shortest() const
{
    std::optional<Clock::duration> shortest;
    for (auto& it : m_measured) {
        if (it && (!shortest || *it < *shortest))
            shortest = it;
    }
    return shortest;
}

double loadShareOf(const std::optional<Clock::duration>& pass, Clock::duration fixed)
{
    if (!pass || *pass <= Clock::duration(0))
        return 1;
    auto share = 1 - static_cast<double>(fixed.count()) / static_cast<double>(pass->count());
    return std::clamp(share, 0.0, 1.0);
}

} // namespace swiftloft::agent
