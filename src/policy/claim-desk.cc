#include <swiftloft/policy/claim-desk.h>

#include <algorithm>

namespace swiftloft::policy {

ClaimDesk::ClaimDesk(ClaimDeskOptions options, Incarnation self, TimePoint now)
    : m_options(options)
    , m_self(self)
    , m_grantsFrom(options.refusesWhileYoung ? now + options.retention + options.claimLease : now)
{
}

Result<ClaimDesk> ClaimDesk::create(ClaimDeskOptions options, Incarnation self, TimePoint now)
{
    if (options.claimLease.count() <= 0 || options.retention < options.claimLease || !options.capacity)
        return Error { ErrorCode::InvalidArgument, "claim desk: lease and capacity must be positive, retention at least the lease" };
    return ClaimDesk(options, self, now);
}

void ClaimDesk::onList(ListRevision revision, TimePoint now)
{
    if (!m_lists.empty() && revision <= m_lists.back().revision)
        return;
    m_lists.push_back({ revision, now });
    // Which list replaced an older one than these is of no interest: it was too long ago.
    while (m_lists.size() > 1 && m_lists[1].learnedAt + m_options.staleListTolerance < now)
        m_lists.pop_front();
}

bool ClaimDesk::isStale(ListRevision revision, TimePoint now) const
{
    auto newer = std::find_if(m_lists.begin(), m_lists.end(), [&](auto& it) { return it.revision > revision; });
    return newer != m_lists.end() && newer->learnedAt + m_options.staleListTolerance < now;
}

std::optional<ClaimAnswer> ClaimDesk::reasonToRefuse(const ClaimRequest& request, TimePoint now) const
{
    // An entry that slept through list changes would claim at homes that nobody else asks any more.
    if (isStale(request.revision, now))
        return ClaimAnswer::StaleList;
    // A restarted agent has forgotten what it granted; granting again could let a key run twice.
    if (now < m_grantsFrom)
        return ClaimAnswer::TooYoung;
    if (m_records.size() >= m_options.capacity)
        return ClaimAnswer::Full;
    return std::nullopt;
}

ClaimReply ClaimDesk::onClaim(const ClaimRequest& request, TimePoint now)
{
    tick(now);
    onList(request.revision, now);
    auto newest = m_lists.back().revision;
    auto it = m_records.find(request.key);
    if (it != m_records.end()) {
        // The same claim again is a doubled message; its first answer stands.
        auto answer = it->second.claim == request.claim ? ClaimAnswer::Granted : ClaimAnswer::Held;
        return { request.claim, answer, m_self, it->second.runner, newest };
    }
    if (auto reason = reasonToRefuse(request, now))
        return { request.claim, *reason, m_self, {}, newest };
    auto forgetAt = now + m_options.claimLease + m_options.retention;
    m_records.emplace(request.key, Record { request.claim, request.runner, Phase::Claimed, Verdict::MayHaveRun, now + m_options.claimLease, forgetAt });
    m_forgetting.push_back({ forgetAt, request.key });
    return { request.claim, ClaimAnswer::Granted, m_self, request.runner, newest };
}

void ClaimDesk::onRelease(const ClientKey& key, const ClaimId& claim)
{
    auto it = m_records.find(key);
    if (it != m_records.end() && it->second.claim == claim && it->second.phase == Phase::Claimed)
        m_records.erase(it);
}

RunAnswer ClaimDesk::onRun(const ClientKey& key, const ClaimId& claim, Incarnation incarnation, TimePoint now)
{
    auto it = m_records.find(key);
    if (incarnation != m_self || it == m_records.end() || it->second.claim != claim)
        return RunAnswer::NotClaimed;
    auto& record = it->second;
    if (record.phase == Phase::Running)
        return RunAnswer::AlreadyRunning;
    if (record.phase == Phase::Finished)
        return RunAnswer::AlreadyFinished;
    // An entry that was paused between its last grant and the run: the other homes may have forgotten the claim, and
    // another entry may have run the key.
    if (now >= record.runBefore)
        return RunAnswer::NotClaimed;
    record.phase = Phase::Running;
    return RunAnswer::Run;
}

void ClaimDesk::onFinish(const ClientKey& key, Verdict verdict, TimePoint now)
{
    auto it = m_records.find(key);
    if (it == m_records.end() || it->second.phase != Phase::Running)
        return;
    it->second.phase = Phase::Finished;
    it->second.verdict = verdict;
    it->second.forgetAt = now + m_options.claimLease + m_options.retention;
    m_forgetting.push_back({ it->second.forgetAt, key });
}

std::optional<Verdict> ClaimDesk::outcomeOf(const ClientKey& key) const
{
    auto it = m_records.find(key);
    if (it == m_records.end() || it->second.phase == Phase::Claimed)
        return std::nullopt;
    return it->second.verdict;
}

void ClaimDesk::tick(TimePoint now)
{
    // All lives are equally long, so the list is in order of time.
    while (!m_forgetting.empty() && m_forgetting.front().at <= now) {
        auto it = m_records.find(m_forgetting.front().key);
        if (it != m_records.end() && it->second.forgetAt <= now && it->second.phase != Phase::Running)
            m_records.erase(it);
        m_forgetting.pop_front();
    }
}

} // namespace swiftloft::policy
