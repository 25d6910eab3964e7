#include <swiftloft/policy/organisation-limits.h>

#include "src/policy/lending-bucket.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>

namespace swiftloft::policy {

using internal::LendingBucket;

namespace {

/// Amount requested beyond the shortage, as a fraction of this entry's burst, so that not every request leads to a lend
/// request.
constexpr double lendRequestHeadroom = 0.25;

struct PendingLoan {
    std::uint64_t serial;
    InstanceId peer;
    TimePoint sentAt;
    double requests;
    double tokens;
};

struct LimitedOrganisation {
    LendingBucket requests;
    LendingBucket tokens;
    std::vector<PendingLoan> pendingLoans;
    TimePoint nextLendRequestAt {};
    milliseconds lendRequestInterval { 0 };
    std::size_t nextPeer { 0 };
};

struct Borrower {
    Incarnation incarnation;
    std::uint64_t lastSerial { 0 };
};

} // namespace

std::string_view toString(LimitOutcome outcome)
{
    switch (outcome) {
    case LimitOutcome::Admitted:
        return "admitted";
    case LimitOutcome::RequestLimit:
        return "request-limit";
    case LimitOutcome::TokenLimit:
        return "token-limit";
    }
    return "unknown";
}

class OrganisationLimits::State {
public:
    State(OrganisationLimitsOptions settings, InstanceId ownId, Incarnation ownIncarnation, FleetShare fleetShare)
        : options(settings)
        , self(std::move(ownId))
        , incarnation(ownIncarnation)
        , share(std::move(fleetShare))
    {
    }

    LimitedOrganisation* findAndRefill(const OrganisationName& name, TimePoint now)
    {
        auto it = organisations.find(name);
        if (it == organisations.end())
            return nullptr;
        auto shareIntegral = share.integralUntil(now);
        auto current = share.at(now);
        it->second.requests.refill(shareIntegral, current, now);
        it->second.tokens.refill(shareIntegral, current, now);
        return &it->second;
    }

    TimePoint retryAt(const LimitedOrganisation& organisation, double tokens, TimePoint now) const
    {
        auto fallback = std::chrono::duration<double>(options.share.window).count();
        auto forRequest = organisation.requests.secondsUntil(1).value_or(fallback);
        auto forTokens = organisation.tokens.secondsUntil(tokens).value_or(fallback);
        return now + microseconds(static_cast<std::int64_t>(std::max(forRequest, forTokens) * 1e6));
    }

    bool requestLoan(LimitedOrganisation& organisation, const OrganisationName& name, double tokens, TimePoint now, LimitEffects& effects)
    {
        std::erase_if(organisation.pendingLoans, [&](auto& it) { return it.sentAt + options.lease <= now; });
        auto n = std::min({ options.peersPerRound, peers.size(), allowedLendRequests(now) });
        if (now < organisation.nextLendRequestAt || !n)
            return !organisation.pendingLoans.empty();
        lendRequestAllowance -= static_cast<double>(n);
        auto interval = std::clamp(organisation.lendRequestInterval * 2, options.lendRequestInterval, options.maxLendRequestInterval);
        organisation.lendRequestInterval = interval;
        organisation.nextLendRequestAt = now + interval;
        auto neededRequests = shortageOf(organisation.requests, 1);
        auto neededTokens = shortageOf(organisation.tokens, tokens);
        for (std::size_t i = 0; i < n; ++i) {
            // Peers are contacted in turn, so that each peer soon learns which of its grants are used up.
            auto& peer = peers[organisation.nextPeer++ % peers.size()];
            auto spentUpTo = highestSpentSerial(organisation, peer);
            LendRequest request { self, incarnation, ++lastSerial, spentUpTo, name, neededRequests, neededTokens };
            organisation.pendingLoans.push_back({ request.serial, peer, now, request.requests, request.tokens });
            effects.push_back({ LimitEffectKind::SendLendRequest, peer, request, {} });
        }
        return true;
    }

    std::size_t allowedLendRequests(TimePoint now)
    {
        auto elapsed = std::chrono::duration<double>(now - lendRequestAllowanceAt).count();
        lendRequestAllowanceAt = std::max(lendRequestAllowanceAt, now);
        lendRequestAllowance = std::min(lendRequestAllowance + std::max(0.0, elapsed) * options.lendRequestsPerSecond, std::max(options.lendRequestsPerSecond, 1.0));
        return static_cast<std::size_t>(lendRequestAllowance);
    }

    static double shortageOf(const LendingBucket& bucket, double needed)
    {
        auto available = bucket.available();
        return available >= needed ? 0 : needed - available + lendRequestHeadroom * bucket.burst();
    }

    /// Highest serial up to which no grant of `peer` is held or can still be accepted.
    std::uint64_t highestSpentSerial(const LimitedOrganisation& organisation, const InstanceId& peer) const
    {
        auto spent = lastSerial;
        auto excludeHeld = [&](auto& leases) {
            for (auto& it : leases) {
                if (it.peer == peer)
                    spent = std::min(spent, it.serial - 1);
            }
        };
        excludeHeld(organisation.pendingLoans);
        excludeHeld(organisation.requests.borrowed());
        excludeHeld(organisation.tokens.borrowed());
        return spent;
    }

    /// Returns false for a duplicated or reordered request. Granting it would deduct the same amount twice, although
    /// the borrower accepts the grant only once.
    bool isNewRequest(const LendRequest& request)
    {
        auto& known = borrowers[request.borrower];
        if (known.incarnation != request.borrowerIncarnation)
            known = { request.borrowerIncarnation, 0 };
        if (request.serial <= known.lastSerial)
            return false;
        known.lastSerial = request.serial;
        return true;
    }

    TimePoint lenderExpiry(TimePoint now) const
    {
        auto longestLease = std::chrono::duration<double, std::micro>(options.lease).count() * (1 + options.clockDrift);
        return now + microseconds(static_cast<std::int64_t>(longestLease) + 1);
    }

    OrganisationLimitsOptions options;
    InstanceId self;
    Incarnation incarnation;
    FleetShare share;
    std::vector<InstanceId> peers;
    std::uint64_t lastSerial { 0 };
    double lendRequestAllowance { 0 };
    TimePoint lendRequestAllowanceAt {};
    boost::unordered_flat_map<OrganisationName, LimitedOrganisation, std::hash<OrganisationName>> organisations;
    boost::unordered_flat_map<InstanceId, Borrower, std::hash<InstanceId>> borrowers;
};

OrganisationLimits::OrganisationLimits(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}
OrganisationLimits::OrganisationLimits(OrganisationLimits&&) noexcept = default;
OrganisationLimits& OrganisationLimits::operator=(OrganisationLimits&&) noexcept = default;
OrganisationLimits::~OrganisationLimits() = default;

Result<OrganisationLimits> OrganisationLimits::create(OrganisationLimitsOptions options, InstanceId self, Incarnation incarnation, TimePoint now)
{
    auto share = FleetShare::create(options.share, now);
    if (!share)
        return share.error();
    if (options.lease.count() <= 0 || options.lease * (1 + options.clockDrift) > options.share.window)
        return Error { ErrorCode::InvalidArgument, "limits: the lease must be positive and, including the clock drift, at most the window" };
    if (!(options.clockDrift >= 0) || !(options.lenderReserve >= 0 && options.lenderReserve <= 1) || !(options.idleLenderReserve >= 0 && options.idleLenderReserve <= 1) || options.lendRequestInterval.count() <= 0 || !(options.lendRequestsPerSecond >= 0))
        return Error { ErrorCode::InvalidArgument, "limits: clock drift must not be negative, reserves must be 0 to 1, lend request interval must be positive, lend requests per second must not be negative" };
    options.maxLendRequestInterval = std::max(options.maxLendRequestInterval, options.lendRequestInterval);
    return OrganisationLimits(std::make_unique<State>(options, std::move(self), incarnation, std::move(*share)));
}

void OrganisationLimits::setLimit(const OrganisationName& organisation, const OrganisationLimit& limit, TimePoint now, bool isUnusedSinceStart)
{
    auto [entry, isNew] = m_state->organisations.try_emplace(organisation);
    auto& it = entry->second;
    // Spreads the first lend requests of different entries over different peers.
    if (isNew)
        it.nextPeer = std::hash<InstanceId> {}(m_state->self) ^ std::hash<OrganisationName> {}(organisation);
    auto shareIntegral = m_state->share.integralUntil(now);
    auto initialIntegral = isNew && isUnusedSinceStart ? 0 : shareIntegral;
    it.requests.setRate(limit.requestsPerSecond, limit.burstSeconds, initialIntegral);
    it.tokens.setRate(limit.tokensPerSecond, limit.burstSeconds, initialIntegral);
}

void OrganisationLimits::removeOrganisation(const OrganisationName& organisation)
{
    m_state->organisations.erase(organisation);
}

void OrganisationLimits::onInstanceList(const std::vector<InstanceId>& entries, TimePoint now)
{
    bool containsSelf = std::find(entries.begin(), entries.end(), m_state->self) != entries.end();
    m_state->share.onInstanceList(entries.size(), containsSelf, now);
    m_state->peers.clear();
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(m_state->peers), [&](auto& it) { return it != m_state->self; });
    boost::unordered::erase_if(m_state->borrowers, [&](auto& entry) { return std::find(entries.begin(), entries.end(), entry.first) == entries.end(); });
}

LimitDecision OrganisationLimits::admit(const OrganisationName& name, Tokens estimate, TimePoint now, LimitEffects& effects)
{
    auto* organisation = m_state->findAndRefill(name, now);
    if (!organisation)
        return {};
    auto tokens = static_cast<double>(std::max(estimate, Tokens(0)).value());
    bool hasRequest = organisation->requests.available() >= 1;
    bool hasTokens = organisation->tokens.available() >= tokens;
    if (!hasRequest || !hasTokens) {
        auto outcome = hasRequest ? LimitOutcome::TokenLimit : LimitOutcome::RequestLimit;
        auto retryAt = m_state->retryAt(*organisation, tokens, now);
        return { outcome, retryAt, m_state->requestLoan(*organisation, name, tokens, now, effects) };
    }
    if (organisation->requests.isLimited())
        organisation->requests.take(1, now);
    if (organisation->tokens.isLimited())
        organisation->tokens.take(tokens, now);
    return {};
}

void OrganisationLimits::settle(const OrganisationName& name, Tokens estimate, Tokens actual, TimePoint now)
{
    auto* organisation = m_state->findAndRefill(name, now);
    if (organisation && organisation->tokens.isLimited())
        organisation->tokens.refund(static_cast<double>((estimate - actual).value()));
}

LimitEffects OrganisationLimits::onLendRequest(const LendRequest& request, TimePoint now)
{
    auto* organisation = m_state->findAndRefill(request.organisation, now);
    if (!organisation || request.borrower == m_state->self || !m_state->isNewRequest(request))
        return {};
    organisation->requests.release(request.borrower, request.borrowerIncarnation, request.spentUpTo);
    organisation->tokens.release(request.borrower, request.borrowerIncarnation, request.spentUpTo);
    auto lendableOf = [&](LendingBucket& bucket, double requested) { return requested > 0 ? std::min(requested, bucket.lendable(m_state->options.lenderReserve, m_state->options.idleLenderReserve, now)) : 0.0; };
    auto requests = lendableOf(organisation->requests, request.requests);
    auto tokens = lendableOf(organisation->tokens, request.tokens);
    if (requests <= 0 && tokens <= 0)
        return {};
    auto end = m_state->lenderExpiry(now);
    if (requests > 0)
        organisation->requests.lend({ requests, end, request.borrower, request.borrowerIncarnation, request.serial });
    if (tokens > 0)
        organisation->tokens.lend({ tokens, end, request.borrower, request.borrowerIncarnation, request.serial });
    LendGrant grant { m_state->self, request.borrowerIncarnation, request.serial, request.organisation, requests, tokens, m_state->options.lease };
    return { { LimitEffectKind::SendLendGrant, request.borrower, {}, grant } };
}

bool OrganisationLimits::onLendGrant(const LendGrant& grant, TimePoint now)
{
    auto* organisation = m_state->findAndRefill(grant.organisation, now);
    if (!organisation || grant.borrowerIncarnation != m_state->incarnation)
        return false;
    auto& pendingLoans = organisation->pendingLoans;
    auto it = std::find_if(pendingLoans.begin(), pendingLoans.end(), [&](auto& each) { return each.serial == grant.serial && each.peer == grant.lender; });
    if (it == pendingLoans.end())
        return false;
    auto pendingLoan = *it;
    pendingLoans.erase(it);
    // The borrower's lease counts from when it sent the request, the lender's from when it sent the grant. So the lease
    // ends here before it ends at the lender.
    auto end = pendingLoan.sentAt + std::min(grant.lease, m_state->options.lease);
    if (now >= end)
        return false;
    if (grant.requests > 0)
        organisation->requests.borrow({ std::min(grant.requests, pendingLoan.requests), end, grant.lender, grant.borrowerIncarnation, grant.serial });
    if (grant.tokens > 0)
        organisation->tokens.borrow({ std::min(grant.tokens, pendingLoan.tokens), end, grant.lender, grant.borrowerIncarnation, grant.serial });
    organisation->lendRequestInterval = milliseconds(0);
    return true;
}

double OrganisationLimits::share(TimePoint now)
{
    return m_state->share.at(now);
}

double OrganisationLimits::availableTokens(const OrganisationName& organisation, TimePoint now)
{
    auto* it = m_state->findAndRefill(organisation, now);
    return it ? it->tokens.available() : std::numeric_limits<double>::infinity();
}

} // namespace swiftloft::policy
