#pragma once

#include "src/policy/indexed-heap.h"

#include <swiftloft/policy/admission-queue.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <vector>

namespace swiftloft::policy::internal {

constexpr std::uint32_t noSlot = 0xffffffff;

/// A queued request. `previous` and `next` are the slots of its neighbours in the list of its organisation and
/// priority.
struct QueuedRequest {
    AdmissionId id;
    Tokens cost;
    std::uint32_t organisation { 0 };
    Priority priority { Priority::Normal };
    std::uint32_t previous { noSlot };
    std::uint32_t next { noSlot };
};

/// The queued requests of one organisation and priority, as a doubly linked list of slots.
struct RequestList {
    std::uint32_t first { noSlot };
    std::uint32_t last { noSlot };
    Tokens cost;
};

struct OrganisationQueue {
    OrganisationName name;
    double weight { 1 };
    /// Virtual time up to which the organisation has been charged for the work started so far.
    double finishTag { 0 };
    Tokens backlog;
    std::array<RequestList, priorityCount> lists;
};

/// Queued requests, in lists by organisation and priority, indexed by the three orders in which they can leave: the
/// organisation's turn (start), the latest start time (expiry) and the largest backlog relative to the weight
/// (eviction).
class FairQueue {
public:
    std::uint32_t organisationSlot(const OrganisationName& name);
    const OrganisationQueue* findOrganisation(const OrganisationName& name) const;
    OrganisationQueue& organisation(std::uint32_t slot) { return m_organisations[slot]; }
    void setWeight(const OrganisationName& name, double weight);
    void removeOrganisation(const OrganisationName& name);

    void push(const AdmissionRequest& request, std::uint32_t organisation);
    QueuedRequest remove(std::uint32_t slot);
    std::optional<std::uint32_t> find(AdmissionId id) const;
    const QueuedRequest& at(std::uint32_t slot) const { return m_requests[slot]; }

    std::size_t size() const { return m_slots.size(); }
    Tokens backlog() const { return m_backlog; }
    /// Sum of the weights of the organisations with queued requests.
    double activeWeight() const { return m_activeWeight; }

    /// Returns the slot of the request to start next: the first one of the organisation whose turn it is.
    std::optional<std::uint32_t> nextRequest() const;
    /// Charges the cost of a start to the organisation.
    void charge(std::uint32_t organisation, Tokens cost);
    /// Called when no request is queued or running: organisations that used idle capacity are not charged for it later.
    void onIdle();
    std::optional<TimePoint> earliestLatestStart() const;
    std::uint32_t firstToExpire() const { return m_latestStarts.topId(); }
    /// The organisation with the largest backlog relative to its weight, and that amount.
    std::uint32_t largestOrganisation() const { return m_largestShares.topId(); }
    double largestShare() const { return -m_largestShares.topKey(); }
    std::uint32_t newestOf(std::uint32_t organisation) const;

private:
    void link(std::uint32_t slot);
    void unlink(std::uint32_t slot);
    void updateOrganisation(std::uint32_t organisation, Tokens change);

    std::vector<QueuedRequest> m_requests;
    std::vector<std::uint32_t> m_freeSlots;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> m_slots;
    std::vector<OrganisationQueue> m_organisations;
    std::vector<std::uint32_t> m_freeOrganisations;
    boost::unordered_flat_map<OrganisationName, std::uint32_t, std::hash<OrganisationName>> m_names;
    IndexedHeap<double> m_schedule;
    IndexedHeap<double> m_largestShares;
    IndexedHeap<TimePoint> m_latestStarts;
    Tokens m_backlog;
    double m_activeWeight { 0 };
    double m_virtualTime { 0 };
    double m_latestFinishTag { 0 };
};

} // namespace swiftloft::policy::internal
