#include <swiftloft/policy/admission-queue.h>

#include "src/policy/drain-rate.h"
#include "src/policy/waiting-room.h"

#include <algorithm>

namespace swiftloft::policy {

using internal::DrainRate;
using internal::WaitingRoom;

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
        , drain(settings.initialTokensPerSecond)
    {
    }

    microseconds waitOf(const OrganisationName& name, Priority priority) const
    {
        auto total = static_cast<double>(room.backlog().value());
        auto* organisation = room.findOrganisation(name);
        double weight = organisation ? organisation->weight : 1;
        double ahead = 0;
        for (std::size_t i = 0; organisation && i <= static_cast<std::size_t>(priority); ++i)
            ahead += static_cast<double>(organisation->lists[i].cost.value());
        bool isActive = organisation && organisation->backlog > Tokens(0);
        auto activeWeight = room.activeWeight() + (isActive ? 0 : weight);
        // While its own backlog drains at its share, the others drain too; it never waits for more than everything.
        auto work = std::min(total, ahead * activeWeight / weight);
        return microseconds(static_cast<std::int64_t>(work / drain.tokensPerSecond() * 1e6));
    }

    bool canStart(Tokens cost) const
    {
        // A request larger than the whole room runs alone rather than never.
        bool hasRoom = inFlight + cost <= options.capacity && running < options.maximumInFlight;
        return hasRoom || !running;
    }

    AdmissionEffect refuse(AdmissionId id, const OrganisationName& organisation, Priority priority, AdmissionReason reason, TimePoint now, Generator& generator) const
    {
        auto expectedFree = now + waitOf(organisation, priority);
        return { AdmissionAction::Refuse, id, reason, retryAfter(options.retryAfter, expectedFree, now, generator) };
    }

    void refuseWaiting(std::uint32_t slot, AdmissionReason reason, TimePoint now, Generator& generator, AdmissionEffects& effects)
    {
        auto request = room.take(slot);
        auto& organisation = room.organisation(request.organisation).name;
        effects.push_back(refuse(request.id, organisation, request.priority, reason, now, generator));
    }

    void expire(TimePoint now, Generator& generator, AdmissionEffects& effects)
    {
        while (room.size() && *room.earliestLatestStart() < now)
            refuseWaiting(room.firstToExpire(), AdmissionReason::Expired, now, generator, effects);
    }

    void dispatch(AdmissionEffects& effects)
    {
        while (auto slot = room.nextInTurn()) {
            if (!canStart(room.at(*slot).cost))
                return;
            auto request = room.take(*slot);
            room.charge(request.organisation, request.cost);
            inFlight += request.cost;
            ++running;
            effects.push_back({ AdmissionAction::Start, request.id });
        }
    }

    bool hasTimeFor(const AdmissionRequest& request, TimePoint now) const
    {
        auto patience = std::chrono::duration<double, std::micro>(request.latestStart - now).count();
        auto wait = static_cast<double>(waitOf(request.organisation, request.priority).count());
        return patience >= 0 && wait <= patience * options.waitMargin;
    }

    /// Guards against one organisation filling the queue: the others would be refused although their share is unused.
    /// Room is made by the organisation that waits for the most in proportion to its weight.
    bool makeRoomFor(const AdmissionRequest& request, TimePoint now, Generator& generator, AdmissionEffects& effects)
    {
        if (room.size() < options.maximumQueued)
            return true;
        auto& organisation = room.organisation(room.organisationSlot(request.organisation));
        auto share = static_cast<double>((organisation.backlog + request.cost).value()) / organisation.weight;
        if (share >= room.largestShare())
            return false;
        refuseWaiting(room.newestOf(room.largestOrganisation()), AdmissionReason::QueueFull, now, generator, effects);
        return true;
    }

    AdmissionOptions options;
    WaitingRoom room;
    DrainRate drain;
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
        return Error { ErrorCode::InvalidArgument, "admission queue: capacity, queue length and speed must be positive" };
    if (!(options.waitMargin > 0))
        return Error { ErrorCode::InvalidArgument, "admission queue: wait margin must be positive" };
    return AdmissionQueue(std::make_unique<State>(options));
}

AdmissionEffects AdmissionQueue::onArrive(const AdmissionRequest& request, TimePoint now, Generator& generator)
{
    AdmissionEffects effects;
    m_state->expire(now, generator, effects);
    bool startsAtOnce = !m_state->room.size() && m_state->canStart(request.cost);
    auto reason = AdmissionReason::WaitTooLong;
    bool isAccepted = startsAtOnce || m_state->hasTimeFor(request, now);
    if (isAccepted && !m_state->makeRoomFor(request, now, generator, effects)) {
        isAccepted = false;
        reason = AdmissionReason::QueueFull;
    }
    if (!isAccepted) {
        effects.push_back(m_state->refuse(request.id, request.organisation, request.priority, reason, now, generator));
        return effects;
    }
    m_state->room.push(request, m_state->room.organisationSlot(request.organisation));
    m_state->dispatch(effects);
    return effects;
}

AdmissionEffects AdmissionQueue::onFinish(Tokens cost, TimePoint now, Generator& generator)
{
    AdmissionEffects effects;
    auto charged = std::max(cost, Tokens(1));
    m_state->drain.onFinish(charged, m_state->room.size() > 0, now);
    m_state->inFlight = std::max(Tokens(0), m_state->inFlight - charged);
    m_state->running -= m_state->running ? 1 : 0;
    m_state->expire(now, generator, effects);
    m_state->dispatch(effects);
    if (!m_state->running)
        m_state->room.onIdle();
    return effects;
}

void AdmissionQueue::onAbandon(AdmissionId id)
{
    if (auto slot = m_state->room.find(id))
        m_state->room.take(*slot);
}

AdmissionEffects AdmissionQueue::onTimer(TimePoint now, Generator& generator)
{
    AdmissionEffects effects;
    m_state->expire(now, generator, effects);
    // The one in front may have been too large for the room left; those behind it may fit.
    m_state->dispatch(effects);
    return effects;
}

std::optional<TimePoint> AdmissionQueue::nextTimer() const
{
    auto latest = m_state->room.earliestLatestStart();
    if (!latest)
        return std::nullopt;
    return *latest + microseconds(1);
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
    m_state->room.setWeight(organisation, weight);
}

void AdmissionQueue::forget(const OrganisationName& organisation)
{
    m_state->room.forget(organisation);
}

microseconds AdmissionQueue::expectedWait(const OrganisationName& organisation, Priority priority) const
{
    return m_state->waitOf(organisation, priority);
}

std::size_t AdmissionQueue::queued() const
{
    return m_state->room.size();
}

Tokens AdmissionQueue::inFlight() const
{
    return m_state->inFlight;
}

} // namespace swiftloft::policy
