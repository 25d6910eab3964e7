#pragma once

#include "src/gateway/call-id.h"
#include "src/gateway/control-message.h"
#include "src/gateway/peer-loads.h"

#include <swiftloft/policy/crash-quarantine.h>

#include <map>
#include <set>
#include <span>
#include <vector>

/// Requests that crash the backend servers that run them.
namespace swiftloft::gateway::crashes {

/// How an entry learned that the process of a backend server has ended.
enum class Evidence {
    /// Its address refuses connections.
    ConnectionRefused,
    /// Another server responds or is listed at its address.
    Replaced,
    /// Its agent reports that the engine's port refuses connections.
    AgentReport,
};

std::string_view toString(Evidence evidence);

/// A part of a prompt that other requests may share, as a possible cause of crashes.
struct PromptPart {
    PromptPartId id;
    policy::PossibleCause cause;
};

/// The parts of a prompt for the service, in their order.
std::vector<PromptPart> promptParts(const ServiceName& service, std::span<const PromptPartId> ids);

/// What may be the cause if the server of a request crashes.
struct PossibleCauses {
    Fingerprint request;
    std::span<const PromptPart> parts {};
};

struct TrackerOptions {
    /// Three crashes: a request that is repeated while the ranks of a group fail one after the other is in flight at two
    /// crashes without being their cause.
    policy::CrashQuarantineOptions quarantine { .threshold = 3, .reviewPeriod = seconds(600) };
    /// Evidence of a crash that arrives later than this after the end of a run says nothing about the run.
    milliseconds evidenceTimeout { 10'000 };
    std::size_t maxLostRuns { 4096 };
};

/// Finds out at which crashes of backend servers a request, or another one with the same part in its prompt, was in
/// flight, and decides by that whether the request may run. Reads no clock and does no I/O but writing log lines: the time
/// is passed in with each call.
///
/// Connections break for many reasons, so a run that ends without a response counts for nothing by itself. It is
/// remembered, and becomes part of a crash report once there is evidence that the process of its server has ended. All
/// entries compute the same id for a crash, because an incarnation of a server ends only once.
class CrashTracker {
public:
    /// Reports of local crashes are sent to the other entries again for this long, because datagrams get lost. After that
    /// they are part of hellos.
    static constexpr milliseconds propagationTime { 1200 };
    /// Trials reported by another entry are valid for this long. In a large fleet only entries of the same data centre
    /// report theirs.
    static constexpr milliseconds trialLifetime { PeerLoads::reportLifetime };
    /// Minimum interval between probes of one server.
    static constexpr milliseconds probeInterval { 1000 };
    /// Reports in one hello, and how many of them may be about quarantined requests.
    static constexpr std::size_t maxReports { 8 };
    static constexpr std::size_t maxQuarantineReports { 6 };
    static constexpr std::size_t maxLocalReports { 32 };
    /// Trials in one load update. Two entries may run copies of a suspect at a time if one of them has more trials.
    static constexpr std::size_t maxReportedTrials { 64 };
    /// A request that crashes servers does so soon after it begins to run.
    static constexpr milliseconds minProgressTime { 500 };
    /// A part of a prompt that crashes servers does so as they begin to write a response.
    static constexpr milliseconds minPartProgressTime { 250 };
    static constexpr milliseconds confirmationTime { 2000 };

    /// Throws if the options are invalid.
    explicit CrashTracker(const TrackerOptions& options = {});

    /// False while no request is suspect, so that no fingerprint needs to be computed.
    bool isActive() const { return !m_quarantine.empty(); }
    policy::QuarantineAction check(TimePoint now, Fingerprint fingerprint) const;
    /// What `part` means for a request with `causes`: a quarantined part of which it is not certain that it is the cause
    /// refuses only requests that carry all parts that may be.
    policy::QuarantineAction check(TimePoint now, const PromptPart& part, const PossibleCauses& causes) const;
    struct Decision {
        policy::QuarantineAction action { policy::QuarantineAction::Admit };
        /// The part that decided; unset if it was the request itself, or if nothing is suspect.
        std::optional<PromptPart> part {};
    };
    /// The strictest decision about the request and the parts of its prompt.
    Decision check(TimePoint now, const PossibleCauses& causes) const;
    /// A suspect that a run tries.
    struct Trial {
        Fingerprint fingerprint;
        policy::CrashRound round;
    };
    /// Those of the causes for which `check` returns `RunAlone`.
    std::vector<Trial> trialsAmong(TimePoint now, const PossibleCauses& causes) const;
    /// A run for which `check` returned `RunAlone` has started or ended.
    void onTrialStarted(Fingerprint fingerprint);
    void onTrialEnded(Fingerprint fingerprint);

    /// A run that ended without a response, or whose response may be incomplete.
    struct LostRun {
        CallId call;
        ServerIncarnation server;
        Fingerprint fingerprint;
        /// The server had sent data of its response for at least `minProgressTime`.
        bool hadProgress { false };
        std::vector<PromptPart> parts {};
        /// The suspects that the run was the trial of.
        std::vector<Trial> trials {};
        /// The response ended with its connection, as it also does when the server's process ends. The run is answered
        /// unless there is evidence of that within `confirmationTime`, and no request was sent to the server after its end.
        bool isProbablyAnswered { false };
        TimePoint sentAt {};
    };
    void onRunLost(TimePoint now, const LostRun& run);
    /// The call has got its response, so that no crash is due to it. `fingerprint` is called only while `isActive`.
    void onAnswered(TimePoint now, CallId call, const std::function<Fingerprint()>& fingerprint, std::span<const PromptPart> parts = {});
    /// A run has sent data of its response for `minPartProgressTime`: the parts of its prompt do not crash servers.
    void onProgressed(TimePoint now, std::span<const PromptPart> parts);
    /// The process of the server has ended. `inFlight`: runs on it that have not ended yet. `lastActivityAt`: when data
    /// last arrived from it.
    void onServerEnded(TimePoint now, const ServerIncarnation& server, Evidence evidence, std::span<const LostRun> inFlight, TimePoint lastActivityAt);
    /// Servers whose processes have ended lately.
    std::vector<ServerIncarnation> endedServers() const;
    /// Servers with lost runs for which there is no evidence yet.
    std::set<ServerIncarnation> unexplainedServers() const;
    /// True if a probe of the server's address is due; the next one is due after `probeInterval`.
    bool beginProbe(TimePoint now, const ServerIncarnation& server);

    void onReports(TimePoint now, std::span<const policy::SuspicionMessage> reports);
    void onPeerTrials(TimePoint now, Incarnation peer, std::span<const Fingerprint> trials);
    /// Incremented when there is something new for the other entries.
    std::uint64_t localVersion() const { return m_localVersion; }
    /// What this entry itself has found out recently.
    std::vector<policy::SuspicionMessage> localReports(TimePoint now) const;
    /// A part of what is known, at most `maxReports`; the next call returns the next part. Quarantined requests come more
    /// often than suspects.
    std::vector<policy::SuspicionMessage> nextReports(TimePoint now);
    /// The suspects that this entry runs, at most `maxReportedTrials`.
    std::vector<Fingerprint> trials() const;
    /// Removes what has expired, and counts probable answers whose servers have not ended as answers.
    void tick(TimePoint now);

    std::size_t suspects() const { return m_quarantine.size(); }

private:
    struct RememberedRun {
        LostRun run;
        TimePoint endedAt;
    };
    /// A server whose process has ended.
    struct EndedServer {
        Evidence evidence { Evidence::ConnectionRefused };
        TimePoint forgetAt;
    };
    struct PeerTrials {
        std::vector<Fingerprint> fingerprints;
        TimePoint expiresAt;
    };
    struct LocalReport {
        policy::SuspicionMessage message;
        TimePoint until;
    };

    void reportRequest(TimePoint now, const LostRun& run, Evidence evidence, TimePoint runEndedAt);
    void reportParts(TimePoint now, const LostRun& run, Evidence evidence, TimePoint runEndedAt);
    void onPartSucceeded(TimePoint now, const PromptPart& part);
    void confirmAnswers(TimePoint now);
    void publish(TimePoint now, const std::vector<policy::SuspicionMessage>& messages);
    bool isTriedElsewhere(TimePoint now, Fingerprint fingerprint) const;

    TrackerOptions m_options;
    policy::CrashQuarantine m_quarantine;
    std::vector<RememberedRun> m_lostRuns;
    std::map<ServerIncarnation, EndedServer> m_endedServers;
    std::map<ServerIncarnation, TimePoint> m_nextProbeAt;
    /// Suspects that this entry runs, with the number of copies.
    std::map<Fingerprint, unsigned> m_trials;
    /// Suspects that other entries run.
    std::map<Incarnation, PeerTrials> m_peerTrials;
    std::vector<LocalReport> m_localReports;
    std::uint64_t m_localVersion { 0 };
    /// Positions of the next part among the reports of quarantined requests and of suspects.
    std::size_t m_nextQuarantineReport { 0 };
    std::size_t m_nextSuspectReport { 0 };
};

} // namespace swiftloft::gateway::crashes
