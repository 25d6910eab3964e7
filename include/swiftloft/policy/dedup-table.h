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
    /// Most tickets remembered.
    std::size_t capacity { 65536 };
    /// Length of an epoch, and how many epochs after its own a ticket stays acceptable.
    seconds epochLength { 60 };
    std::uint64_t epochsKept { 10 };
};

enum class StartAnswer {
    /// The ticket is new and now counts as running.
    Run,
    /// Attach to the run in progress.
    AlreadyRunning,
    AlreadyFinished,
    /// It was cancelled before it ran and never will run.
    Cancelled,
    /// The ticket names another agent or another incarnation of this one, whose memory is gone.
    OtherIncarnation,
    /// Older than the horizon: what was known of it has been dropped.
    TooOld,
    /// From an epoch this agent has not reached: damaged or forged.
    NotYetMinted,
    /// No room, and nothing that may be dropped. It may be sent again to this agent.
    Full,
};

std::string_view toString(StartAnswer answer);

struct StartResult {
    StartAnswer answer { StartAnswer::Full };
    /// Verdict for the client if nothing else is known of the request.
    Verdict verdict { Verdict::MayHaveRun };
};

/// What one agent incarnation remembers of tickets, so that each runs at most once here.
///
/// Guards against late and doubled copies: a request waits in a socket's buffer for minutes, was answered from another
/// copy, and then arrives. Memory is bounded, so old tickets must be dropped; a dropped ticket must not run again. The
/// agent counts epochs, tickets carry the epoch of their minting, and a ticket is dropped only when the horizon, the
/// oldest epoch still accepted, has passed it. A copy behind the horizon is refused as may-have-run. No clock decides:
/// a pause or a wrong clock only moves the horizon early or late.
class DedupTable {
public:
    static Result<DedupTable> create(DedupTableOptions options, BackendServerId self, Incarnation incarnation, TimePoint now);

    /// A copy of the request has arrived.
    StartResult start(const Ticket& ticket);
    /// The request has ended with `Ran` or `MayHaveRun`.
    void finish(const Ticket& ticket, Verdict verdict);
    /// Asks that the request does not run. `NotRun` leaves a tombstone that stops late copies; it is only answered
    /// when that is kept until the horizon passes. A run in progress is answered `MayHaveRun` and goes on.
    Verdict cancel(const Ticket& ticket);

    /// Starts a new epoch when its time has come.
    void tick(TimePoint now);
    TimePoint nextTick() const { return m_nextEpochAt; }

    /// The epoch entries mint with; reported with the load.
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
    /// Tickets that may be dropped once the horizon passes `epoch`.
    struct EpochList {
        MintEpoch epoch;
        std::vector<Ticket> tickets;
    };

    DedupTable(DedupTableOptions options, BackendServerId self, Incarnation incarnation, TimePoint now);
    bool isForThisIncarnation(const Ticket& ticket) const;
    /// Why a ticket not in the table may not enter it; nothing when it may and there is room.
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
