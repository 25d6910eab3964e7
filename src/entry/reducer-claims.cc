#include "src/entry/reducer.h"

/// The part of the entry's reducer that handles claims. A non-repeatable request with a client's own key may run only
/// after the key's homes (the agents that grant claims) have granted a claim for the key.
namespace swiftloft::entry {

namespace {

constexpr milliseconds claimReplyTimeout { 1000 };
constexpr seconds claimRetryAfter { 2 };

} // namespace

void Reducer::startClaim(RequestId id, Request& request, TimePoint now, Effects& effects)
{
    policy::ClaimRequest claim;
    claim.key = { request.resolved.organisation->name, *request.info->clientKey };
    claim.claim = { m_options.incarnation, ++m_lastClaim };
    std::vector<BackendServerId> homes;
    if (auto selector = m_serverRegistry.homeSelector(request.resolved.service->name)) {
        homes = selector->homesOf(claim.key, now);
        claim.revision = selector->revision();
    }
    if (!homes.empty())
        claim.runner = homes.front();
    request.claim.emplace(std::move(claim), std::move(homes));
    applyClaimEffects(id, request, request.claim->start(), now, effects);
}

void Reducer::applyClaimEffects(RequestId id, Request& request, const policy::ClaimEffects& claimEffects, TimePoint now, Effects& effects)
{
    auto worker = request.worker;
    auto claim = request.claim->request();
    for (auto& effect : claimEffects) {
        switch (effect.kind) {
        case policy::ClaimEffectKind::SendClaim:
            effects.push_back(SendClaim { worker, id, effect.to, claim, now + claimReplyTimeout });
            break;
        case policy::ClaimEffectKind::SendRelease:
            effects.push_back(SendRelease { worker, effect.to, claim });
            break;
        case policy::ClaimEffectKind::SendRun:
        case policy::ClaimEffectKind::Attach:
            startClaimedAttempt(id, request, effect, now, effects);
            return;
        case policy::ClaimEffectKind::Refuse:
            Refusal refusal;
            refusal.reason = RefusalReason::HomeUnreachable;
            refusal.retryAfter = claimRetryAfter;
            refusal.details = std::string("the key can't be claimed: ") + std::string(policy::toString(effect.refusal));
            failRequest(id, request, std::move(refusal), now, effects);
            return;
        }
    }
}

void Reducer::startClaimedAttempt(RequestId id, Request& request, const policy::ClaimEffect& effect, TimePoint now, Effects& effects)
{
    auto isAttach = effect.kind == policy::ClaimEffectKind::Attach;
    auto server = m_serverRegistry.find(effect.to);
    // The grant names the incarnation that gave it. A later incarnation has lost the grant and must not run the request.
    auto isKnown = server && server->incarnation && (isAttach || *server->incarnation == effect.incarnation);
    if (!isKnown) {
        Refusal refusal;
        refusal.reason = RefusalReason::HomeUnreachable;
        refusal.retryAfter = claimRetryAfter;
        return failRequest(id, request, std::move(refusal), now, effects);
    }
    Attempt attempt;
    attempt.server = server->id;
    attempt.isRouted = false;
    startAttempt(id, request, std::move(attempt), now, effects, request.claim->request(), isAttach);
}

void Reducer::on(const ClaimCompleted& event, Effects& effects)
{
    auto it = m_requests.find(event.id);
    if (it == m_requests.end() || !it->second.claim)
        return;
    auto& request = it->second;
    // A late reply to an abandoned claim is ignored, because it does not apply to the claim that followed.
    if (request.claim->request().claim != event.claim || request.claim->isDone())
        return;
    auto next = event.reply ? request.claim->onReply(event.home, *event.reply) : request.claim->onUnreachable(event.home);
    applyClaimEffects(event.id, request, next, event.now, effects);
}

} // namespace swiftloft::entry
