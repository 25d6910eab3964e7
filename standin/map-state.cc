#include "standin/map-state.h"

#include <algorithm>

namespace swiftloft::standin {

using namespace expertmap;

MapState::MapState(const Options& options)
    : m_options(options)
{
    m_status.engine = options.engine;
}

bool MapState::take(TimePoint now, const EngineOrder& order)
{
    finishLoading(now);
    bool isRead = std::holds_alternative<ReadStatus>(order.order);
    if (m_options.checksFencing && !isRead) {
        if (order.fence < m_fence)
            return false;
        m_fence = order.fence;
    }
    apply(now, order.order);
    finishLoading(now);
    return true;
}

void MapState::apply(TimePoint now, const Order& order)
{
    if (auto* it = std::get_if<StageMap>(&order)) {
        if (!m_status.hasStaged(it->version))
            m_loading.emplace(it->version, now + m_options.loadTime);
    } else if (auto* it = std::get_if<DropMaps>(&order))
        drop(it->keep);
    else if (auto* it = std::get_if<Admit>(&order))
        admit(*it);
    else if (auto* it = std::get_if<Arm>(&order))
        arm(it->point);
    else if (auto* it = std::get_if<Go>(&order))
        m_status.isReleased = m_status.isReleased || m_status.armed == it->point;
    else if (auto* it = std::get_if<Cancel>(&order)) {
        if (m_status.armed == it->point && !m_status.isReleased)
            m_status.armed.reset();
    }
}

void MapState::drop(MapVersion keep)
{
    auto isSurplus = [&](MapVersion it) {
        bool isUsed = (m_status.isAdmitted && it == m_status.current) || (m_status.armed && it == m_status.armed->version);
        return !isUsed && it != keep;
    };
    std::erase_if(m_status.staged, isSurplus);
    std::erase_if(m_loading, [&](auto& it) { return isSurplus(it.first); });
}

void MapState::admit(const Admit& order)
{
    if (m_status.isAdmitted || !m_status.hasStaged(order.version))
        return;
    m_status.isAdmitted = true;
    m_status.current = order.version;
    m_status.armed = order.arm;
}

void MapState::arm(const SwitchPoint& point)
{
    if (m_status.isAdmitted && !m_status.armed && m_status.entered < point.step && m_status.hasStaged(point.version))
        m_status.armed = point;
}

bool MapState::enter(TimePoint now, StepNumber step)
{
    finishLoading(now);
    if (!m_status.isAdmitted)
        return false;
    if (m_status.armed && step >= m_status.armed->step) {
        if (!m_status.isReleased)
            return false;
        m_status.current = m_status.armed->version;
        m_status.armed.reset();
        m_status.isReleased = false;
    }
    m_status.entered = step;
    return true;
}

const EngineStatus& MapState::status(TimePoint now)
{
    finishLoading(now);
    return m_status;
}

void MapState::finishLoading(TimePoint now)
{
    for (auto it = m_loading.begin(); it != m_loading.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        m_status.staged.push_back(it->first);
        it = m_loading.erase(it);
    }
}

} // namespace swiftloft::standin
