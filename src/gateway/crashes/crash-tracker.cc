#include "src/gateway/crashes/crash-tracker.h"

#include "src/log/logger.h"

#include <swiftloft/policy/fingerprint.h>

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

std::vector<PromptPart> promptParts(const ServiceName& service, std::span<const PromptPartId> ids)
{
    std::vector<PromptPart> parts;
    parts.reserve(ids.size());
    for (std::size_t n = 0; n < ids.size(); ++n)
        parts.push_back({ ids[n], { policy::fingerprintOf(service, ids[n]), policy::specificityOfPart(n) } });
    return parts;
}

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

CrashTracker::Decision CrashTracker::check(TimePoint now, const PossibleCauses& causes) const
{
    Decision decision { check(now, causes.request) };
    for (auto& part : causes.parts) {
        auto action = check(now, part, causes);
        if (action > decision.action)
            decision = { action, part };
    }
    return decision;
}

std::vector<CrashTracker::Trial> CrashTracker::trialsAmong(TimePoint now, const PossibleCauses& causes) const
{
    std::vector<Trial> trials;
    auto add = [&](Fingerprint fingerprint, QuarantineAction action) {
        if (action == QuarantineAction::RunAlone)
            trials.push_back({ fingerprint, m_quarantine.nextRound(fingerprint, now) });
    };
    add(causes.request, check(now, causes.request));
    for (auto& part : causes.parts)
        add(part.cause.fingerprint, check(now, part, causes));
    return trials;
}

QuarantineAction CrashTracker::check(TimePoint now, const PromptPart& part, const PossibleCauses& causes) const
{
    auto fingerprint = part.cause.fingerprint;
    auto action = check(now, fingerprint);
    auto alternatives = m_quarantine.alternatives(fingerprint);
    auto isCarried = [&](Fingerprint it) { return std::any_of(causes.parts.begin(), causes.parts.end(), [&](auto& other) { return other.cause.fingerprint == it; }); };
    if (action != QuarantineAction::Refuse || std::all_of(alternatives.begin(), alternatives.end(), isCarried))
        return action;
    return m_trials.contains(fingerprint) || isTriedElsewhere(now, fingerprint) ? QuarantineAction::Wait : QuarantineAction::RunAlone;
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
        reportRequest(now, run, ended->second.evidence, now);
        reportParts(now, run, ended->second.evidence, now);
        return;
    }
    if (m_lostRuns.size() >= m_options.maxLostRuns)
        m_lostRuns.erase(m_lostRuns.begin());
    m_lostRuns.push_back({ run, now });
}

void CrashTracker::onAnswered(TimePoint now, CallId call, const std::function<Fingerprint()>& fingerprint, std::span<const PromptPart> parts)
{
    std::erase_if(m_lostRuns, [&](auto& it) { return it.run.call == call; });
    onProgressed(now, parts);
    if (!isActive() || !fingerprint)
        return;
    // Remembered like the success of a part: a request that many clients send is in flight at most crashes, too.
    auto cleared = m_quarantine.onPartSuccess(fingerprint(), now);
    if (cleared.empty())
        return;
    log::write(log::Event::SuspectCleared, "fingerprint={:016x} crashes={}", fingerprint().value(), cleared.size());
    publish(now, cleared);
}

void CrashTracker::onProgressed(TimePoint now, std::span<const PromptPart> parts)
{
    for (auto& part : parts)
        onPartSucceeded(now, part);
}

void CrashTracker::onPartSucceeded(TimePoint now, const PromptPart& part)
{
    auto cleared = m_quarantine.onPartSuccess(part.cause.fingerprint, now);
    if (cleared.empty())
        return;
    log::write(log::Event::PromptPartCleared, "part={:x} fingerprint={:016x} crashes={}", part.id.value(), part.cause.fingerprint.value(), cleared.size());
    publish(now, cleared);
}

void CrashTracker::onServerEnded(TimePoint now, const ServerIncarnation& server, Evidence evidence, std::span<const LostRun> inFlight, TimePoint lastActivityAt)
{
    m_endedServers.try_emplace(server, EndedServer { evidence, now + m_options.evidenceTimeout });
    std::vector<RememberedRun> runs;
    std::transform(inFlight.begin(), inFlight.end(), std::back_inserter(runs), [&](auto& it) { return RememberedRun { it, now }; });
    std::copy_if(m_lostRuns.begin(), m_lostRuns.end(), std::back_inserter(runs), [&](auto& it) { return it.run.server == server; });
    std::erase_if(m_lostRuns, [&](auto& it) { return it.run.server == server; });
    TimePoint lastSentAt {};
    for (auto& it : runs)
        lastSentAt = std::max(lastSentAt, it.run.sentAt);
    std::erase_if(runs, [&](auto& it) {
        // The server has survived a run after which it still sent data or took a request.
        bool hasSurvived = it.endedAt < lastActivityAt || (it.run.isProbablyAnswered && it.endedAt < lastSentAt);
        auto timeout = it.run.isProbablyAnswered ? confirmationTime : m_options.evidenceTimeout;
        return hasSurvived || it.endedAt + timeout <= now;
    });
    // Only the last of many reports are repeated, and those on parts concern the most requests.
    for (auto& it : runs)
        reportRequest(now, it.run, evidence, it.endedAt);
    for (auto& it : runs)
        reportParts(now, it.run, evidence, it.endedAt);
}

void CrashTracker::reportParts(TimePoint now, const LostRun& run, Evidence evidence, TimePoint runEndedAt)
{
    // The server has written a response on them.
    if (run.hadProgress)
        return;
    auto age = std::chrono::duration_cast<milliseconds>(now - runEndedAt).count();
    for (auto& part : run.parts) {
        auto fingerprint = part.cause.fingerprint;
        auto trial = std::find_if(run.trials.begin(), run.trials.end(), [&](auto& it) { return it.fingerprint == fingerprint; });
        auto round = trial == run.trials.end() ? policy::CrashRound() : trial->round;
        auto messages = m_quarantine.onCrash({ crashIdOf(run.server), {}, {}, { { part.cause, round } } }, now);
        if (messages.empty())
            continue;
        auto event = m_quarantine.isQuarantined(fingerprint, now) ? log::Event::PromptPartQuarantined : log::Event::PromptPartSuspected;
        log::write(event, "part={:x} fingerprint={:016x} server={} evidence={} age-ms={} round={} crashes={}", part.id.value(), fingerprint.value(), run.server.id.value(), toString(evidence), age, round.value(), m_quarantine.crashes(fingerprint, now));
        publish(now, messages);
    }
}

void CrashTracker::reportRequest(TimePoint now, const LostRun& run, Evidence evidence, TimePoint runEndedAt)
{
    if (m_quarantine.isProven(run.fingerprint, now))
        return;
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

std::vector<ServerIncarnation> CrashTracker::endedServers() const
{
    std::vector<ServerIncarnation> servers;
    servers.reserve(m_endedServers.size());
    for (auto& [server, ended] : m_endedServers)
        servers.push_back(server);
    return servers;
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
    for (auto it : reports) {
        bool isPart = it.specificity != policy::wholeRequest;
        // The other entries learn of the success too, as they learned of the crash.
        bool isRefuted = !it.isCleared && m_quarantine.isProven(it.fingerprint, now);
        it.isCleared = it.isCleared || isRefuted;
        bool wasQuarantined = m_quarantine.isQuarantined(it.fingerprint, now);
        bool isNew = m_quarantine.onMessage(it, now);
        if (isRefuted && isNew)
            publish(now, { it });
        if (!wasQuarantined && m_quarantine.isQuarantined(it.fingerprint, now))
            log::write(isPart ? log::Event::PromptPartQuarantined : log::Event::RequestQuarantined, "{}fingerprint={:016x} server=- evidence=peer-report age-ms=0", isPart ? "part=- " : "", it.fingerprint.value());
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

void CrashTracker::confirmAnswers(TimePoint now)
{
    std::vector<LostRun> answered;
    std::erase_if(m_lostRuns, [&](auto& it) {
        bool isAnswered = it.run.isProbablyAnswered && it.endedAt + confirmationTime <= now;
        if (isAnswered)
            answered.push_back(it.run);
        return isAnswered;
    });
    for (auto& run : answered)
        onAnswered(
            now, run.call, [&run] { return run.fingerprint; }, run.parts);
}

void CrashTracker::tick(TimePoint now)
{
    confirmAnswers(now);
    m_quarantine.tick(now);
    std::erase_if(m_lostRuns, [&](auto& it) { return it.endedAt + m_options.evidenceTimeout <= now; });
    std::erase_if(m_endedServers, [&](auto& it) { return it.second.forgetAt <= now; });
    std::erase_if(m_nextProbeAt, [&](auto& it) { return it.second <= now; });
    std::erase_if(m_peerTrials, [&](auto& it) { return it.second.expiresAt <= now; });
    std::erase_if(m_localReports, [&](auto& it) { return it.until <= now; });
}

} // namespace swiftloft::gateway::crashes
