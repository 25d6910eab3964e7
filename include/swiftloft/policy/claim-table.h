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
    /// Minimum time for which a key is not run again after its first use. The service guarantees this time to its
    /// clients.
    seconds retention { 600 };
    /// Time within which the run of a granted claim must start.
    milliseconds claimLease { 10000 };
    /// Time for which claims under a replaced instance list are still accepted, counted from when this agent learned of
    /// the newer list.
    milliseconds staleListTolerance { 5000 };
    std::size_t capacity { 65536 };
    /// Refuse claims after the start until every key that a previous incarnation may have granted or run has expired.
    /// Switched off only when no previous incarnation can have existed, as at the first start of a fleet.
    bool hasStartupGracePeriod { true };
};

/// An agent's record of client keys: which claim holds each key, and the outcome of its run.
///
/// The agent grants a key to one claim at a time and runs it only for the claim it granted. Keys are never evicted to
/// make room: a full table refuses new claims.
class ClaimTable {
public:
    static Result<ClaimTable> create(ClaimTableOptions options, Incarnation self, TimePoint now);

    /// The agent learned of an instance list revision, from the platform or from a peer.
    void onListRevision(ListRevision revision, TimePoint now);
    ClaimReply onClaim(const ClaimRequest& request, TimePoint now);
    /// The claiming entry releases its claim before it has run the request.
    void onRelease(const ClientKey& key, const ClaimId& claim);
    /// Asks to run the key. `incarnation` is the agent incarnation that granted the claim, as reported to the entry in
    /// `ClaimReply`.
    RunAnswer onRun(const ClientKey& key, const ClaimId& claim, Incarnation incarnation, TimePoint now);
    void onFinish(const ClientKey& key, Verdict verdict, TimePoint now);
    /// Outcome of a key, for an entry that attaches to its run; `nullopt` when the key did not run here.
    std::optional<Verdict> outcomeOf(const ClientKey& key) const;
    /// Removes expired keys.
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
    /// In order of increasing revision.
    std::deque<KnownList> m_lists;
    std::unordered_map<ClientKey, Record> m_records;
    std::deque<Expiry> m_expiries;
};

} // namespace swiftloft::policy
