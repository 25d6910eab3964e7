#include "src/entry/admission-controller.h"

#include <algorithm>

namespace swiftloft::entry {

namespace {

/// Amount of work in progress per backend server, in seconds: enough that the server's batch never runs empty between
/// two reports.
constexpr double workSecondsPerServer = 4;
/// Assumed size of a model request, which converts the limit of concurrent requests into tokens.
constexpr std::int64_t typicalRequestTokens = 512;
/// The admission queue requires a positive capacity, even while no server is known and no request can start.
constexpr std::int64_t minCapacity = 1;

Tokens capacityOf(const settings::ServiceSettings& service, const ServiceCapacity& capacity)
{
    auto requests = static_cast<std::int64_t>(capacity.servers) * service.maxConcurrentPerBackendServer;
    if (service.kind == settings::ServiceKind::Plain)
        return Tokens(std::max(minCapacity, requests / static_cast<std::int64_t>(capacity.entries)));
    auto limit = requests * typicalRequestTokens;
    auto busy = capacity.tokensPerSecond > 0 ? static_cast<std::int64_t>(capacity.tokensPerSecond * workSecondsPerServer) : limit;
    return Tokens(std::max(typicalRequestTokens, std::min(limit, busy) / static_cast<std::int64_t>(capacity.entries)));
}

AdmissionController::Decisions toDecisions(const policy::AdmissionEffects& effects)
{
    AdmissionController::Decisions decisions;
    for (auto& it : effects)
        decisions.push_back({ RequestId(it.id.value()), it.action == policy::AdmissionAction::Start, it.reason, it.retryAfter });
    return decisions;
}

} // namespace

policy::Priority toPolicy(settings::Priority priority)
{
    switch (priority) {
    case settings::Priority::High:
        return policy::Priority::High;
    case settings::Priority::Low:
        return policy::Priority::Low;
    case settings::Priority::Normal:
        break;
    }
    return policy::Priority::Normal;
}

Tokens costOf(const settings::ServiceSettings& service, const RequestInfo& info)
{
    return service.kind == settings::ServiceKind::Plain ? Tokens(1) : info.promptTokens + info.expectedOutput;
}

policy::AdmissionQueue& AdmissionController::queueOf(const settings::ServiceSettings& service)
{
    auto it = m_queues.find(service.name);
    if (it != m_queues.end())
        return it->second;
    policy::AdmissionOptions options;
    options.capacity = capacityOf(service, {});
    options.maximumQueued = static_cast<std::size_t>(std::max<std::int64_t>(1, service.queueLimit));
    return m_queues.emplace(service.name, policy::AdmissionQueue::create(options).value()).first->second;
}

AdmissionController::Decisions AdmissionController::onArrive(RequestId id, const settings::ServiceSettings& service, const settings::OrganisationSettings& organisation, Tokens cost,
    TimePoint latestStart, TimePoint now, policy::Generator& generator)
{
    auto& queue = queueOf(service);
    queue.setWeight(organisation.name, organisation.weight.value());
    policy::AdmissionRequest request { policy::AdmissionId(id.value()), organisation.name, toPolicy(organisation.priority), cost, latestStart };
    return toDecisions(queue.onArrive(request, now, generator));
}

AdmissionController::Decisions AdmissionController::onFinish(const ServiceName& service, Tokens cost, TimePoint now, policy::Generator& generator)
{
    auto it = m_queues.find(service);
    return it == m_queues.end() ? Decisions() : toDecisions(it->second.onFinish(cost, now, generator));
}

void AdmissionController::onAbandon(const ServiceName& service, RequestId id)
{
    auto it = m_queues.find(service);
    if (it != m_queues.end())
        it->second.onAbandon(policy::AdmissionId(id.value()));
}

AdmissionController::Decisions AdmissionController::setCapacity(const settings::ServiceSettings& service, const ServiceCapacity& capacity, TimePoint now, policy::Generator& generator)
{
    auto& queue = queueOf(service);
    auto maxInFlight = std::max<std::size_t>(1, capacity.servers * static_cast<std::size_t>(service.maxConcurrentPerBackendServer) / capacity.entries);
    auto decisions = toDecisions(queue.setMaximumInFlight(maxInFlight, now, generator));
    auto more = toDecisions(queue.setCapacity(capacityOf(service, capacity), now, generator));
    decisions.insert(decisions.end(), more.begin(), more.end());
    return decisions;
}

AdmissionController::Decisions AdmissionController::onTimer(TimePoint now, policy::Generator& generator)
{
    Decisions all;
    for (auto& [service, queue] : m_queues) {
        auto next = queue.nextTimer();
        if (!next || *next > now)
            continue;
        auto decisions = toDecisions(queue.onTimer(now, generator));
        all.insert(all.end(), decisions.begin(), decisions.end());
    }
    return all;
}

} // namespace swiftloft::entry
