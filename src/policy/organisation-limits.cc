#include <swiftloft/policy/organisation-limits.h>

#include "src/policy/lent-bucket.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>

namespace swiftloft::policy {

using internal::LentBucket;

namespace {

/// Asked for beyond the shortage, as a part of the own burst, so that not every request asks.
constexpr double askAhead = 0.25;

struct Pending {
    std::uint64_t serial;
    InstanceId peer;
    TimePoint askedAt;
    double requests;
    double tokens;
};

struct LimitedOrganisation {
    LentBucket requests;
    LentBucket tokens;
    std::vector<Pending> pending;
    TimePoint nextAskAt {};
    milliseconds askInterval { 0 };
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
    State(OrganisationLimitsOptions settings, InstanceId name, Incarnation life, FleetShare fleetShare)
        : options(settings)
        , self(std::move(name))
        , incarnation(life)
        , share(std::move(fleetShare))
    {
    }

    LimitedOrganisation* refilled(const OrganisationName& name, TimePoint now)
    {
        auto it = organisations.find(name);
        if (it == organisations.end())
            return nullptr;
        auto yield = share.yieldUntil(now);
        auto current = share.at(now);
        it->second.requests.refill(yield, current, now);
        it->second.tokens.refill(yield, current, now);
        return &it->second;
    }

    TimePoint retryAt(const LimitedOrganisation& organisation, double tokens, TimePoint now) const
    {
        auto whenever = std::chrono::duration<double>(options.share.window).count();
        auto forRequest = organisation.requests.secondsUntil(1).value_or(whenever);
        auto forTokens = organisation.tokens.secondsUntil(tokens).value_or(whenever);
        return now + microseconds(static_cast<std::int64_t>(std::max(forRequest, forTokens) * 1e6));
    }

    bool ask(LimitedOrganisation& organisation, const OrganisationName& name, double tokens, TimePoint now, LimitEffects& effects)
    {
        std::erase_if(organisation.pending, [&](auto& it) { return it.askedAt + options.lease <= now; });
        auto n = std::min({ options.peersAsked, peers.size(), allowedAsks(now) });
        if (now < organisation.nextAskAt || !n)
            return !organisation.pending.empty();
        askAllowance -= static_cast<double>(n);
        auto interval = std::clamp(organisation.askInterval * 2, options.askInterval, options.longestAskInterval);
        organisation.askInterval = interval;
        organisation.nextAskAt = now + interval;
        auto missingRequests = shortageOf(organisation.requests, 1);
        auto missingTokens = shortageOf(organisation.tokens, tokens);
        for (std::size_t i = 0; i < n; ++i) {
            // In turn, so that each peer hears soon which of its grants are used up.
            auto& peer = peers[organisation.nextPeer++ % peers.size()];
            auto spentUpTo = spentWith(organisation, peer);
            LendRequest request { self, incarnation, ++lastSerial, spentUpTo, name, missingRequests, missingTokens };
            organisation.pending.push_back({ request.serial, peer, now, request.requests, request.tokens });
            effects.push_back({ LimitEffectKind::SendLendRequest, peer, request, {} });
        }
        return true;
    }

    std::size_t allowedAsks(TimePoint now)
    {
        auto elapsed = std::chrono::duration<double>(now - askAllowanceAt).count();
        askAllowanceAt = std::max(askAllowanceAt, now);
        askAllowance = std::min(askAllowance + std::max(0.0, elapsed) * options.asksPerSecond, std::max(options.asksPerSecond, 1.0));
        return static_cast<std::size_t>(askAllowance);
    }

    static double shortageOf(const LentBucket& bucket, double needed)
    {
        auto available = bucket.available();
        return available >= needed ? 0 : needed - available + askAhead * bucket.burst();
    }

    /// Highest serial up to which nothing granted by `peer` is held or may still be accepted.
    std::uint64_t spentWith(const LimitedOrganisation& organisation, const InstanceId& peer) const
    {
        auto spent = lastSerial;
        auto keep = [&](auto& leases) {
            for (auto& it : leases) {
                if (it.peer == peer)
                    spent = std::min(spent, it.serial - 1);
            }
        };
        keep(organisation.pending);
        keep(organisation.requests.borrowed());
        keep(organisation.tokens.borrowed());
        return spent;
    }

    /// A doubled or overtaken request would take the same amount twice for a borrower that accepts it once.
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

    TimePoint lenderEnd(TimePoint now) const
    {
        auto longest = std::chrono::duration<double, std::micro>(options.lease).count() * (1 + options.clockDrift);
        return now + microseconds(static_cast<std::int64_t>(longest) + 1);
    }

    OrganisationLimitsOptions options;
    InstanceId self;
    Incarnation incarnation;
    FleetShare share;
    std::vector<InstanceId> peers;
    std::uint64_t lastSerial { 0 };
    double askAllowance { 0 };
    TimePoint askAllowanceAt {};
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
        return Error { ErrorCode::InvalidArgument, "limits: the lease must be positive and, with the drift, at most the window" };
    if (!(options.clockDrift >= 0) || !(options.lenderReserve >= 0 && options.lenderReserve <= 1) || !(options.idleLenderReserve >= 0 && options.idleLenderReserve <= 1) || options.askInterval.count() <= 0 || !(options.asksPerSecond >= 0))
        return Error { ErrorCode::InvalidArgument, "limits: drift must not be negative, reserve must be 0 to 1, ask interval positive, asks a second not negative" };
    options.longestAskInterval = std::max(options.longestAskInterval, options.askInterval);
    return OrganisationLimits(std::make_unique<State>(options, std::move(self), incarnation, std::move(*share)));
}

void OrganisationLimits::setLimit(const OrganisationName& organisation, const OrganisationLimit& limit, TimePoint now, bool isUnusedSinceStart)
{
    auto [entry, isNew] = m_state->organisations.try_emplace(organisation);
    auto& it = entry->second;
    // Entries start asking at different peers.
    if (isNew)
        it.nextPeer = std::hash<InstanceId> {}(m_state->self) ^ std::hash<OrganisationName> {}(organisation);
    auto yield = m_state->share.yieldUntil(now);
    auto countedFrom = isNew && isUnusedSinceStart ? 0 : yield;
    it.requests.setRate(limit.requestsPerSecond, limit.burstSeconds, countedFrom);
    it.tokens.setRate(limit.tokensPerSecond, limit.burstSeconds, countedFrom);
}

void OrganisationLimits::forget(const OrganisationName& organisation)
{
    m_state->organisations.erase(organisation);
}

void OrganisationLimits::onList(const std::vector<InstanceId>& entries, TimePoint now)
{
    bool containsSelf = std::find(entries.begin(), entries.end(), m_state->self) != entries.end();
    m_state->share.onList(entries.size(), containsSelf, now);
    m_state->peers.clear();
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(m_state->peers), [&](auto& it) { return it != m_state->self; });
    boost::unordered::erase_if(m_state->borrowers, [&](auto& entry) { return std::find(entries.begin(), entries.end(), entry.first) == entries.end(); });
}

LimitDecision OrganisationLimits::admit(const OrganisationName& name, Tokens estimate, TimePoint now, LimitEffects& effects)
{
    auto* organisation = m_state->refilled(name, now);
    if (!organisation)
        return {};
    auto tokens = static_cast<double>(std::max(estimate, Tokens(0)).value());
    bool hasRequest = organisation->requests.available() >= 1;
    bool hasTokens = organisation->tokens.available() >= tokens;
    if (!hasRequest || !hasTokens) {
        auto outcome = hasRequest ? LimitOutcome::TokenLimit : LimitOutcome::RequestLimit;
        auto retryAt = m_state->retryAt(*organisation, tokens, now);
        return { outcome, retryAt, m_state->ask(*organisation, name, tokens, now, effects) };
    }
    if (organisation->requests.isLimited())
        organisation->requests.take(1, now);
    if (organisation->tokens.isLimited())
        organisation->tokens.take(tokens, now);
    return {};
}

void OrganisationLimits::settle(const OrganisationName& name, Tokens estimate, Tokens actual, TimePoint now)
{
    auto* organisation = m_state->refilled(name, now);
    if (organisation && organisation->tokens.isLimited())
        organisation->tokens.giveBack(static_cast<double>((estimate - actual).value()));
}

LimitEffects OrganisationLimits::onLendRequest(const LendRequest& request, TimePoint now)
{
    auto* organisation = m_state->refilled(request.organisation, now);
    if (!organisation || request.borrower == m_state->self || !m_state->isNewRequest(request))
        return {};
    organisation->requests.release(request.borrower, request.borrowerIncarnation, request.spentUpTo);
    organisation->tokens.release(request.borrower, request.borrowerIncarnation, request.spentUpTo);
    auto partOf = [&](LentBucket& bucket, double asked) { return asked > 0 ? std::min(asked, bucket.lendable(m_state->options.lenderReserve, m_state->options.idleLenderReserve, now)) : 0.0; };
    auto requests = partOf(organisation->requests, request.requests);
    auto tokens = partOf(organisation->tokens, request.tokens);
    if (requests <= 0 && tokens <= 0)
        return {};
    auto end = m_state->lenderEnd(now);
    if (requests > 0)
        organisation->requests.lend({ requests, end, request.borrower, request.borrowerIncarnation, request.serial });
    if (tokens > 0)
        organisation->tokens.lend({ tokens, end, request.borrower, request.borrowerIncarnation, request.serial });
    LendGrant grant { m_state->self, request.borrowerIncarnation, request.serial, request.organisation, requests, tokens, m_state->options.lease };
    return { { LimitEffectKind::SendLendGrant, request.borrower, {}, grant } };
}

bool OrganisationLimits::onLendGrant(const LendGrant& grant, TimePoint now)
{
    auto* organisation = m_state->refilled(grant.organisation, now);
    if (!organisation || grant.borrowerIncarnation != m_state->incarnation)
        return false;
    auto& pending = organisation->pending;
    auto it = std::find_if(pending.begin(), pending.end(), [&](auto& each) { return each.serial == grant.serial && each.peer == grant.lender; });
    if (it == pending.end())
        return false;
    auto asked = *it;
    pending.erase(it);
    // Counted from the asking, which was before the granting: it ends here before it ends at the lender.
    auto end = asked.askedAt + std::min(grant.lease, m_state->options.lease);
    if (now >= end)
        return false;
    if (grant.requests > 0)
        organisation->requests.borrow({ std::min(grant.requests, asked.requests), end, grant.lender, grant.borrowerIncarnation, grant.serial });
    if (grant.tokens > 0)
        organisation->tokens.borrow({ std::min(grant.tokens, asked.tokens), end, grant.lender, grant.borrowerIncarnation, grant.serial });
    organisation->askInterval = milliseconds(0);
    return true;
}

double OrganisationLimits::share(TimePoint now)
{
    return m_state->share.at(now);
}

double OrganisationLimits::availableTokens(const OrganisationName& organisation, TimePoint now)
{
    auto* it = m_state->refilled(organisation, now);
    return it ? it->tokens.available() : std::numeric_limits<double>::infinity();
}

} // namespace swiftloft::policy
