#include <swiftloft/policy/claim-table.h>

#include <algorithm>

namespace swiftloft::policy {

ClaimTable::ClaimTable(ClaimTableOptions options, Incarnation self, TimePoint now)
    : m_options(options)
    , m_self(self)
    , m_gracePeriodEndsAt(options.hasStartupGracePeriod ? now + options.retention + options.claimLease : now)
{
}

Result<ClaimTable> ClaimTable::create(ClaimTableOptions options, Incarnation self, TimePoint now)
{
    if (options.claimLease.count() <= 0 || options.retention < options.claimLease || !options.capacity)
        return Error { ErrorCode::InvalidArgument, "claim table: lease and capacity must be positive, retention must be at least the lease" };
    return ClaimTable(options, self, now);
}

void ClaimTable::onListRevision(ListRevision revision, TimePoint now)
{
    if (!m_lists.empty() && revision <= m_lists.back().revision)
        return;
    m_lists.push_back({ revision, now });
    // Once the second list makes all older ones stale, the first one is no longer needed.
    while (m_lists.size() > 1 && m_lists[1].learnedAt + m_options.staleListTolerance < now)
        m_lists.pop_front();
}

bool ClaimTable::isStale(ListRevision revision, TimePoint now) const
{
    auto newer = std::find_if(m_lists.begin(), m_lists.end(), [&](auto& it) { return it.revision > revision; });
    return newer != m_lists.end() && newer->learnedAt + m_options.staleListTolerance < now;
}

std::optional<ClaimAnswer> ClaimTable::refusalReason(const ClaimRequest& request, TimePoint now) const
{
    // An entry that was paused during list changes would claim at homes that no other entry uses any more, so its claim
    // would not conflict with another entry's claim on the same key.
    if (isStale(request.revision, now))
        return ClaimAnswer::StaleList;
    // A restarted agent has lost its record of granted claims; granting a key again could let it run twice.
    if (now < m_gracePeriodEndsAt)
        return ClaimAnswer::TooYoung;
    if (m_records.size() >= m_options.capacity)
        return ClaimAnswer::Full;
    return std::nullopt;
}

ClaimReply ClaimTable::onClaim(const ClaimRequest& request, TimePoint now)
{
    tick(now);
    onListRevision(request.revision, now);
    auto newest = m_lists.back().revision;
    auto it = m_records.find(request.key);
    if (it != m_records.end()) {
        // The same claim again is a duplicated message; the first answer remains valid.
        auto answer = it->second.claim == request.claim ? ClaimAnswer::Granted : ClaimAnswer::Held;
        return { request.claim, answer, m_self, it->second.runner, newest };
    }
    if (auto reason = refusalReason(request, now))
        return { request.claim, *reason, m_self, {}, newest };
    auto expiresAt = now + m_options.claimLease + m_options.retention;
    m_records.emplace(request.key, Record { request.claim, request.runner, Phase::Claimed, Verdict::MayHaveRun, now + m_options.claimLease, expiresAt });
    m_expiries.push_back({ expiresAt, request.key });
    return { request.claim, ClaimAnswer::Granted, m_self, request.runner, newest };
}

void ClaimTable::onRelease(const ClientKey& key, const ClaimId& claim)
{
    auto it = m_records.find(key);
    if (it != m_records.end() && it->second.claim == claim && it->second.phase == Phase::Claimed)
        m_records.erase(it);
}

RunAnswer ClaimTable::onRun(const ClientKey& key, const ClaimId& claim, Incarnation incarnation, TimePoint now)
{
    auto it = m_records.find(key);
    if (incarnation != m_self || it == m_records.end() || it->second.claim != claim)
        return RunAnswer::NotClaimed;
    auto& record = it->second;
    if (record.phase == Phase::Running)
        return RunAnswer::AlreadyRunning;
    if (record.phase == Phase::Finished)
        return RunAnswer::AlreadyFinished;
    // When the entry is paused between its last grant and the run, the other homes may drop the claim, and another
    // entry may run the key. So the run is refused once the lease has expired.
    if (now >= record.leaseExpiresAt)
        return RunAnswer::NotClaimed;
    record.phase = Phase::Running;
    return RunAnswer::Run;
}

void ClaimTable::onFinish(const ClientKey& key, Verdict verdict, TimePoint now)
{
    auto it = m_records.find(key);
    if (it == m_records.end() || it->second.phase != Phase::Running)
        return;
    it->second.phase = Phase::Finished;
    it->second.verdict = verdict;
    it->second.expiresAt = now + m_options.claimLease + m_options.retention;
    m_expiries.push_back({ it->second.expiresAt, key });
}

std::optional<Verdict> ClaimTable::outcomeOf(const ClientKey& key) const
{
    auto it = m_records.find(key);
    if (it == m_records.end() || it->second.phase == Phase::Claimed)
        return std::nullopt;
    return it->second.verdict;
}

void ClaimTable::tick(TimePoint now)
{
    // All records have the same lifetime, so the list is ordered by expiry.
    while (!m_expiries.empty() && m_expiries.front().expiresAt <= now) {
        auto it = m_records.find(m_expiries.front().key);
        if (it != m_records.end() && it->second.expiresAt <= now && it->second.phase != Phase::Running)
            m_records.erase(it);
        m_expiries.pop_front();
    }
}

} // namespace swiftloft::policy
