#pragma once

#include "src/gateway/admission/admission-controller.h"
#include "src/gateway/admission/request-queue.h"
#include "src/gateway/admission/retry-schedule.h"
#include "src/gateway/call-id.h"
#include "src/gateway/capacity/service-estimate.h"
#include "src/gateway/crashes/crash-tracker.h"
#include "src/gateway/load-balancer.h"
#include "src/gateway/retry-allowance.h"
#include "src/gateway/snapshot.h"

#include <swiftloft/policy/random.h>
#include <swiftloft/verdict.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace swiftloft::gateway {

/// The properties of a request that the dispatcher uses.
struct CallRequest {
    /// Keeps `route` alive: a request is served under the configuration that was in force when it arrived.
    std::shared_ptr<const Configuration> configuration;
    const Route* route { nullptr };
    unsigned priority { 0 };
    TimePoint arrivedAt;
    /// The earlier of the client's deadline and the route's timeout.
    TimePoint deadline;
    Tokens promptTokens;
    /// Maximum number of output tokens.
    Tokens outputTokens;
    /// The client's estimate of the number of output tokens; unset if it sent none.
    std::optional<Tokens> expectedOutputTokens {};
    /// Owner of the client's key; unset on routes that need no key.
    std::optional<OrganisationName> organisation {};
    /// Homes of the organisation; a part of `configuration`.
    std::span<const RegionName> organisationHomes {};
    /// Computes the fingerprint of the request, the same for all repeats of it; valid until the call is closed. Unset:
    /// the request is never suspected of crashing servers.
    std::function<Fingerprint()> fingerprint {};
    /// Parts of the prompt that other requests may share, in their order.
    std::vector<PromptPartId> sharedParts {};
};

/// Outcome of an attempt to run a request on a backend server.
enum class AttemptOutcome {
    /// The whole response has been sent to the client.
    Answered,
    /// Nothing was written to the server.
    NotSent,
    /// Nothing was written, because the server's address refused the connection.
    ConnectionRefused,
    /// The server guarantees that it did not run the request.
    NotRun,
    /// A server other than the expected one responded, and it did not run the request.
    Misdirected,
    /// The request was written and no complete response arrived; it may have run.
    Lost,
    /// The server responded with an error of its own.
    ServerError,
    /// The server did not respond before the deadline.
    TimedOut,
    /// Its server fell silent, and another server has taken the request over; the request may have run.
    Stalled,
    /// The attempt was to take a request over from a silent server, which has gone on; the request may have run.
    Superseded,
    /// The attempt was cancelled at the deadline of the entry's stop; the request may have run.
    Stopped,
};

std::string_view toString(AttemptOutcome outcome);
/// True if no server has run the request in the attempt.
bool isNotRun(AttemptOutcome outcome);

/// Why the entry responds to a request itself.
enum class RefusalReason {
    /// No server has capacity in time; the client should retry later.
    Overloaded,
    /// The limits that the servers advertise leave no capacity in time; the client should retry later.
    Limited,
    /// All servers have requested back-offs that do not end in time; the client should retry later.
    BackingOff,
    /// The response can't end before the client's deadline; the client should retry later.
    Unfinishable,
    /// The service has no usable server.
    NoServer,
    /// The service has usable servers, but none in the homes of the request's route and organisation.
    NoHomeServer,
    /// The homes of the request's route and those of its organisation have no region in common.
    NoCommonHome,
    /// The request has crashed servers and may not run again.
    Quarantined,
    /// The request may have crashed a server, and another copy of it is running; the client should retry later.
    SuspectRunning,
    /// The entry is being stopped, and the response can't end before it. A client whose request has not run should retry at
    /// another entry.
    Stopping,
    /// The request did not run, and no further attempt is allowed.
    AttemptsExhausted,
    /// The request may have run, and its result is unknown.
    Lost,
    /// The deadline has passed; the request may have run.
    TimedOut,
};

std::string_view toString(RefusalReason reason);

namespace dispatch {

struct RequestArrived {
    CallId call;
    CallRequest request;
};
struct AttemptEnded {
    CallId call;
    AttemptOutcome outcome { AttemptOutcome::Answered };
    /// The response had neither a length nor chunks: it ended with its connection.
    bool endsWithConnection { false };
    /// The response reports that the request has succeeded; only for `Answered`.
    bool isSuccess { true };
};
/// The first byte of a response has arrived.
struct ResponseStarted {
    CallId call;
};
/// More data of a stream has arrived from its server.
struct StreamProgressed {
    CallId call;
    /// Nothing is read from the server until `StreamDelivered`.
    bool isDelivering { false };
};
/// The whole response has arrived and is being sent to the client; `AttemptEnded` follows when it has been sent.
struct ResponseReceived {
    CallId call;
};
/// The client's connection has accepted the data of a stream, and the entry waits for its server again.
struct StreamDelivered {
    CallId call;
};
/// The server of a `StartTakeover` has begun its response: the call continues there, and its previous attempt has ended.
struct TakeoverAccepted {
    CallId call;
};
/// The server of a `StartTakeover` has not taken the request over; the current attempt continues.
struct TakeoverFailed {
    CallId call;
    AttemptOutcome outcome { AttemptOutcome::Superseded };
};
/// The call has ended: its client has received a response or has disconnected.
struct CallClosed {
    CallId call;
};
/// A response has started; its head says whether the server limits requests.
struct LimitReceived {
    ServerIncarnation server;
    /// When the request of this response was sent.
    TimePoint sentAt;
    std::optional<AdvertisedLimit> limit;
};
/// A server has rejected a request and requests a back-off from this entry.
struct BackOffRequested {
    ServerIncarnation server;
    RequestedBackOff backOff;
};
/// A server reports in a response that it is leaving.
struct LeavingReported {
    ServerIncarnation server;
};
struct SnapshotChanged {
    std::shared_ptr<const Snapshot> snapshot;
};
struct LoadReceived {
    LoadUpdate update;
};
/// Another entry reports requests that may have crashed servers.
struct SuspicionsReceived {
    std::vector<policy::SuspicionMessage> reports;
};
/// The address of a server refused a connection that carried no request.
struct ProbeRefused {
    ServerIncarnation server;
};
/// The entry is being stopped. Requests that can't end before `deadline` are refused, and those that still run then are
/// ended.
struct StopScheduled {
    TimePoint deadline;
    /// Until then, clients still expect the entry to serve, and only requests that are expected to take too long are refused.
    /// Afterwards all are refused whose own deadlines are after `deadline`.
    TimePoint acceptsUntil;
};
/// The time of `Dispatcher::nextTick` has been reached.
struct Ticked { };

using Event = std::variant<RequestArrived, AttemptEnded, ResponseStarted, StreamProgressed, ResponseReceived, StreamDelivered, TakeoverAccepted, TakeoverFailed, CallClosed, LimitReceived, BackOffRequested, LeavingReported, SnapshotChanged, LoadReceived, SuspicionsReceived, ProbeRefused, StopScheduled, Ticked>;

struct StartAttempt {
    CallId call;
    BackendServer server;
    /// Requests already running on the server, as far as known; for the log.
    std::uint32_t running { 0 };
    /// The limit that the server advertises; for the log.
    std::optional<RequestRate> limit {};
    /// The retry allowance after this attempt; unset for the first attempt of a request. For the log.
    std::optional<RetryUse> retries {};
};
/// A request that was in progress at the deadline of the entry's stop: what was expected of its last attempt, and what came.
/// For the log.
struct StopReport {
    /// Time from the start of the attempt to the deadline of the stop.
    Clock::duration timeLeft {};
    /// Made at the start of the attempt; unset if the entry was not being stopped then, or knew too little.
    std::optional<capacity::Forecast> forecast {};
    /// Events that have arrived; 0 if the server's group is not known.
    unsigned events { 0 };
    /// Time since the last data from the server, or since the start of the attempt.
    Clock::duration silence {};
};
/// The retry allowance of the service is spent, so the request is not sent again for now; once per request. For the log
/// and the metrics.
struct RetryDenied {
    CallId call;
    ServiceName service;
    RetryUse use;
    /// No other request of the service has been denied a retry since the last one that was granted.
    bool isFirst { false };
};
/// Respond to the client now with a refusal. A stream that has started is cut off.
struct Refuse {
    CallId call;
    RefusalReason reason { RefusalReason::Overloaded };
    Verdict verdict { Verdict::NotRun };
    /// When the client should retry; unset if a retry is of no use.
    std::optional<TimePoint> retryAt;
    /// Inputs of the decision, for the log: the service, the share of its slots in use, and the number of requests
    /// queued here.
    ServiceName service {};
    double occupancy { 0 };
    std::size_t queued { 0 };
    /// Names of the regions whose servers may get the request, separated by commas; unset if any may.
    std::optional<std::string> homes {};
    /// The numbers that decided; only for `Unfinishable`.
    std::optional<capacity::Forecast> forecast {};
    /// The part of the prompt that decided; only for `Quarantined` and `SuspectRunning`.
    std::optional<crashes::PromptPart> part {};
    /// The request was not sent again because the retry allowance was spent; for the log.
    bool isRetryDenied { false };
    /// Only for requests that were in progress at the deadline of the entry's stop.
    std::optional<StopReport> stopReport {};
};
/// Cancel the attempt in progress, and its take-over if there is one, because the deadline of the entry's stop has come;
/// `AttemptEnded` follows.
struct CancelAttempt {
    CallId call;
};
/// Send a request whose server is silent to another server as well. `TakeoverAccepted` or `TakeoverFailed` follows. The current
/// attempt must not be given up before the other server has begun its response.
struct StartTakeover {
    CallId call;
    BackendServer server;
    /// As in `StartAttempt`.
    std::uint32_t running { 0 };
    std::optional<RequestRate> limit {};
    RetryUse retries;
};
/// Forward the server's error response to the client.
struct ForwardError {
    CallId call;
    /// The request was not sent again because the retry allowance was spent; for the log.
    bool isRetryDenied { false };
};

/// A server has reported that it is leaving; the control thread informs the other entries.
struct PublishLeaving {
    ServerIncarnation server;
};

/// Find out whether the server's address refuses connections; `ProbeRefused` follows if it does.
struct ProbeServer {
    BackendServer server;
};

using Effect = std::variant<StartAttempt, StartTakeover, Refuse, ForwardError, CancelAttempt, PublishLeaving, ProbeServer, RetryDenied>;
using Effects = std::vector<Effect>;

} // namespace dispatch

struct DispatcherOptions {
    RetryAllowanceOptions retries;
    ColdLimitOptions coldLimits {};
    /// Regions of the data centres; without them, requests with homes get no server.
    DataCentreRegions regions {};
    admission::AdmissionOptions admission {};
    capacity::EstimateOptions estimate {};
    crashes::TrackerOptions crashes {};
    /// Maximum time that an idempotent request waits for another server after it has lost its own. A rank group that
    /// lost a rank has either recovered by then or will not recover soon. Clients give up on a stream that pauses for
    /// two seconds, so a longer wait is of no use.
    milliseconds recoveryTimeout { 1500 };
    /// Delay before a request is retried on servers that have just lost it: a rank group takes about 600 ms to re-form.
    milliseconds retryDelay { 150 };
    /// A stream without an event for this long is offered to another server if other servers of the service make
    /// progress. Clients give up on a stream after two seconds, and the stream must have continued by then.
    milliseconds stallTimeout { 1000 };
    /// A request for a whole response is offered to another server when it has taken this many latency objectives of its route.
    int maxSilentObjectives { 3 };
    /// Number of ranks that may reject a request before their groups are assumed to be forming and the request waits
    /// for them.
    unsigned maxRankRejections { 2 };
    /// Maximum attempts of one request, including those that did not run: bounds the load on a service that rejects
    /// everything.
    unsigned maxAttempts { 4 };
};

/// The traffic thread's reducer over the requests of one entry: decides which backend server a request is sent to and
/// when, what follows a failed attempt, and which requests are refused. Events go in and effects come out as data; it
/// reads no clock and does no I/O.
class Dispatcher {
public:
    Dispatcher(const DispatcherOptions& options, policy::Generator generator);

    dispatch::Effects apply(TimePoint now, const dispatch::Event& event);
    /// When to deliver a `Ticked`; unset while no request is queued and none is being watched.
    std::optional<TimePoint> nextTick() const;
    /// The servers and their known load.
    const LoadBalancer& loadBalancer() const { return m_loadBalancer; }
    /// Who is admitted, and what waits.
    const admission::AdmissionController& admission() const { return m_admission; }
    std::size_t queuedRequests() const { return m_queue.size(); }
    const capacity::ServiceEstimate& serviceEstimate() const { return m_estimate; }
    /// True if the process of the call's current server has ended since the request was sent to it. Ignores servers that
    /// were leaving.
    bool hasServerEnded(CallId id) const;
    /// The requests that may have crashed servers.
    const crashes::CrashTracker& crashTracker() const { return m_crashes; }
    /// A part of what is known of these requests, for other entries; the next call returns the next part.
    std::vector<policy::SuspicionMessage> nextSuspicions(TimePoint now) { return m_crashes.nextReports(now); }

private:
    struct Call {
        CallRequest request;
        /// Drawn once from the route's services by their weights.
        ServiceName service;
        /// Regions whose servers may get the request.
        HomeSet homes;
        Verdict verdict { Verdict::NotRun };
        /// Servers that may have run the request.
        std::vector<ServerIncarnation> ranOn;
        /// Servers on which an attempt has failed.
        std::vector<ServerIncarnation> triedServers;
        unsigned attempts { 0 };
        unsigned rankRejections { 0 };
        std::optional<ServerIncarnation> currentServer;
        bool hasResponseStarted { false };
        /// When the current response started.
        TimePoint responseStartedAt;
        /// Time of the last data from the current server, or of the send if none has arrived.
        TimePoint lastActivityAt;
        /// The attempt in progress has been cancelled.
        bool isAttemptCancelled { false };
        /// The entry waits for the client to accept data, and reads nothing from the server.
        bool isDelivering { false };
        struct Takeover {
            ServerIncarnation server;
            TimePoint sentAt;
        };
        /// Set while another server is asked to take the request over.
        std::optional<Takeover> takeover {};
        /// A retry was denied because the retry allowance was spent.
        bool isRetryDenied { false };
        TimePoint queueDeadline;
        /// The queue deadline no longer follows from the arrival alone.
        bool isQueueTimeExtended { false };
        /// When the request was sent to the current server.
        TimePoint sentAt;
        /// No attempt starts before this time; it is in the past until all servers that may run the request have
        /// failed.
        TimePoint retryAt;
        /// What was expected of the current attempt when it started; only while the entry is being stopped.
        std::optional<capacity::Forecast> stopForecast;
        /// Outcome of the last attempt; unset before the first one ends.
        std::optional<AttemptOutcome> lastOutcome;
        /// There is evidence that the process of the current server has ended since the request was sent to it.
        bool hasServerEnded { false };
        /// Events of the current attempt.
        capacity::StreamClock clock;
        /// The last attempt is or was a trial: the request, or a part of its prompt, may have crashed a server before.
        bool isTrial { false };
        /// The suspects that the attempt in progress tries.
        std::vector<crashes::CrashTracker::Trial> trials;
        std::vector<crashes::PromptPart> parts;
        /// The response of the current attempt has gone on for `CrashTracker::minPartProgressTime`.
        bool hasProgressed { false };
    };

    void onRequestArrived(TimePoint now, const dispatch::RequestArrived& event, dispatch::Effects& effects);
    void onAttemptEnded(TimePoint now, const dispatch::AttemptEnded& event, dispatch::Effects& effects);
    void onResponseStarted(TimePoint now, CallId id);
    void onStreamProgressed(TimePoint now, const dispatch::StreamProgressed& event);
    void onResponseReceived(CallId id);
    void onStreamDelivered(TimePoint now, CallId id);
    void onTakeoverAccepted(TimePoint now, CallId id);
    void onTakeoverFailed(TimePoint now, const dispatch::TakeoverFailed& event, dispatch::Effects& effects);
    void onCallClosed(TimePoint now, CallId id);
    ServiceName pickService(const Route& route);
    /// Does nothing if no attempt is in progress.
    void endAttempt(Call& call, TimePoint now, const dispatch::AttemptEnded& event);
    // In dispatcher-crashes.cc:
    static crashes::CrashTracker::LostRun runOf(CallId id, const Call& call, const ServerIncarnation& server);
    void startTrial(Call& call, TimePoint now);
    void recordOutcome(Call& call, const ServerIncarnation& server, const dispatch::AttemptEnded& event, TimePoint now);
    static crashes::CrashTracker::LostRun takeoverRunOf(CallId id, const Call& call);
    void recordTakeoverOutcome(CallId id, const Call& call, AttemptOutcome outcome, TimePoint now);
    /// Records once that the response of the current attempt has gone on for a while.
    void recordProgress(Call& call, TimePoint now);
    void onSnapshotChanged(TimePoint now, const Snapshot& snapshot);
    crashes::CrashTracker::Decision quarantineDecision(const Call& call, TimePoint now) const;
    policy::QuarantineAction quarantineAction(const Call& call, TimePoint now) const { return quarantineDecision(call, now).action; }
    /// Refuses the request and returns true if it, or a part of its prompt, has crashed servers and may not run again.
    bool refuseIfQuarantined(CallId id, Call& call, TimePoint now, dispatch::Effects& effects);
    /// The server's process has ended. Nothing follows from the end of a server that was leaving.
    void onServerEnded(TimePoint now, const ServerIncarnation& server, crashes::Evidence evidence);
    /// Concludes from the outcome of an attempt whether the server's process has ended, or starts a probe.
    void gatherEvidence(TimePoint now, const ServerIncarnation& server, AttemptOutcome outcome, const Call& call, dispatch::Effects& effects);
    /// Servers that run requests of this entry, or lost some for an unknown reason.
    std::set<ServerIncarnation> serversOfInterest() const;
    void findEndedServers(TimePoint now, const Snapshot& snapshot);
    void updateServerState(TimePoint now, const ServerIncarnation& server, AttemptOutcome outcome, Call& call);
    bool mayWaitForGroups(const Call& call, AttemptOutcome outcome, TimePoint now) const;
    void queueForRetry(CallId id, Call& call, TimePoint now, TimePoint until);
    bool mayRetry(const Call& call, AttemptOutcome outcome, TimePoint now) const;
    void failCall(CallId id, Call& call, AttemptOutcome outcome, TimePoint now, dispatch::Effects& effects);
    /// Takes a retry from the allowance of the call's service; returns false if none is left.
    bool tryTakeRetry(CallId id, Call& call, TimePoint now, dispatch::Effects& effects);
    /// Returns false if no server has capacity now or the retry allowance is spent.
    bool tryStartAttempt(CallId id, Call& call, TimePoint now, dispatch::Effects& effects);
    /// How long a request takes that is sent now; unset if too little is known.
    std::optional<capacity::Forecast> forecastOf(const Call& call, TimePoint now) const;
    /// False if the entry is being stopped and must not send the request: its deadline is not before that of the stop, and it is
    /// expected to take too long, or the accept period is over.
    bool canEndBeforeStop(const Call& call, TimePoint now) const;
    bool isStopDeadlineReached(TimePoint now) const { return m_stop && now >= m_stop->deadline; }
    /// Refuses the requests that have not run and ends all others once the deadline of the stop is reached.
    void endCallsAtStop(TimePoint now, dispatch::Effects& effects);
    void offerStalledCalls(TimePoint now, dispatch::Effects& effects);
    /// When a call that makes no progress is to be offered to another server; unset if never.
    std::optional<TimePoint> stallTime(const Call& call) const;
    /// `stalledAt`: see `stallTime`.
    void scheduleStallCheck(const Call& call, TimePoint stalledAt, TimePoint now);
    bool isServerSilent(const Call& call, TimePoint now) const;
    bool isStalled(const Call& call, TimePoint now) const;
    /// Does nothing if no server has capacity now or the retry allowance is spent.
    void tryStartTakeover(CallId id, Call& call, TimePoint now, dispatch::Effects& effects);
    /// Releases the slot of the call's take-over.
    ServerIncarnation endTakeover(Call& call);
    /// Adds the server to those on which an attempt of the request has failed.
    static void recordFailedServer(Call& call, const ServerIncarnation& server, AttemptOutcome outcome);
    void extendWaitForFormingGroups(TimePoint now);
    static admission::QueuedRequest queuedRequest(CallId id, const Call& call);
    /// Sets the queue deadline of a request that has not been sent to a server yet.
    void updateQueueDeadline(CallId id, Call& call, TimePoint now);
    void dispatchQueued(TimePoint now, dispatch::Effects& effects);
    static capacity::RequestView requestView(const CallRequest& request, TimePoint queueDeadline, std::size_t queuedBefore);
    /// Set if the request, which waits before its first attempt, can't end in time and is to be refused now. `isFull`: no
    /// server has capacity for it.
    std::optional<capacity::Forecast> forecastRefusal(const Call& call, TimePoint now, std::size_t queuedBefore, bool isFull);
    void refuseUnfinishable(CallId id, const Call& call, const capacity::Forecast& forecast, TimePoint now, dispatch::Effects& effects);
    void refuseForStop(CallId id, const Call& call, TimePoint now, dispatch::Effects& effects);
    void refuse(TimePoint now, CallId id, const Call& call, RefusalReason reason, std::optional<TimePoint> retryAt, dispatch::Effects& effects);
    /// The servers that the request may be sent to: all of the service in its homes, or, once it has run on the permitted
    /// number of servers, only those.
    static LoadBalancer::ServerFilter filterFor(const Call& call);
    bool isThrottledTooLong(const Call& call, TimePoint now) const;
    RefusalReason refusalReason(const Call& call, TimePoint now) const;
    /// Unset if a retry is of no use.
    std::optional<TimePoint> clientRetryTime(const Call& call, TimePoint now);

    DispatcherOptions m_options;
    policy::Generator m_generator;
    LoadBalancer m_loadBalancer;
    capacity::ServiceEstimate m_estimate;
    crashes::CrashTracker m_crashes;
    RetryAllowance m_retries;
    /// Services for which a request was denied a retry and none has been granted since.
    std::set<ServiceName> m_servicesWithoutRetries;
    std::map<CallId, Call> m_calls;
    admission::AdmissionController m_admission;
    /// Requests that wait for a server.
    admission::RequestQueue m_queue;
    /// When calls are next checked for servers that have fallen silent; unset while no call may be offered to another server.
    std::optional<TimePoint> m_nextStallCheckAt;
    admission::RetrySchedule m_retrySchedule;
    /// Set once the entry is being stopped.
    std::optional<dispatch::StopScheduled> m_stop;
    /// Another entry accepts all requests.
    bool m_hasAcceptingPeer { false };
    /// Time of the last event.
    TimePoint m_lastEventAt;
};

} // namespace swiftloft::gateway
