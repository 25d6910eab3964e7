#include "src/entry/request-limiter.h"

#include <algorithm>

namespace swiftloft::entry {

namespace {

/// Names contain no blanks, so no name contains the separator.
constexpr std::string_view limitNameSeparator = " at ";

policy::OrganisationLimit toPolicy(const settings::OrganisationSettings& settings)
{
    policy::OrganisationLimit limit;
    limit.requestsPerSecond = settings.requestsPerSecond.value();
    limit.tokensPerSecond = settings.tokensPerSecond.value();
    limit.burstSeconds = std::chrono::duration<double>(settings.burst).count();
    return limit;
}

RefusalReason toReason(policy::LimitOutcome outcome)
{
    return outcome == policy::LimitOutcome::TokenLimit ? RefusalReason::TokenLimit : RefusalReason::RequestLimit;
}

bool isLiveEntry(const membership::ViewMember& member)
{
    return member.listed && member.listed->role == membership::Role::Entry && member.listed->state == membership::ListedState::Live;
}

} // namespace

RequestLimiter::RequestLimiter(InstanceId self, Incarnation incarnation, bool isFirstStart, TimePoint now)
    : m_self(std::move(self))
    , m_isFirstStart(isFirstStart)
    // A new entry normally has no share until it has read lists for a whole window, because other entries may still use
    // shares computed from an earlier list. On the first start of a fleet there is no earlier share, so this entry
    // starts as if it had observed the list for a whole window.
    , m_limits(policy::OrganisationLimits::create({}, m_self, incarnation, isFirstStart ? now - policy::FleetShareOptions().window : now).value())
{
}

std::optional<policy::TrafficKey> RequestLimiter::trafficKeyOf(const OrganisationName& limitName)
{
    auto& text = limitName.value();
    auto at = text.find(limitNameSeparator);
    if (at == std::string::npos)
        return std::nullopt;
    return policy::TrafficKey { ServiceName(text.substr(at + limitNameSeparator.size())), OrganisationName(text.substr(0, at)) };
}

void RequestLimiter::ensureLimit(const std::shared_ptr<const settings::OrganisationSettings>& settings, TimePoint now)
{
    limitState(settings, now);
}

OrganisationName RequestLimiter::limitName(const settings::OrganisationSettings& settings)
{
    return OrganisationName(settings.name.value() + std::string(limitNameSeparator) + settings.service.value());
}

RequestLimiter::LimitState& RequestLimiter::limitState(const std::shared_ptr<const settings::OrganisationSettings>& settings, TimePoint now)
{
    auto name = limitName(*settings);
    auto [it, isNew] = m_limitStates.try_emplace(name);
    if (it->second.settings != settings) {
        it->second.settings = settings;
        m_limits.setLimit(name, toPolicy(*settings), now, isNew);
    }
    return it->second;
}

RequestLimiter::Decision RequestLimiter::admit(const std::shared_ptr<const settings::OrganisationSettings>& settings, Tokens estimate, TimePoint now, Effects& effects)
{
    auto& state = this->limitState(settings, now);
    // Each entry enforces its share of the limit, at least 1, so that small limits remain usable.
    auto inFlightLimit = std::max<std::int64_t>(1, settings->maxInFlight / static_cast<std::int64_t>(m_entries));
    if (state.inFlight >= inFlightLimit)
        return { RefusalReason::InFlightLimit, now + seconds(1), false };
    policy::LimitEffects lending;
    auto decision = m_limits.admit(limitName(*settings), estimate, now, lending);
    sendLendingMessages(lending, effects);
    if (decision.outcome != policy::LimitOutcome::Admitted)
        return { toReason(decision.outcome), decision.retryAt, decision.isBorrowing };
    ++state.inFlight;
    return {};
}

void RequestLimiter::release(const settings::OrganisationSettings& settings, Tokens estimate, Verdict verdict, TimePoint now)
{
    auto it = m_limitStates.find(limitName(settings));
    if (it == m_limitStates.end())
        return;
    --it->second.inFlight;
    if (verdict == Verdict::NotRun)
        m_limits.settle(it->first, estimate, Tokens(0), now);
}

void RequestLimiter::onView(const membership::View& view, TimePoint now)
{
    // Before the first list arrives, a view has no members. If such a view were treated as a list, it would mean that
    // this entry was removed.
    if (view.listRevision == Revision(0))
        return;
    std::vector<InstanceId> entries;
    for (auto& member : view.members) {
        if (isLiveEntry(member))
            entries.emplace_back(member.listed->id.value());
    }
    m_entries = std::max<std::size_t>(1, entries.size());
    if (m_isFirstStart)
        m_limits.onInstanceList(entries, now - policy::FleetShareOptions().window);
    m_isFirstStart = false;
    m_limits.onInstanceList(entries, now);
}

void RequestLimiter::onLendingMessage(const LendingMessage& message, TimePoint now, Effects& effects)
{
    if (auto request = std::get_if<policy::LendRequest>(&message))
        sendLendingMessages(m_limits.onLendRequest(*request, now), effects);
    else
        m_limits.onLendGrant(std::get<policy::LendGrant>(message), now);
}

void RequestLimiter::sendLendingMessages(const policy::LimitEffects& from, Effects& effects)
{
    for (auto& it : from) {
        auto message = it.kind == policy::LimitEffectKind::SendLendRequest ? LendingMessage(it.request) : LendingMessage(it.grant);
        effects.push_back(SendLendingMessage { it.to, std::move(message) });
    }
}

} // namespace swiftloft::entry
