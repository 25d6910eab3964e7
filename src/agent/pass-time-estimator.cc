#include "src/agent/pass-time-estimator.h"

#include <algorithm>

namespace swiftloft::agent {

void PassTimeEstimator::observe(TimePoint now, StepNumber step)
{
    bool isNewIncarnation = !m_startStep || step < *m_startStep;
    if (isNewIncarnation) {
        m_startStep = step;
        m_startedAt = now;
        return;
    }
    auto passes = step.value() - m_startStep->value();
    if (passes == 0 || now < m_startedAt + minMeasurementTime)
        return;
    m_measurements[m_nextIndex] = (now - m_startedAt) / static_cast<Clock::rep>(passes);
    m_nextIndex = (m_nextIndex + 1) % maxMeasurements;
    m_startStep = step;
    m_startedAt = now;
}

std::optional<Clock::duration> PassTimeEstimator::shortest() const
{
    std::optional<Clock::duration> shortest;
    for (auto& it : m_measurements) {
        if (it && (!shortest || *it < *shortest))
            shortest = it;
    }
    return shortest;
}

std::optional<Clock::duration> PassTimeEstimator::recent() const
{
    auto& last = m_measurements[(m_nextIndex + maxMeasurements - 1) % maxMeasurements];
    auto& before = m_measurements[(m_nextIndex + maxMeasurements - 2) % maxMeasurements];
    return last && before ? std::min(last, before) : last;
}

double loadDependentShare(const std::optional<Clock::duration>& passTime, Clock::duration basePassTime)
{
    if (!passTime || *passTime <= Clock::duration(0))
        return 1;
    auto share = 1 - static_cast<double>(basePassTime.count()) / static_cast<double>(passTime->count());
    return std::clamp(share, 0.0, 1.0);
}

} // namespace swiftloft::agent
