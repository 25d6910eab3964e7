#include <swiftloft/policy/admission-queue.h>

#include "src/policy/drain-rate.h"
#include "src/policy/fair-queue.h"

#include <algorithm>

namespace swiftloft::policy {

using internal::DrainRate;
using internal::FairQueue;

std::string_view toString(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::WaitTooLong:
        return "wait-too-long";
    case AdmissionReason::Expired:
        return "expired";
    case AdmissionReason::QueueFull:
        return "queue-full";
    }
    return "unknown";
}

class AdmissionQueue::State {
public:
    explicit State(AdmissionOptions settings)
        : options(settings)
        , drainRate(settings.initialTokensPerSecond)
    {
    }

    microseconds expectedWait(const OrganisationName& name, Priority priority) const
    {
        auto total = static_cast<double>(queue.backlog().value());
        auto* organisation = queue.findOrganisation(name);
        double weight = organisation ? organisation->weight : 1;
        double ahead = 0;
        for (std::size_t i = 0; organisation && i <= static_cast<std::size_t>(priority); ++i)
            ahead += static_cast<double>(organisation->lists[i].cost.value());
        bool isActive = organisation && organisation->backlog > Tokens(0);
        auto activeWeight = queue.activeWeight() + (isActive ? 0 : weight);
        // While the organisation's backlog drains at its share, the other backlogs drain too. A request never waits for
        // more than the total backlog.
        auto work = std::min(total, ahead * activeWeight / weight);
        return microseconds(static_cast<std::int64_t>(work / drainRate.tokensPerSecond() * 1e6));
    }

    bool canStart(Tokens cost) const
    {
        // A request that exceeds the total capacity runs alone; otherwise it would never start.
        bool hasRoom = inFlight + cost <= options.capacity && running < options.maximumInFlight;
        return hasRoom || !running;
    }

    AdmissionEffect refuse(AdmissionId id, const OrganisationName& organisation, Priority priority, AdmissionReason reason, TimePoint now, Generator& generator) const
    {
        auto expectedFree = now + expectedWait(organisation, priority);
        return { AdmissionAction::Refuse, id, reason, retryAfter(options.retryAfter, expectedFree, now, generator) };
    }

    void refuseWaiting(std::uint32_t slot, AdmissionReason reason, TimePoint now, Generator& generator, AdmissionEffects& effects)
    {
        auto request = queue.remove(slot);
        auto& organisation = queue.organisation(request.organisation).name;
        effects.push_back(refuse(request.id, organisation, request.priority, reason, now, generator));
    }

    void expire(TimePoint now, Generator& generator, AdmissionEffects& effects)
    {
        while (queue.size() && *queue.earliestLatestStart() < now)
            refuseWaiting(queue.firstToExpire(), AdmissionReason::Expired, now, generator, effects);
    }

    void dispatch(AdmissionEffects& effects)
    {
        while (auto slot = queue.nextRequest()) {
            if (!canStart(queue.at(*slot).cost))
                return;
            auto request = queue.remove(*slot);
            queue.charge(request.organisation, request.cost);
            inFlight += request.cost;
            ++running;
            effects.push_back({ AdmissionAction::Start, request.id });
        }
    }

    bool canMeetDeadline(const AdmissionRequest& request, TimePoint now) const
    {
        auto timeToLatestStart = std::chrono::duration<double, std::micro>(request.latestStart - now).count();
        auto wait = static_cast<double>(expectedWait(request.organisation, request.priority).count());
        return timeToLatestStart >= 0 && wait <= timeToLatestStart * options.waitMargin;
    }

    /// When the queue is full, evicts a request of the organisation with the largest backlog relative to its weight.
    /// Otherwise one organisation could fill the queue, and the others would be refused although their shares are
    /// unused.
    bool evictFor(const AdmissionRequest& request, TimePoint now, Generator& generator, AdmissionEffects& effects)
    {
        if (queue.size() < options.maximumQueued)
            return true;
        auto& organisation = queue.organisation(queue.organisationSlot(request.organisation));
        auto share = static_cast<double>((organisation.backlog + request.cost).value()) / organisation.weight;
        if (share >= queue.largestShare())
            return false;
        refuseWaiting(queue.newestOf(queue.largestOrganisation()), AdmissionReason::QueueFull, now, generator, effects);
        return true;
    }

    AdmissionOptions options;
    FairQueue queue;
    DrainRate drainRate;
    Tokens inFlight;
    std::size_t running { 0 };
};

AdmissionQueue::AdmissionQueue(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}
AdmissionQueue::AdmissionQueue(AdmissionQueue&&) noexcept = default;
AdmissionQueue& AdmissionQueue::operator=(AdmissionQueue&&) noexcept = default;
AdmissionQueue::~AdmissionQueue() = default;

Result<AdmissionQueue> AdmissionQueue::create(AdmissionOptions options)
{
    if (options.capacity <= Tokens(0) || !options.maximumInFlight || !options.maximumQueued || !(options.initialTokensPerSecond > 0))
        return Error { ErrorCode::InvalidArgument, "admission queue: capacity, maximum in flight, queue length and initial throughput must be positive" };
    if (!(options.waitMargin > 0))
        return Error { ErrorCode::InvalidArgument, "admission queue: wait margin must be positive" };
    return AdmissionQueue(std::make_unique<State>(options));
}

AdmissionEffects AdmissionQueue::onArrive(const AdmissionRequest& request, TimePoint now, Generator& generator)
{
    AdmissionEffects effects;
    m_state->expire(now, generator, effects);
    bool startsAtOnce = !m_state->queue.size() && m_state->canStart(request.cost);
    auto reason = AdmissionReason::WaitTooLong;
    bool isAccepted = startsAtOnce || m_state->canMeetDeadline(request, now);
    if (isAccepted && !m_state->evictFor(request, now, generator, effects)) {
        isAccepted = false;
        reason = AdmissionReason::QueueFull;
    }
    if (!isAccepted) {
        effects.push_back(m_state->refuse(request.id, request.organisation, request.priority, reason, now, generator));
        return effects;
    }
    m_state->queue.push(request, m_state->queue.organisationSlot(request.organisation));
    m_state->dispatch(effects);
    return effects;
}

AdmissionEffects AdmissionQueue::onFinish(Tokens cost, TimePoint now, Generator& generator)
{
    AdmissionEffects effects;
    auto charged = std::max(cost, Tokens(1));
    m_state->drainRate.onFinish(charged, m_state->queue.size() > 0, now);
    m_state->inFlight = std::max(Tokens(0), m_state->inFlight - charged);
    m_state->running -= m_state->running ? 1 : 0;
    m_state->expire(now, generator, effects);
    m_state->dispatch(effects);
    if (!m_state->running)
        m_state->queue.onIdle();
    return effects;
}

void AdmissionQueue::onAbandon(AdmissionId id)
{
    if (auto slot = m_state->queue.find(id))
        m_state->queue.remove(*slot);
}

AdmissionEffects AdmissionQueue::onTimer(TimePoint now, Generator& generator)
{
    AdmissionEffects effects;
    m_state->expire(now, generator, effects);
    // A request at the head of the queue may have been too large for the remaining capacity; once it has expired, those
    // behind it may fit.
    m_state->dispatch(effects);
    return effects;
}

std::optional<TimePoint> AdmissionQueue::nextTimer() const
{
    auto earliest = m_state->queue.earliestLatestStart();
    if (!earliest)
        return std::nullopt;
    return *earliest + microseconds(1);
}

AdmissionEffects AdmissionQueue::setCapacity(Tokens capacity, TimePoint now, Generator& generator)
{
    m_state->options.capacity = std::max(capacity, Tokens(1));
    return onTimer(now, generator);
}

AdmissionEffects AdmissionQueue::setMaximumInFlight(std::size_t maximum, TimePoint now, Generator& generator)
{
    m_state->options.maximumInFlight = std::max<std::size_t>(maximum, 1);
    return onTimer(now, generator);
}

void AdmissionQueue::setWeight(const OrganisationName& organisation, double weight)
{
    m_state->queue.setWeight(organisation, weight);
}

void AdmissionQueue::removeOrganisation(const OrganisationName& organisation)
{
    m_state->queue.removeOrganisation(organisation);
}

microseconds AdmissionQueue::expectedWait(const OrganisationName& organisation, Priority priority) const
{
    return m_state->expectedWait(organisation, priority);
}

std::size_t AdmissionQueue::queued() const
{
    return m_state->queue.size();
}

Tokens AdmissionQueue::inFlight() const
{
    return m_state->inFlight;
}

} // namespace swiftloft::policy
