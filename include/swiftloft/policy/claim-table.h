#pragma once

#include <swiftloft/policy/claim.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>
#include <swiftloft/verdict.h>

#include <deque>
#include <optional>
#include <unordered_map>

namespace swiftloft::policy {

struct ClaimTableOptions {
    /// How long after its first use a key is kept from running again. What the service promises its clients.
    seconds retention { 600 };
    /// How long a granted claim may wait for its run.
    milliseconds claimLease { 10000 };
    /// How long a list may have been replaced, as this agent knows, and still be claimed under.
    milliseconds staleListTolerance { 5000 };
    std::size_t capacity { 65536 };
    /// Refuse claims until nothing that a predecessor granted can matter any more. Off only where it is known that
    /// there was none: on the first start of a fleet.
    bool hasStartupGracePeriod { true };
};

/// An agent's memory of client keys: who holds each, and what became of it.
///
/// The agent grants a key to one claim at a time and runs it only for the claim it granted. Keys are never dropped for
/// lack of room: a full desk refuses.
class ClaimTable {
public:
    static Result<ClaimTable> create(ClaimTableOptions options, Incarnation self, TimePoint now);

    /// The agent learned of an instance list, from the platform or from a peer.
    void onListRevision(ListRevision revision, TimePoint now);
    ClaimReply onClaim(const ClaimRequest& request, TimePoint now);
    /// The claiming entry gives up before it ran the request.
    void onRelease(const ClientKey& key, const ClaimId& claim);
    /// `incarnation` is the one that granted the claim, as the entry heard it.
    RunAnswer onRun(const ClientKey& key, const ClaimId& claim, Incarnation incarnation, TimePoint now);
    void onFinish(const ClientKey& key, Verdict verdict, TimePoint now);
    /// What is known of a key, for an entry that attaches: nothing when it did not run here.
    std::optional<Verdict> outcomeOf(const ClientKey& key) const;
    /// Drops keys whose time has passed.
    void tick(TimePoint now);

    std::size_t size() const { return m_records.size(); }

private:
    enum class Phase {
        Claimed,
        Running,
        Finished,
    };
    struct Record {
        ClaimId claim;
        BackendServerId runner;
        Phase phase { Phase::Claimed };
        Verdict verdict { Verdict::MayHaveRun };
        TimePoint leaseExpiresAt;
        TimePoint expiresAt;
    };
    struct KnownList {
        ListRevision revision;
        TimePoint learnedAt;
    };
    struct Expiry {
        TimePoint expiresAt;
        ClientKey key;
    };

    ClaimTable(ClaimTableOptions options, Incarnation self, TimePoint now);
    bool isStale(ListRevision revision, TimePoint now) const;
    std::optional<ClaimAnswer> refusalReason(const ClaimRequest& request, TimePoint now) const;

    ClaimTableOptions m_options;
    Incarnation m_self;
    TimePoint m_gracePeriodEndsAt;
    /// Rising revisions; the last is the newest known.
    std::deque<KnownList> m_lists;
    std::unordered_map<ClientKey, Record> m_records;
    std::deque<Expiry> m_expiries;
};

} // namespace swiftloft::policy
