#include "src/gateway/crashes/crash-tracker.h"

#include "src/log/logger.h"

#include <algorithm>

namespace swiftloft::gateway::crashes {

using policy::QuarantineAction;
using policy::SuspicionMessage;

namespace {

/// At most `n` of `reports` from position `next` on, which moves behind them.
std::vector<SuspicionMessage> nextOf(const std::vector<SuspicionMessage>& reports, std::size_t& next, std::size_t n)
{
    std::vector<SuspicionMessage> out;
    for (std::size_t k = 0; k < std::min(n, reports.size()); ++k)
        out.push_back(reports[next++ % reports.size()]);
    return out;
}

policy::CrashId crashIdOf(const ServerIncarnation& server)
{
    return policy::CrashId(hashOf(server).value());
}

} // namespace

std::string_view toString(Evidence evidence)
{
    switch (evidence) {
    case Evidence::ConnectionRefused:
        return "connection-refused";
    case Evidence::Replaced:
        return "replaced";
    case Evidence::AgentReport:
        return "agent-report";
    }
    return "unknown";
}

CrashTracker::CrashTracker(const TrackerOptions& options)
    : m_options(options)
    , m_quarantine(policy::CrashQuarantine::create(options.quarantine).value())
{
}

QuarantineAction CrashTracker::check(TimePoint now, Fingerprint fingerprint) const
{
    auto action = m_quarantine.check(fingerprint, now).action;
    if (action == QuarantineAction::RunAlone && isTriedElsewhere(now, fingerprint))
        return QuarantineAction::Wait;
    return action;
}

bool CrashTracker::isTriedElsewhere(TimePoint now, Fingerprint fingerprint) const
{
    return std::any_of(m_peerTrials.begin(), m_peerTrials.end(), [&](auto& it) {
        auto& trials = it.second.fingerprints;
        return it.second.expiresAt > now && std::find(trials.begin(), trials.end(), fingerprint) != trials.end();
    });
}

void CrashTracker::onTrialStarted(Fingerprint fingerprint)
{
    m_quarantine.onStartAlone(fingerprint);
    ++m_trials[fingerprint];
}

void CrashTracker::onTrialEnded(Fingerprint fingerprint)
{
    m_quarantine.onEndAlone(fingerprint);
    auto it = m_trials.find(fingerprint);
    if (it != m_trials.end() && --it->second == 0)
        m_trials.erase(it);
}

std::vector<Fingerprint> CrashTracker::trials() const
{
    std::vector<Fingerprint> trials;
    for (auto& [fingerprint, count] : m_trials) {
        if (trials.size() == maxReportedTrials)
            break;
        trials.push_back(fingerprint);
    }
    return trials;
}

void CrashTracker::onRunLost(TimePoint now, const LostRun& run)
{
    auto ended = m_endedServers.find(run.server);
    if (ended != m_endedServers.end()) {
        report(now, run, ended->second.evidence, now);
        return;
    }
    if (m_lostRuns.size() >= m_options.maxLostRuns)
        m_lostRuns.erase(m_lostRuns.begin());
    m_lostRuns.push_back({ run, now });
}

void CrashTracker::onAnswered(TimePoint now, CallId call, const std::function<Fingerprint()>& fingerprint)
{
    std::erase_if(m_lostRuns, [&](auto& it) { return it.run.call == call; });
    if (!isActive() || !fingerprint)
        return;
    auto cleared = m_quarantine.onSuccess(fingerprint(), now);
    if (cleared.empty())
        return;
    log::write(log::Event::SuspectCleared, "fingerprint={:016x} crashes={}", fingerprint().value(), cleared.size());
    publish(now, cleared);
}

void CrashTracker::onServerEnded(TimePoint now, const ServerIncarnation& server, Evidence evidence, std::span<const LostRun> inFlight, TimePoint lastActivityAt)
{
    m_endedServers.try_emplace(server, EndedServer { evidence, now + m_options.evidenceTimeout });
    for (auto& it : inFlight)
        report(now, it, evidence, now);
    for (auto& it : m_lostRuns) {
        // The server has survived a run after which it still sent data.
        bool isSuspect = it.run.server == server && it.endedAt >= lastActivityAt && it.endedAt + m_options.evidenceTimeout > now;
        if (isSuspect)
            report(now, it.run, evidence, it.endedAt);
    }
    std::erase_if(m_lostRuns, [&](auto& it) { return it.run.server == server; });
}

void CrashTracker::report(TimePoint now, const LostRun& run, Evidence evidence, TimePoint runEndedAt)
{
    policy::CrashReport crash { crashIdOf(run.server), {} };
    (run.hadProgress ? crash.inProgress : crash.inFlight).push_back(run.fingerprint);
    auto messages = m_quarantine.onCrash(crash, now);
    auto age = std::chrono::duration_cast<milliseconds>(now - runEndedAt).count();
    for (auto& it : messages) {
        auto event = m_quarantine.isQuarantined(it.fingerprint, now) ? log::Event::RequestQuarantined : log::Event::RequestSuspected;
        log::write(event, "fingerprint={:016x} server={} evidence={} age-ms={} progress={}", it.fingerprint.value(), run.server.id.value(), toString(evidence), age, run.hadProgress ? "yes" : "no");
    }
    publish(now, messages);
}

void CrashTracker::publish(TimePoint now, const std::vector<SuspicionMessage>& messages)
{
    if (messages.empty())
        return;
    for (auto& it : messages)
        m_localReports.push_back({ it, now + propagationTime });
    if (m_localReports.size() > maxLocalReports)
        m_localReports.erase(m_localReports.begin(), m_localReports.end() - maxLocalReports);
    ++m_localVersion;
}

std::set<ServerIncarnation> CrashTracker::unexplainedServers() const
{
    std::set<ServerIncarnation> servers;
    for (auto& it : m_lostRuns)
        servers.insert(it.run.server);
    return servers;
}

bool CrashTracker::beginProbe(TimePoint now, const ServerIncarnation& server)
{
    auto& nextAt = m_nextProbeAt[server];
    if (now < nextAt || m_endedServers.contains(server))
        return false;
    nextAt = now + probeInterval;
    return true;
}

void CrashTracker::onReports(TimePoint now, std::span<const SuspicionMessage> reports)
{
    for (auto& it : reports) {
        bool wasQuarantined = m_quarantine.isQuarantined(it.fingerprint, now);
        m_quarantine.onMessage(it, now);
        if (!wasQuarantined && m_quarantine.isQuarantined(it.fingerprint, now))
            log::write(log::Event::RequestQuarantined, "fingerprint={:016x} server=- evidence=peer-report age-ms=0", it.fingerprint.value());
    }
}

void CrashTracker::onPeerTrials(TimePoint now, Incarnation peer, std::span<const Fingerprint> trials)
{
    if (trials.empty())
        m_peerTrials.erase(peer);
    else
        m_peerTrials[peer] = { { trials.begin(), trials.end() }, now + trialLifetime };
}

std::vector<SuspicionMessage> CrashTracker::localReports(TimePoint now) const
{
    std::vector<SuspicionMessage> reports;
    for (auto& it : m_localReports) {
        if (it.until > now)
            reports.push_back(it.message);
    }
    return reports;
}

std::vector<SuspicionMessage> CrashTracker::nextReports(TimePoint now)
{
    auto all = m_quarantine.snapshot(now);
    auto middle = std::stable_partition(all.begin(), all.end(), [&](auto& it) { return m_quarantine.isQuarantined(it.fingerprint, now); });
    std::vector<SuspicionMessage> quarantined(all.begin(), middle);
    std::vector<SuspicionMessage> suspects(middle, all.end());
    auto reports = nextOf(quarantined, m_nextQuarantineReport, suspects.empty() ? maxReports : maxQuarantineReports);
    auto others = nextOf(suspects, m_nextSuspectReport, maxReports - reports.size());
    reports.insert(reports.end(), others.begin(), others.end());
    return reports;
}

void CrashTracker::tick(TimePoint now)
{
    m_quarantine.tick(now);
    std::erase_if(m_lostRuns, [&](auto& it) { return it.endedAt + m_options.evidenceTimeout <= now; });
    std::erase_if(m_endedServers, [&](auto& it) { return it.second.forgetAt <= now; });
    std::erase_if(m_nextProbeAt, [&](auto& it) { return it.second <= now; });
    std::erase_if(m_peerTrials, [&](auto& it) { return it.second.expiresAt <= now; });
    std::erase_if(m_localReports, [&](auto& it) { return it.until <= now; });
}

} // namespace swiftloft::gateway::crashes
