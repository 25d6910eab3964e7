#include "src/gateway/dispatcher.h"

/// The part of the dispatcher that keeps requests from crashing one server after the other.
namespace swiftloft::gateway {

using namespace dispatch;
using policy::QuarantineAction;

namespace {

/// An attempt that was started within this time may not have reached its server yet.
constexpr milliseconds sendingTime { 50 };

bool isLost(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Lost || outcome == AttemptOutcome::Stalled || outcome == AttemptOutcome::Stopped || outcome == AttemptOutcome::TimedOut;
}

} // namespace

crashes::CrashTracker::Decision Dispatcher::quarantineDecision(const Call& call, TimePoint now) const
{
    if (!m_crashes.isActive() || !call.request.fingerprint)
        return {};
    return m_crashes.check(now, { call.request.fingerprint(), call.parts });
}

bool Dispatcher::refuseIfQuarantined(CallId id, Call& call, TimePoint now, Effects& effects)
{
    auto decision = quarantineDecision(call, now);
    if (decision.action != QuarantineAction::Refuse)
        return false;
    refuse(now, id, call, RefusalReason::Quarantined, std::nullopt, effects);
    std::get<Refuse>(effects.back()).part = decision.part;
    return true;
}

void Dispatcher::startTrial(Call& call, TimePoint now)
{
    call.trials = m_crashes.trialsAmong(now, { call.request.fingerprint(), call.parts });
    for (auto& it : call.trials)
        m_crashes.onTrialStarted(it.fingerprint);
}

crashes::CrashTracker::LostRun Dispatcher::runOf(CallId id, const Call& call, const ServerIncarnation& server)
{
    bool hadProgress = call.hasResponseStarted && call.lastActivityAt - call.responseStartedAt >= crashes::CrashTracker::minProgressTime;
    return { id, server, call.request.fingerprint(), hadProgress, call.parts, call.trials, false, call.sentAt };
}

void Dispatcher::recordOutcome(Call& call, const ServerIncarnation& server, const AttemptEnded& event, TimePoint now)
{
    if (!call.request.fingerprint)
        return;
    bool isAnswered = event.outcome == AttemptOutcome::Answered;
    if (isAnswered && !event.endsWithConnection)
        m_crashes.onAnswered(now, event.call, call.request.fingerprint, event.isSuccess ? std::span<const crashes::PromptPart>(call.parts) : std::span<const crashes::PromptPart>());
    else if (isAnswered || isLost(event.outcome)) {
        auto run = runOf(event.call, call, server);
        run.isProbablyAnswered = isAnswered;
        if (isAnswered && !event.isSuccess)
            run.parts.clear();
        m_crashes.onRunLost(now, run);
    }
    for (auto& it : std::exchange(call.trials, {}))
        m_crashes.onTrialEnded(it.fingerprint);
}

crashes::CrashTracker::LostRun Dispatcher::takeoverRunOf(CallId id, const Call& call)
{
    return { id, call.takeover->server, call.request.fingerprint(), false, call.parts, {}, false, call.takeover->sentAt };
}

void Dispatcher::recordTakeoverOutcome(CallId id, const Call& call, AttemptOutcome outcome, TimePoint now)
{
    if (call.request.fingerprint && isLost(outcome))
        m_crashes.onRunLost(now, takeoverRunOf(id, call));
}

void Dispatcher::recordProgress(Call& call, TimePoint now)
{
    bool isNew = call.hasResponseStarted && !call.hasProgressed && now - call.responseStartedAt >= crashes::CrashTracker::minPartProgressTime;
    if (!isNew)
        return;
    call.hasProgressed = true;
    m_crashes.onProgressed(now, call.parts);
}

void Dispatcher::onServerEnded(TimePoint now, const ServerIncarnation& server, crashes::Evidence evidence)
{
    if (!m_loadBalancer.isReady(server))
        return;
    std::vector<crashes::CrashTracker::LostRun> inFlight;
    for (auto& [id, call] : m_calls) {
        bool isTakingOver = call.takeover && call.takeover->server == server;
        if (isTakingOver && call.request.fingerprint && call.takeover->sentAt + sendingTime <= now)
            inFlight.push_back(takeoverRunOf(id, call));
        if (call.currentServer != server)
            continue;
        call.hasServerEnded = true;
        bool isRunning = call.request.fingerprint && call.sentAt + sendingTime <= now;
        if (isRunning)
            inFlight.push_back(runOf(id, call, server));
    }
    m_crashes.onServerEnded(now, server, evidence, inFlight, m_loadBalancer.lastActivityAt(server));
}

bool Dispatcher::hasServerEnded(CallId id) const
{
    auto it = m_calls.find(id);
    return it != m_calls.end() && it->second.hasServerEnded;
}

void Dispatcher::gatherEvidence(TimePoint now, const ServerIncarnation& server, AttemptOutcome outcome, const Call& call, Effects& effects)
{
    if (outcome == AttemptOutcome::Misdirected)
        onServerEnded(now, server, crashes::Evidence::Replaced);
    else if (outcome == AttemptOutcome::ConnectionRefused)
        onServerEnded(now, server, crashes::Evidence::ConnectionRefused);
    // Agents of ranks and requests that follow to a rank show soon enough that it has ended.
    bool isProbeUseful = outcome == AttemptOutcome::Lost && call.request.fingerprint && m_loadBalancer.isPlainServer(server);
    if (isProbeUseful && m_crashes.beginProbe(now, server))
        effects.push_back(ProbeServer { *m_loadBalancer.find(server) });
}

std::set<ServerIncarnation> Dispatcher::serversOfInterest() const
{
    auto servers = m_crashes.unexplainedServers();
    for (auto& [id, call] : m_calls) {
        if (call.currentServer)
            servers.insert(*call.currentServer);
        if (call.takeover)
            servers.insert(call.takeover->server);
    }
    return servers;
}

void Dispatcher::findEndedServers(TimePoint now, const Snapshot& snapshot)
{
    std::map<Endpoint, ServerIncarnation> addresses;
    for (auto& it : serversOfInterest()) {
        if (auto* server = m_loadBalancer.find(it))
            addresses.emplace(server->address, it);
    }
    if (addresses.empty())
        return;
    for (auto& server : snapshot.servers) {
        auto it = addresses.find(server.address);
        if (it == addresses.end() || it->second == server.incarnation())
            continue;
        // A store that was restored from an older copy lists ended processes again.
        bool isEarlier = server.startedAt != ServerStartTime() && server.startedAt < it->second.startedAt;
        if (!isEarlier)
            onServerEnded(now, it->second, crashes::Evidence::Replaced);
    }
    // A report from before the server was listed concerns its predecessor at the address.
    auto onReport = [&](const Endpoint& address, TimePoint reportedAt) {
        auto it = addresses.find(address);
        if (it != addresses.end() && reportedAt > m_loadBalancer.listedAt(it->second))
            onServerEnded(now, it->second, crashes::Evidence::AgentReport);
    };
    for (auto& rank : snapshot.ranks) {
        if (rank.status.hasEngineEnded)
            onReport(rank.status.address, rank.receivedAt);
    }
    for (auto& report : snapshot.peerDegradedRanks) {
        if (report.hasEngineEnded)
            onReport(report.address, report.reportedAt);
    }
}

} // namespace swiftloft::gateway
