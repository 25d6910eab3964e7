#include "src/policy/fair-queue.h"

#include <algorithm>

namespace swiftloft::policy::internal {

namespace {

constexpr double minWeight = 1e-3;

RequestList& listOf(OrganisationQueue& organisation, Priority priority)
{
    return organisation.lists[static_cast<std::size_t>(priority)];
}

} // namespace

std::uint32_t FairQueue::organisationSlot(const OrganisationName& name)
{
    auto it = m_names.find(name);
    if (it != m_names.end())
        return it->second;
    std::uint32_t slot;
    if (m_freeOrganisations.empty()) {
        slot = static_cast<std::uint32_t>(m_organisations.size());
        m_organisations.emplace_back();
    } else {
        slot = m_freeOrganisations.back();
        m_freeOrganisations.pop_back();
        m_organisations[slot] = {};
    }
    m_organisations[slot].name = name;
    m_names.emplace(name, slot);
    return slot;
}

const OrganisationQueue* FairQueue::findOrganisation(const OrganisationName& name) const
{
    auto it = m_names.find(name);
    return it == m_names.end() ? nullptr : &m_organisations[it->second];
}

void FairQueue::setWeight(const OrganisationName& name, double weight)
{
    auto slot = organisationSlot(name);
    auto& organisation = m_organisations[slot];
    auto effectiveWeight = std::max(weight, minWeight);
    if (organisation.backlog > Tokens(0))
        m_activeWeight += effectiveWeight - organisation.weight;
    organisation.weight = effectiveWeight;
    updateOrganisation(slot, Tokens(0));
}

void FairQueue::removeOrganisation(const OrganisationName& name)
{
    auto it = m_names.find(name);
    if (it == m_names.end() || m_organisations[it->second].backlog > Tokens(0))
        return;
    m_freeOrganisations.push_back(it->second);
    m_names.erase(it);
}

void FairQueue::push(const AdmissionRequest& request, std::uint32_t organisation)
{
    std::uint32_t slot;
    if (m_freeSlots.empty()) {
        slot = static_cast<std::uint32_t>(m_requests.size());
        m_requests.emplace_back();
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    // An organisation counts as active while its backlog is above zero, so even a request without cost must add to the
    // backlog.
    auto cost = std::max(request.cost, Tokens(1));
    m_requests[slot] = { request.id, cost, organisation, request.priority, noSlot, noSlot };
    m_slots.emplace(request.id.value(), slot);
    m_latestStarts.set(slot, request.latestStart);
    link(slot);
    updateOrganisation(organisation, cost);
}

QueuedRequest FairQueue::remove(std::uint32_t slot)
{
    auto request = m_requests[slot];
    unlink(slot);
    m_latestStarts.remove(slot);
    m_slots.erase(request.id.value());
    m_freeSlots.push_back(slot);
    updateOrganisation(request.organisation, Tokens(-request.cost.value()));
    return request;
}

std::optional<std::uint32_t> FairQueue::find(AdmissionId id) const
{
    auto it = m_slots.find(id.value());
    if (it == m_slots.end())
        return std::nullopt;
    return it->second;
}

std::optional<std::uint32_t> FairQueue::nextRequest() const
{
    if (m_schedule.empty())
        return std::nullopt;
    for (auto& list : m_organisations[m_schedule.topId()].lists) {
        if (list.first != noSlot)
            return list.first;
    }
    return std::nullopt;
}

void FairQueue::charge(std::uint32_t slot, Tokens cost)
{
    auto& organisation = m_organisations[slot];
    auto startTag = std::max(m_virtualTime, organisation.finishTag);
    m_virtualTime = startTag;
    organisation.finishTag = startTag + static_cast<double>(cost.value()) / organisation.weight;
    m_latestFinishTag = std::max(m_latestFinishTag, organisation.finishTag);
    if (m_schedule.contains(slot))
        m_schedule.set(slot, organisation.finishTag);
}

void FairQueue::onIdle()
{
    m_virtualTime = m_latestFinishTag;
}

std::optional<TimePoint> FairQueue::earliestLatestStart() const
{
    if (m_latestStarts.empty())
        return std::nullopt;
    return m_latestStarts.topKey();
}

std::uint32_t FairQueue::newestOf(std::uint32_t organisation) const
{
    auto& lists = m_organisations[organisation].lists;
    for (auto it = lists.rbegin(); it != lists.rend(); ++it) {
        if (it->last != noSlot)
            return it->last;
    }
    return noSlot;
}

void FairQueue::link(std::uint32_t slot)
{
    auto& request = m_requests[slot];
    auto& list = listOf(m_organisations[request.organisation], request.priority);
    request.previous = list.last;
    (list.last == noSlot ? list.first : m_requests[list.last].next) = slot;
    list.last = slot;
    list.cost += request.cost;
}

void FairQueue::unlink(std::uint32_t slot)
{
    auto& request = m_requests[slot];
    auto& list = listOf(m_organisations[request.organisation], request.priority);
    (request.previous == noSlot ? list.first : m_requests[request.previous].next) = request.next;
    (request.next == noSlot ? list.last : m_requests[request.next].previous) = request.previous;
    list.cost -= request.cost;
}

void FairQueue::updateOrganisation(std::uint32_t slot, Tokens change)
{
    auto& organisation = m_organisations[slot];
    bool wasActive = organisation.backlog > Tokens(0);
    organisation.backlog += change;
    m_backlog += change;
    bool isActive = organisation.backlog > Tokens(0);
    if (isActive && !wasActive) {
        m_activeWeight += organisation.weight;
        m_schedule.set(slot, std::max(m_virtualTime, organisation.finishTag));
    }
    if (!isActive && wasActive) {
        m_activeWeight -= organisation.weight;
        m_schedule.remove(slot);
    }
    if (isActive)
        m_largestShares.set(slot, -static_cast<double>(organisation.backlog.value()) / organisation.weight);
    else
        m_largestShares.remove(slot);
}

} // namespace swiftloft::policy::internal
