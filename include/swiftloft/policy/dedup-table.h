#pragma once

#include <swiftloft/policy/ticket.h>
#include <swiftloft/units.h>
#include <swiftloft/verdict.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace swiftloft::policy {

struct DedupTableOptions {
    /// Maximum number of tickets in the table.
    std::size_t capacity { 65536 };
    /// Length of an epoch, and the number of later epochs in which a ticket is still accepted.
    seconds epochLength { 60 };
    std::uint64_t epochsKept { 10 };
};

enum class StartAnswer {
    /// The ticket is new and is now recorded as running.
    Run,
    /// The request is running: attach to the run in progress.
    AlreadyRunning,
    AlreadyFinished,
    /// The request was cancelled before it ran, and will never run.
    Cancelled,
    /// The ticket names another agent, or another incarnation of this agent, whose table is lost.
    OtherIncarnation,
    /// The ticket's epoch is before the horizon (the oldest epoch still accepted), and its record has been dropped.
    TooOld,
    /// The ticket is from an epoch that this agent has not reached, so it is damaged or forged.
    NotYetMinted,
    /// The table is full and no record may be dropped. The request may be sent to this agent again.
    Full,
};

std::string_view toString(StartAnswer answer);

struct StartResult {
    StartAnswer answer { StartAnswer::Full };
    /// Verdict for the client when nothing else is known about the request.
    Verdict verdict { Verdict::MayHaveRun };
};

/// Records the tickets of one agent incarnation, so that each runs at most once there.
///
/// Guards against delayed and duplicated copies: a request may stay in a socket buffer for minutes and arrive after
/// another copy has been answered. Memory is bounded, so old tickets must be dropped, and a dropped ticket must not run
/// again. The agent counts epochs, and each ticket carries the epoch in which it was minted. A ticket is dropped only
/// when the horizon, the oldest epoch still accepted, has passed its epoch. A copy behind the horizon is refused as
/// may-have-run. Safety does not depend on a clock: a pause or a wrong clock only moves the horizon early or late.
class DedupTable {
public:
    static Result<DedupTable> create(DedupTableOptions options, BackendServerId self, Incarnation incarnation, TimePoint now);

    /// A copy of the request has arrived.
    StartResult start(const Ticket& ticket);
    /// The run has ended with the verdict `Ran` or `MayHaveRun`.
    void finish(const Ticket& ticket, Verdict verdict);
    /// Cancels a request that has not started. `NotRun` means that a tombstone has been recorded, which stops late
    /// copies and is kept until the horizon has passed the ticket. For a run in progress the result is `MayHaveRun`,
    /// and the run continues.
    Verdict cancel(const Ticket& ticket);

    /// Starts a new epoch when the current one has ended.
    void tick(TimePoint now);
    TimePoint nextTick() const { return m_nextEpochAt; }

    /// Epoch with which entries mint tickets; sent with the load report.
    MintEpoch epoch() const { return m_epoch; }
    MintEpoch horizon() const { return m_horizon; }
    std::size_t size() const { return m_records.size(); }

private:
    enum class Phase {
        Running,
        Finished,
        Tombstone,
    };
    struct Record {
        Phase phase { Phase::Running };
        Verdict verdict { Verdict::MayHaveRun };
    };
    struct TicketHash {
        std::size_t operator()(const Ticket& ticket) const;
    };
    /// Tickets of one epoch, dropped once the horizon has passed `epoch`.
    struct EpochList {
        MintEpoch epoch;
        std::vector<Ticket> tickets;
    };

    DedupTable(DedupTableOptions options, BackendServerId self, Incarnation incarnation, TimePoint now);
    bool isForThisIncarnation(const Ticket& ticket) const;
    /// Returns why a ticket that is not in the table must be refused, or `nullopt` when it is acceptable and there is
    /// room.
    std::optional<StartAnswer> admit(const Ticket& ticket);
    bool makeRoom();
    void insert(const Ticket& ticket, Record record);
    void raiseHorizon(MintEpoch horizon);

    DedupTableOptions m_options;
    BackendServerId m_self;
    Incarnation m_incarnation;
    MintEpoch m_epoch { 1 };
    MintEpoch m_horizon { 1 };
    TimePoint m_nextEpochAt;
    std::unordered_map<Ticket, Record, TicketHash> m_records;
    std::deque<EpochList> m_epochs;
};

} // namespace swiftloft::policy
