#pragma once

#include "src/gateway/load-balancer.h"
#include "src/gateway/retry-allowance.h"
#include "src/gateway/snapshot.h"

#include <swiftloft/policy/random.h>
#include <swiftloft/verdict.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace swiftloft::gateway {

/// Names one client request inside an entry.
using CallId = Strong<struct CallIdTag, std::uint64_t>;

/// What the dispatcher needs to know of a request.
struct CallRequest {
    /// Keeps `route` alive: a request is served by the configuration that it arrived under.
    std::shared_ptr<const Configuration> configuration;
    const Route* route { nullptr };
    unsigned priority { 0 };
    TimePoint arrivedAt;
    /// The earlier of the client's deadline and the route's timeout.
    TimePoint deadline;
    Tokens promptTokens;
    Tokens outputTokens;
};

/// How a try at a backend server ended.
enum class AttemptOutcome {
    /// The whole answer has gone to the client.
    Answered,
    /// Nothing was written.
    NotSent,
    /// The server promises that it did not run the request.
    NotRun,
    /// It is another server than expected that answered, and it did not run the request.
    Misdirected,
    /// Written, and no whole answer came: it may have run.
    Lost,
    /// The server answered with a failure of its own.
    ServerError,
    /// The server was silent until the deadline.
    TimedOut,
    /// The request was taken back: its server had fallen silent while others went on. It may have run.
    Stalled,
};

std::string_view toString(AttemptOutcome outcome);

/// Why the entry answers a request itself.
enum class RefusalReason {
    /// No room in time: come back later.
    Overloaded,
    /// By the limits that its servers name there is no room in time: come back later.
    Limited,
    /// All its servers have asked for rests that are not over in time: come back later.
    BackingOff,
    /// The service has no server that may be used.
    NoServer,
    /// Not run, and no further try is allowed.
    AttemptsExhausted,
    /// It may have run; what became of it is not known.
    Lost,
    /// The deadline has passed; it may have run.
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
};
/// The first byte of an answer has come.
struct ResponseStarted {
    CallId call;
};
/// More of a stream has come from its server.
struct StreamProgressed {
    CallId call;
};
/// The call is over: its client has been answered or has left.
struct CallClosed {
    CallId call;
};
/// An answer has begun and says whether its server limits requests.
struct LimitReceived {
    ServerIncarnation server;
    /// When the request that it answers was sent.
    TimePoint sentAt;
    std::optional<AdvertisedLimit> limit;
};
/// A server has turned a request away and asks this entry for a rest.
struct BackOffRequested {
    ServerIncarnation server;
    RequestedBackOff backOff;
};
/// A server says in an answer that it is leaving.
struct LeavingReported {
    ServerIncarnation server;
};
struct SnapshotChanged {
    std::shared_ptr<const Snapshot> snapshot;
};
struct LoadReceived {
    LoadUpdate news;
};
/// Time passed; see `Dispatcher::nextTick`.
struct Ticked { };

using Event = std::variant<RequestArrived, AttemptEnded, ResponseStarted, StreamProgressed, CallClosed, LimitReceived, BackOffRequested, LeavingReported, SnapshotChanged, LoadReceived, Ticked>;

struct StartAttempt {
    CallId call;
    BackendServer server;
    /// Requests that ran there already, as far as known, for the log.
    std::uint32_t running { 0 };
    /// That the server names, for the log.
    std::optional<RequestRate> limit {};
};
/// Answer the client now. For a stream that has begun: cut it.
struct Refuse {
    CallId call;
    RefusalReason reason { RefusalReason::Overloaded };
    Verdict verdict { Verdict::NotRun };
    /// When to come back; unset where coming back is of no use.
    std::optional<TimePoint> retryAt;
    /// What decided it, for the log: the service, the part of its places that is taken, and how many requests wait here.
    ServiceName service {};
    double occupancy { 0 };
    std::size_t queued { 0 };
};
/// End the try that is in progress; `AttemptEnded` follows.
struct CancelAttempt {
    CallId call;
};
/// Pass the failure that the server answered with on to the client.
struct ForwardError {
    CallId call;
};

/// A server has said that it is leaving: the control thread tells other entries.
struct PublishLeaving {
    ServerIncarnation server;
};

using Effect = std::variant<StartAttempt, Refuse, ForwardError, CancelAttempt, PublishLeaving>;
using Effects = std::vector<Effect>;

} // namespace dispatch

struct DispatcherOptions {
    RetryAllowanceOptions retries;
    /// Part of the objective for which a request may wait here for room. What waits longer is late however fast it then
    /// runs, and keeps out one that could be in time.
    double queueTimeShare { 0.4 };
    /// Where no objective is set.
    milliseconds defaultQueueTime { 100 };
    /// A request that a server lost, and that may run again, waits so long at most for one that can take it: a rank group
    /// that lost a rank is whole again by then or not soon, and clients give up a stream that pauses for two seconds.
    milliseconds recoveryTimeout { 1500 };
    /// Pause before a request goes again to servers that have just lost it: a group takes some 600 ms to form anew.
    milliseconds retryDelay { 150 };
    /// A stream without an event for this long is taken back from its server if others of the service go on: clients give
    /// a stream up after two seconds.
    milliseconds stallTimeout { 1000 };
    /// Ranks that may turn a request away at once; then it waits for their groups as it does for those known to form.
    unsigned maxRankRejections { 2 };
    /// Sends of one request, also where none of them ran: bounds the harm of a service that turns everything away.
    unsigned maxAttempts { 4 };
};

/// When a client may return to what can't be served at all for now, such as right after a loss of power: late enough that it
/// can be by then, within what clients wait for before `deadline`.
TimePoint outageRetryTime(TimePoint now, TimePoint deadline, policy::Generator& generator);

/// The traffic thread's reducer over the requests of one entry: which backend server a request goes to and when, what
/// follows a failed try, and what is refused. Events in, effects out as data; reads no clock and does no I/O.
class Dispatcher {
public:
    Dispatcher(const DispatcherOptions& options, policy::Generator generator);

    dispatch::Effects apply(TimePoint now, const dispatch::Event& event);
    /// When to deliver a `Ticked`; nothing while no request waits.
    std::optional<TimePoint> nextTick() const;
    /// The servers and what is known of the work there.
    const LoadBalancer& loadBalancer() const { return m_loadBalancer; }
    std::size_t queuedRequests() const { return m_queue.size(); }

private:
    struct Call {
        CallRequest request;
        /// Drawn among those of the route by their weights, once.
        ServiceName service;
        Verdict verdict { Verdict::NotRun };
        /// Servers that may have run it.
        std::vector<ServerIncarnation> ranOn;
        /// Servers that it was sent to in vain.
        std::vector<ServerIncarnation> triedServers;
        unsigned attempts { 0 };
        unsigned rankRejections { 0 };
        std::optional<ServerIncarnation> currentServer;
        bool hasResponseStarted { false };
        /// When it was sent to that server, or something came from there last.
        TimePoint lastActivityAt;
        /// The try in progress has been taken back, and the repeat that follows is taken from the allowance.
        bool isAttemptCancelled { false };
        TimePoint queueDeadline;
        /// No try before; in the past until all servers that may run it have failed.
        TimePoint retryAt;
        /// The last try ended so; unset before the first.
        std::optional<AttemptOutcome> lastOutcome;
    };

    void onRequestArrived(TimePoint now, const dispatch::RequestArrived& event, dispatch::Effects& effects);
    void onAttemptEnded(TimePoint now, const dispatch::AttemptEnded& event, dispatch::Effects& effects);
    void onResponseStarted(TimePoint now, CallId id);
    void onStreamProgressed(TimePoint now, CallId id);
    void onCallClosed(CallId id);
    ServiceName pickService(const Route& route);
    void endAttempt(Call& call);
    void updateServerState(TimePoint now, const ServerIncarnation& server, AttemptOutcome outcome, Call& call);
    bool mayWaitForGroups(const Call& call, AttemptOutcome outcome, TimePoint now) const;
    void queueForRetry(CallId id, Call& call, TimePoint now, TimePoint until);
    bool mayRetry(const Call& call, AttemptOutcome outcome, TimePoint now) const;
    void failCall(CallId id, Call& call, AttemptOutcome outcome, TimePoint now, dispatch::Effects& effects);
    /// False when there is no room for it now.
    bool tryStartAttempt(CallId id, Call& call, TimePoint now, dispatch::Effects& effects);
    void cancelStalledAttempts(TimePoint now, dispatch::Effects& effects);
    bool isStalled(const Call& call, TimePoint now) const;
    void extendWaitForFormingGroups(TimePoint now);
    void dispatchQueued(TimePoint now, dispatch::Effects& effects);
    void refuse(TimePoint now, CallId id, const Call& call, RefusalReason reason, std::optional<TimePoint> retryAt, dispatch::Effects& effects);
    /// Where the request may go: anywhere, or, once it has run on as many servers as it may, to these.
    static LoadBalancer::ServerFilter filterFor(const Call& call);
    bool isThrottledTooLong(const Call& call, TimePoint now) const;
    RefusalReason refusalReason(const Call& call, TimePoint now) const;
    TimePoint clientRetryTime(const Call& call, TimePoint now);
    TimePoint retryTimeAfterBackOff(const Call& call, TimePoint backOffEndsAt, TimePoint now);
    TimePoint retryTimeWithinLimits(const Call& call, double rate, TimePoint now);

    DispatcherOptions m_options;
    policy::Generator m_generator;
    LoadBalancer m_loadBalancer;
    RetryAllowance m_retries;
    std::map<CallId, Call> m_calls;
    /// Requests without room yet, the most urgent and oldest first.
    std::vector<CallId> m_queue;
    /// When streams are looked at next for servers that have fallen silent; unset while none runs.
    std::optional<TimePoint> m_nextStallCheckAt;
    /// When the next client that is refused because of limits is to come back, by service.
    std::map<ServiceName, TimePoint> m_nextClientRetryAt;
    /// Time of the last event.
    TimePoint m_lastEventAt;
};

} // namespace swiftloft::gateway
