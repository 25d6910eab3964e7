#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/policy/fleet-share.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace swiftloft::policy {

/// An organisation's limit over the whole fleet. Nothing set: not limited.
struct OrganisationLimit {
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    /// How many seconds of the rate may be used at once.
    double burstSeconds { 10 };
};

/// Asks a peer for a part of its unused share.
struct LendRequest {
    InstanceId borrower;
    Incarnation borrowerIncarnation;
    /// Counts up over all requests of this incarnation.
    std::uint64_t serial { 0 };
    /// Whatever this lender granted for the organisation up to this serial is used up, or will never be accepted.
    std::uint64_t spentUpTo { 0 };
    OrganisationName organisation;
    double requests { 0 };
    double tokens { 0 };
};

/// Hands over amounts that the lender has already taken off its own. Lost, it is lost; used, it is used once.
struct LendGrant {
    InstanceId lender;
    Incarnation borrowerIncarnation;
    std::uint64_t serial { 0 };
    OrganisationName organisation;
    double requests { 0 };
    double tokens { 0 };
    /// Life of the grant. The borrower counts from when it asked, the lender from when it granted, which is later.
    milliseconds lease { 0 };
};

enum class LimitEffectKind {
    SendLendRequest,
    SendLendGrant,
};

struct LimitEffect {
    LimitEffectKind kind { LimitEffectKind::SendLendRequest };
    InstanceId to;
    LendRequest request;
    LendGrant grant;
};

using LimitEffects = std::vector<LimitEffect>;

enum class LimitOutcome {
    Admitted,
    RequestLimit,
    TokenLimit,
};

std::string_view toString(LimitOutcome outcome);

struct LimitDecision {
    LimitOutcome outcome { LimitOutcome::Admitted };
    /// When refused: when this entry's own share will suffice, for `Retry-After`.
    TimePoint retryAt;
    /// A peer has been asked; a grant may allow the request within a round trip.
    bool isBorrowing { false };
};

struct OrganisationLimitsOptions {
    FleetShareOptions share;
    /// At most the window of the share, so that a restarted lender starts after all its grants have ended.
    milliseconds lease { 5000 };
    /// By how much two clocks may differ in speed over one lease, as a fraction.
    double clockDrift { 0.05 };
    /// Part of its burst that a lender keeps for its own callers, while it has any and while it has none.
    double lenderReserve { 0.5 };
    double idleLenderReserve { 0.1 };
    /// Peers asked at a time, and the least time between two rounds.
    std::size_t peersPerRound { 2 };
    milliseconds lendRequestInterval { 20 };
    milliseconds maxLendRequestInterval { 200 };
    /// Peers asked in a second over all organisations: bounds what lending takes of the control traffic when many are
    /// short at once.
    double lendRequestsPerSecond { 40 };
};

/// Limits of organisations in requests and tokens, held by one entry without shared state.
///
/// Each entry has a token bucket for its share (see `FleetShare`). A grant moves an amount, not a rate: the lender takes
/// it out of its bucket before it sends the grant, the borrower accepts each grant once, within a lease counted from
/// its own asking. Until the grant has ended or the borrower says that it is used up, the lender's bucket does not
/// refill into the room it left. So over any time T all entries together admit at most rate x T + rate x burst, whatever is lost, doubled, reordered or late.
class OrganisationLimits {
public:
    static Result<OrganisationLimits> create(OrganisationLimitsOptions options, InstanceId self, Incarnation incarnation, TimePoint now);
    OrganisationLimits(OrganisationLimits&&) noexcept;
    OrganisationLimits& operator=(OrganisationLimits&&) noexcept;
    ~OrganisationLimits();

    /// `isUnusedSinceStart`: this entry has admitted nothing for the organisation since it was created, so what its share
    /// has yielded since then, up to the burst, is there to be used. Without it a new limit starts empty.
    void setLimit(const OrganisationName& organisation, const OrganisationLimit& limit, TimePoint now, bool isUnusedSinceStart = false);
    void removeOrganisation(const OrganisationName& organisation);
    /// The instance list was read; `entries` are the live entry instances.
    void onInstanceList(const std::vector<InstanceId>& entries, TimePoint now);

    /// Takes one request and `estimate` tokens, or nothing. May ask peers: the effects are appended.
    LimitDecision admit(const OrganisationName& organisation, Tokens estimate, TimePoint now, LimitEffects& effects);
    /// The request has ended and has cost `actual`: returns what was not used, or takes the excess out of what comes.
    void settle(const OrganisationName& organisation, Tokens estimate, Tokens actual, TimePoint now);

    /// A peer asks. Grants out of what is not used here, or does not answer.
    LimitEffects onLendRequest(const LendRequest& request, TimePoint now);
    /// False when the grant was refused: late, doubled, or not asked for by this incarnation.
    bool onLendGrant(const LendGrant& grant, TimePoint now);

    double share(TimePoint now);
    /// Tokens this entry could admit now, for display.
    double availableTokens(const OrganisationName& organisation, TimePoint now);

private:
    class State;
    explicit OrganisationLimits(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace swiftloft::policy
