#include "src/gateway/admission/admission-controller.h"

#include "src/log/logger.h"

#include <algorithm>

namespace swiftloft::gateway::admission {

AdmissionController::AdmissionController(const AdmissionOptions& options)
    : m_options(options)
    , m_queueTimes(options.urgency)
    , m_shares(options.urgency.leastShare)
{
}

void AdmissionController::setFleet(TimePoint now, const Snapshot& snapshot)
{
    if (snapshot.configuration && snapshot.configuration != m_configuration) {
        m_configuration = snapshot.configuration;
        m_queueTimes.setConfiguration(*m_configuration);
    }
    m_peers.setFleet(now, snapshot);
    logShortageEnds(now);
}

bool AdmissionController::isUrgencyOn(const ServiceName& service) const
{
    return m_options.isUrgencyOn && m_queueTimes.hasPriorities(service);
}

void AdmissionController::onArrived(TimePoint now, const QueuedRequest& request)
{
    m_own.onArrived(now, request.service, request.priority);
}

void AdmissionController::onAdmitted(TimePoint now, const QueuedRequest& request)
{
    m_own.onAdmitted(now, request.service, request.priority);
    if (std::erase(m_startedFirst, request.call) > 0)
        m_shares.onStartedFirst(request.service, request.priority);
    if (auto it = m_round.find(request.service); it != m_round.end() && it->second.free)
        it->second.free->shared -= 1;
    if (auto it = m_shortages.find(request.service); it != m_shortages.end())
        ++it->second.admitted;
}

void AdmissionController::onRefused(TimePoint now, const ServiceName& service, unsigned priority)
{
    m_own.onRefused(now, service, priority);
    logShortage(now, service);
    if (auto it = m_shortages.find(service); it != m_shortages.end())
        ++it->second.refused;
}

std::vector<CallId> AdmissionController::beginRound(TimePoint now, const RequestQueue& queue)
{
    m_round.clear();
    m_nextCheckAt.reset();
    m_startedFirst.clear();
    if (queue.size() == 0)
        return {};
    for (auto& it : queue.requests()) {
        bool isNext = isUrgencyOn(it.service) && !it.isFirst && m_shares.mayStartFirst(it.service, it.priority);
        if (isNext && roundOf(it.service, now).priorityStartedFirst.insert(it.priority).second)
            m_startedFirst.push_back(it.call);
    }
    auto order = queue.order();
    if (!m_startedFirst.empty())
        std::stable_partition(order.begin(), order.end(), [&](auto& call) { return std::find(m_startedFirst.begin(), m_startedFirst.end(), call) != m_startedFirst.end(); });
    return order;
}

AdmissionController::ServiceRound& AdmissionController::roundOf(const ServiceName& service, TimePoint now)
{
    auto [it, isNew] = m_round.try_emplace(service);
    if (isNew)
        it->second.isShort = m_own.isShort(service, now) || m_peers.isShort(service, now);
    return it->second;
}

const CompetingDemand& AdmissionController::demandOf(const ServiceName& service, unsigned priority, TimePoint now)
{
    auto& demands = roundOf(service, now).demands;
    auto it = demands.find(priority);
    if (it == demands.end())
        it = demands.emplace(priority, competingDemand(service, priority, now, m_own, m_peers)).first;
    return it->second;
}

double AdmissionController::keptSlots(TimePoint now, const QueuedRequest& request)
{
    if (request.isFirst || !isUrgencyOn(request.service) || !roundOf(request.service, now).isShort)
        return 0;
    bool isStartedFirst = std::find(m_startedFirst.begin(), m_startedFirst.end(), request.call) != m_startedFirst.end();
    return isStartedFirst ? 0 : demandOf(request.service, request.priority, now).keptSlots();
}

void AdmissionController::endRound(TimePoint now, const RequestQueue& queue)
{
    if (queue.size() == 0 && !m_hasQueued)
        return;
    m_hasQueued = queue.size() > 0;
    m_own.resetQueued();
    for (auto& it : queue.requests()) {
        m_own.onQueued(now, it.service, it.priority);
        logShortage(now, it.service);
    }
    accrueShares(now, queue);
}

void AdmissionController::accrueShares(TimePoint now, const RequestQueue& queue)
{
    std::set<std::pair<ServiceName, unsigned>> waiting;
    for (auto& it : queue.requests()) {
        if (!it.isFirst && isUrgencyOn(it.service) && waiting.emplace(it.service, it.priority).second)
            m_shares.onWaiting(now, it.service, it.priority, competingDemand(it.service, it.priority, now, m_own, m_peers), m_own.admittedShare(it.service, it.priority, now));
    }
    for (auto& it : m_waiting) {
        if (!waiting.contains(it))
            m_shares.onNoneWaiting(it.first, it.second);
    }
    m_waiting = std::move(waiting);
}

bool AdmissionController::isPressed(const ServiceName& service, unsigned priority, TimePoint now) const
{
    auto presses = [&](const ServiceDemand& demand) {
        return std::any_of(demand.priorities.begin(), demand.priorities.end(), [&](auto& it) { return it.priority == priority && (it.queued > 0 || it.sinceRefused < DemandMeter::shortageTime); });
    };
    bool isPressed = presses(m_own.demand(service, now));
    m_peers.forEach(service, now, [&](auto& demand, auto) { isPressed |= presses(demand); });
    return isPressed;
}

TimePoint AdmissionController::queueDeadline(TimePoint now, const QueuedRequest& request, TimePoint arrivedAt, milliseconds objective)
{
    if (!isUrgencyOn(request.service) || !roundOf(request.service, now).isShort)
        return arrivedAt + m_queueTimes.base(objective);
    auto& pressed = roundOf(request.service, now).pressed;
    auto isPressedInRound = [&](unsigned priority) {
        auto it = pressed.find(priority);
        if (it == pressed.end())
            it = pressed.emplace(priority, isPressed(request.service, priority, now)).first;
        return it->second;
    };
    return arrivedAt + m_queueTimes.whileShort(request.service, request.priority, objective, isPressedInRound);
}

void AdmissionController::logShortage(TimePoint now, const ServiceName& service)
{
    if (!isUrgencyOn(service))
        return;
    auto [it, isNew] = m_shortages.try_emplace(service, Shortage { now, 0, 0 });
    if (!isNew)
        return;
    std::string demands;
    for (auto& level : m_own.demand(service, now).priorities)
        demands += fmt::format(" p{}={}/{:.1f}", level.priority, level.queued, level.arrivalsPerSecond);
    log::write(log::Event::ServiceShort, "service={} priority=queued/arrivals-per-s{}", service.value(), demands);
}

void AdmissionController::logShortageEnds(TimePoint now)
{
    std::erase_if(m_shortages, [&](auto& it) {
        if (m_own.isShort(it.first, now))
            return false;
        log::write(log::Event::ServiceShortEnded, "service={} ms={} admitted={} refused={}", it.first.value(), std::chrono::duration_cast<milliseconds>(now - it.second.since).count(), it.second.admitted, it.second.refused);
        return true;
    });
}

} // namespace swiftloft::gateway::admission
