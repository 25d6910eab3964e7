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

/// Limit of an organisation across the whole fleet. Rates that are not set are unlimited.
struct OrganisationLimit {
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    /// Burst size, in seconds of the rate.
    double burstSeconds { 10 };
};

/// Request to a peer to lend a part of its unused share.
struct LendRequest {
    InstanceId borrower;
    Incarnation borrowerIncarnation;
    /// Increases with each request of this incarnation.
    std::uint64_t serial { 0 };
    /// All amounts that the receiver of this request has granted for the organisation up to this serial are used up, or
    /// their grants will not be accepted any more.
    std::uint64_t spentUpTo { 0 };
    OrganisationName organisation;
    double requests { 0 };
    double tokens { 0 };
};

/// Transfers amounts that the lender has already deducted from its own bucket. When the message is lost, the amounts
/// are lost too, but no amount can be used twice.
struct LendGrant {
    InstanceId lender;
    Incarnation borrowerIncarnation;
    std::uint64_t serial { 0 };
    OrganisationName organisation;
    double requests { 0 };
    double tokens { 0 };
    /// Time for which the grant can be used. The borrower counts from when it sent the request, the lender from when it
    /// sent the grant. The latter is later, so the borrower's lease ends first.
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
    /// When refused: the time at which this entry's own share will suffice, for `Retry-After`. When the current share
    /// cannot suffice, the time is at least one window of the share from now.
    TimePoint retryAt;
    /// A lend request is pending; a grant may allow the request within a round trip.
    bool isBorrowing { false };
};

struct OrganisationLimitsOptions {
    FleetShareOptions share;
    /// Lease of a grant. Must be at most the window of the share, so that all grants of a restarted lender have expired
    /// before it has a share again.
    milliseconds lease { 5000 };
    /// Maximum difference in speed of two clocks over one lease, as a fraction.
    double clockDrift { 0.05 };
    /// Fractions of its burst that a lender keeps for its own clients: while it has clients, and while it is idle.
    double lenderReserve { 0.5 };
    double idleLenderReserve { 0.1 };
    /// Number of peers to which a round of lend requests goes, and the minimum interval between two rounds.
    std::size_t peersPerRound { 2 };
    milliseconds lendRequestInterval { 20 };
    milliseconds maxLendRequestInterval { 200 };
    /// Maximum lend requests per second over all organisations. Bounds the control traffic for lending when many
    /// organisations reach their limits at the same time.
    double lendRequestsPerSecond { 40 };
};

/// Enforces the request and token limits of organisations at one entry, without shared state.
///
/// Each entry has a token bucket for its share (see `FleetShare`). A grant transfers an amount, not a rate: the lender
/// deducts the amount from its bucket before it sends the grant, and the borrower accepts each grant once, within a
/// lease counted from when the borrower sent the request. Until the grant has expired, or the borrower reports that it
/// is used up, the lender's bucket does not refill the lent amount. So over any time T all entries together admit at
/// most rate x T + rate x burst, whatever messages are lost, duplicated, reordered or delayed.
class OrganisationLimits {
public:
    static Result<OrganisationLimits> create(OrganisationLimitsOptions options, InstanceId self, Incarnation incarnation, TimePoint now);
    OrganisationLimits(OrganisationLimits&&) noexcept;
    OrganisationLimits& operator=(OrganisationLimits&&) noexcept;
    ~OrganisationLimits();

    /// Sets or changes a limit. `isUnusedSinceStart` says that this entry has admitted nothing for the organisation
    /// since it was created. The bucket of a new limit then starts with what the entry's share has accumulated since
    /// the entry was created, up to the burst. Otherwise the bucket starts empty.
    void setLimit(const OrganisationName& organisation, const OrganisationLimit& limit, TimePoint now, bool isUnusedSinceStart = false);
    void removeOrganisation(const OrganisationName& organisation);
    /// The instance list was read; `entries` are the live entry instances.
    void onInstanceList(const std::vector<InstanceId>& entries, TimePoint now);

    /// Takes one request and `estimate` tokens from the buckets, or takes nothing and refuses. A refusal may append
    /// lend requests to `effects`.
    LimitDecision admit(const OrganisationName& organisation, Tokens estimate, TimePoint now, LimitEffects& effects);
    /// The request has ended and has cost `actual` tokens. Returns unused tokens to the bucket, or deducts the excess
    /// from future admissions.
    void settle(const OrganisationName& organisation, Tokens estimate, Tokens actual, TimePoint now);

    /// A lend request of a peer has arrived. Grants from the amount that is unused here; returns no effects when there
    /// is nothing to lend.
    LimitEffects onLendRequest(const LendRequest& request, TimePoint now);
    /// Returns false when the grant is refused because it is late, duplicated or was not requested by this incarnation.
    bool onLendGrant(const LendGrant& grant, TimePoint now);

    /// Fraction of each limit that this entry may use, see `FleetShare`.
    double share(TimePoint now);
    /// Tokens that this entry could admit now, for display.
    double availableTokens(const OrganisationName& organisation, TimePoint now);

private:
    class State;
    explicit OrganisationLimits(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace swiftloft::policy
