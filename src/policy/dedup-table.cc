#include <swiftloft/policy/dedup-table.h>

#include <boost/container_hash/hash.hpp>

namespace swiftloft::policy {

std::string_view toString(StartAnswer answer)
{
    switch (answer) {
    case StartAnswer::Run:
        return "run";
    case StartAnswer::AlreadyRunning:
        return "already-running";
    case StartAnswer::AlreadyFinished:
        return "already-finished";
    case StartAnswer::Cancelled:
        return "cancelled";
    case StartAnswer::OtherIncarnation:
        return "other-incarnation";
    case StartAnswer::TooOld:
        return "too-old";
    case StartAnswer::NotYetMinted:
        return "not-yet-minted";
    case StartAnswer::Full:
        return "full";
    }
    return "unknown";
}

std::size_t DedupTable::TicketHash::operator()(const Ticket& ticket) const
{
    // Agent and incarnation are the same for every ticket in the table.
    std::size_t seed = 0;
    boost::hash_combine(seed, ticket.mintedBy.value());
    boost::hash_combine(seed, ticket.serial);
    return seed;
}

DedupTable::DedupTable(DedupTableOptions options, BackendServerId self, Incarnation incarnation, TimePoint now)
    : m_options(options)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_nextEpochAt(now + options.epochLength)
{
}

Result<DedupTable> DedupTable::create(DedupTableOptions options, BackendServerId self, Incarnation incarnation, TimePoint now)
{
    if (!options.capacity || !options.epochsKept || options.epochLength.count() <= 0)
        return Error { ErrorCode::InvalidArgument, "dedup table: capacity, epoch length and epochs kept must be positive" };
    return DedupTable(options, std::move(self), incarnation, now);
}

bool DedupTable::isForThisIncarnation(const Ticket& ticket) const
{
    // A restarted agent has lost the record of what its previous incarnation ran. It refuses the tickets of that
    // incarnation, including late copies, and no other agent may run them either.
    return ticket.agent == m_self && ticket.agentIncarnation == m_incarnation;
}

std::optional<StartAnswer> DedupTable::admit(const Ticket& ticket)
{
    if (!isForThisIncarnation(ticket))
        return StartAnswer::OtherIncarnation;
    // Making room may raise the horizon (the oldest epoch still accepted) past this ticket's epoch. So room is made
    // before the epoch is checked.
    bool hasRoom = makeRoom();
    if (ticket.epoch < m_horizon)
        return StartAnswer::TooOld;
    if (ticket.epoch > m_epoch)
        return StartAnswer::NotYetMinted;
    if (!hasRoom)
        return StartAnswer::Full;
    return std::nullopt;
}

StartResult DedupTable::start(const Ticket& ticket)
{
    auto it = m_records.find(ticket);
    if (it != m_records.end()) {
        switch (it->second.phase) {
        case Phase::Running:
            return { StartAnswer::AlreadyRunning, Verdict::MayHaveRun };
        case Phase::Finished:
            return { StartAnswer::AlreadyFinished, it->second.verdict };
        case Phase::Tombstone:
            return { StartAnswer::Cancelled, Verdict::NotRun };
        }
    }
    if (auto reason = admit(ticket))
        return { *reason, Verdict::MayHaveRun };
    insert(ticket, { Phase::Running, Verdict::MayHaveRun });
    return { StartAnswer::Run, Verdict::MayHaveRun };
}

void DedupTable::finish(const Ticket& ticket, Verdict verdict)
{
    auto it = m_records.find(ticket);
    if (it == m_records.end() || it->second.phase != Phase::Running)
        return;
    if (ticket.epoch < m_horizon) {
        m_records.erase(it);
        return;
    }
    it->second = { Phase::Finished, verdict };
}

Verdict DedupTable::cancel(const Ticket& ticket)
{
    auto it = m_records.find(ticket);
    if (it != m_records.end()) {
        if (it->second.phase == Phase::Tombstone)
            return Verdict::NotRun;
        return it->second.phase == Phase::Finished ? it->second.verdict : Verdict::MayHaveRun;
    }
    // A missing record alone does not prove that the request has not run, since the record may have been dropped.
    // `NotRun` is returned only when the table would still hold the record of an earlier run and has room for a
    // tombstone, which stops copies that arrive later.
    if (admit(ticket))
        return Verdict::MayHaveRun;
    insert(ticket, { Phase::Tombstone, Verdict::NotRun });
    return Verdict::NotRun;
}

void DedupTable::tick(TimePoint now)
{
    if (now < m_nextEpochAt)
        return;
    m_nextEpochAt = now + m_options.epochLength;
    m_epoch = MintEpoch(m_epoch.value() + 1);
    if (m_epoch.value() > m_options.epochsKept)
        raiseHorizon(MintEpoch(m_epoch.value() - m_options.epochsKept));
}

bool DedupTable::makeRoom()
{
    while (m_records.size() >= m_options.capacity && m_horizon < m_epoch)
        raiseHorizon(MintEpoch(m_horizon.value() + 1));
    return m_records.size() < m_options.capacity;
}

void DedupTable::insert(const Ticket& ticket, Record record)
{
    m_records.emplace(ticket, record);
    auto it = m_epochs.begin();
    while (it != m_epochs.end() && it->epoch < ticket.epoch)
        ++it;
    if (it == m_epochs.end() || it->epoch != ticket.epoch)
        it = m_epochs.insert(it, { ticket.epoch, {} });
    it->tickets.push_back(ticket);
}

void DedupTable::raiseHorizon(MintEpoch horizon)
{
    if (horizon <= m_horizon)
        return;
    m_horizon = horizon;
    while (!m_epochs.empty() && m_epochs.front().epoch < m_horizon) {
        for (auto& ticket : m_epochs.front().tickets) {
            auto it = m_records.find(ticket);
            // The record of a run in progress is kept, so that a copy that arrives later is told to attach to the run.
            // finish() removes the record.
            if (it != m_records.end() && it->second.phase != Phase::Running)
                m_records.erase(it);
        }
        m_epochs.pop_front();
    }
}

} // namespace swiftloft::policy
