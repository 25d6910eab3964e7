#pragma once

#include "src/gateway/load-board.h"
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
enum class AttemptEnd {
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

std::string_view toString(AttemptEnd end);

/// Why the entry answers a request itself.
enum class RefusalReason {
    /// No room in time: come back later.
    Overloaded,
    /// By the limits that its servers name there is no room in time: come back later.
    Limited,
    /// All its servers have asked for rests that are not over in time: come back later.
    Resting,
    /// The service has no server that may be used.
    NoServer,
    /// Not run, and no further try is allowed.
    TriesSpent,
    /// It may have run; what became of it is not known.
    Lost,
    /// The deadline has passed; it may have run.
    TimedOut,
};

std::string_view toString(RefusalReason reason);

namespace dispatch {

struct Arrived {
    CallId call;
    CallRequest request;
};
struct AttemptEnded {
    CallId call;
    AttemptEnd end { AttemptEnd::Answered };
};
/// The first byte of an answer has come.
struct AnswerBegan {
    CallId call;
};
/// More of a stream has come from its server.
struct Progressed {
    CallId call;
};
/// The call is over: its client has been answered or has left.
struct Closed {
    CallId call;
};
/// An answer has begun and says whether its server limits requests.
struct LimitHeard {
    ServerLife server;
    /// When the request that it answers was sent.
    TimePoint sentAt;
    std::optional<NamedLimit> limit;
};
/// A server has turned a request away and asks this entry for a rest.
struct RestAsked {
    ServerLife server;
    NamedRest rest;
};
/// A server says in an answer that it is leaving.
struct LeavingSaid {
    ServerLife server;
};
struct SnapshotChanged {
    std::shared_ptr<const Snapshot> snapshot;
};
struct LoadArrived {
    LoadUpdate news;
};
/// Time passed; see `Dispatcher::nextTick`.
struct Ticked { };

using Event = std::variant<Arrived, AttemptEnded, AnswerBegan, Progressed, Closed, LimitHeard, RestAsked, LeavingSaid, SnapshotChanged, LoadArrived, Ticked>;

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
    std::size_t waiting { 0 };
};
/// End the try that is in progress; `AttemptEnded` follows.
struct TakeBack {
    CallId call;
};
/// Pass the failure that the server answered with on to the client.
struct PassOn {
    CallId call;
};

/// A server has said that it is leaving: the control thread tells other entries.
struct TellLeaving {
    ServerLife server;
};

using Effect = std::variant<StartAttempt, Refuse, PassOn, TakeBack, TellLeaving>;
using Effects = std::vector<Effect>;

} // namespace dispatch

struct DispatcherOptions {
    RetryAllowanceOptions retries;
    /// Part of the objective for which a request may wait here for room. What waits longer is late however fast it then
    /// runs, and keeps out one that could be in time.
    double waitShare { 0.4 };
    /// Where no objective is set.
    milliseconds defaultWait { 100 };
    /// A request that a server lost, and that may run again, waits so long at most for one that can take it: a rank group
    /// that lost a rank is whole again by then or not soon, and clients give up a stream that pauses for two seconds.
    milliseconds recoveryWait { 1500 };
    /// Pause before a request goes again to servers that have just lost it: a group takes some 600 ms to form anew.
    milliseconds recoveryPause { 150 };
    /// A stream without an event for this long is taken back from its server if others of the service go on: clients give
    /// a stream up after two seconds.
    milliseconds stallAfter { 1000 };
    /// Ranks that may turn a request away at once; then it waits for their groups as it does for those known to form.
    unsigned mostRanksAsked { 2 };
    /// Sends of one request, also where none of them ran: bounds the harm of a service that turns everything away.
    unsigned maximumSends { 4 };
};

/// When a client may return to what can't be served at all for now, such as right after a loss of power: late enough that it
/// can be by then, within what clients wait for before `deadline`.
TimePoint comeBackWhenServing(TimePoint now, TimePoint deadline, policy::Generator& generator);

/// The traffic thread's reducer over the requests of one entry: which backend server a request goes to and when, what
/// follows a failed try, and what is refused. Events in, effects out as data; reads no clock and does no I/O.
class Dispatcher {
public:
    Dispatcher(const DispatcherOptions& options, policy::Generator generator);

    dispatch::Effects apply(TimePoint now, const dispatch::Event& event);
    /// When to deliver a `Ticked`; nothing while no request waits.
    std::optional<TimePoint> nextTick() const;
    /// The servers and what is known of the work there.
    const LoadBoard& loads() const { return m_loads; }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct Call {
        CallRequest request;
        /// Drawn among those of the route by their weights, once.
        ServiceName service;
        Verdict verdict { Verdict::NotRun };
        /// Servers that may have run it.
        std::vector<ServerLife> ranOn;
        /// Servers that it was sent to in vain.
        std::vector<ServerLife> tried;
        unsigned sends { 0 };
        unsigned ranksThatTurnedAway { 0 };
        std::optional<ServerLife> runningOn;
        bool hasBegun { false };
        /// When it was sent to that server, or something came from there last.
        TimePoint heardAt;
        /// The try in progress has been taken back, and the repeat that follows is taken from the allowance.
        bool isTakenBack { false };
        TimePoint waitUntil;
        /// No try before; in the past until all servers that may run it have failed.
        TimePoint retryAt;
        /// The last try ended so; unset before the first.
        std::optional<AttemptEnd> lastEnd;
    };

    void onArrived(TimePoint now, const dispatch::Arrived& event, dispatch::Effects& effects);
    void onAttemptEnded(TimePoint now, const dispatch::AttemptEnded& event, dispatch::Effects& effects);
    void onAnswerBegan(TimePoint now, CallId id);
    void onProgressed(TimePoint now, CallId id);
    void onClosed(CallId id);
    ServiceName drawService(const Route& route);
    void endAttempt(Call& call);
    void noteServer(TimePoint now, const ServerLife& server, AttemptEnd end, Call& call);
    bool mayWaitForGroups(const Call& call, AttemptEnd end, TimePoint now) const;
    void waitToRetry(CallId id, Call& call, TimePoint now, TimePoint until);
    bool mayTryAgain(const Call& call, AttemptEnd end, TimePoint now) const;
    void giveUp(CallId id, Call& call, AttemptEnd end, TimePoint now, dispatch::Effects& effects);
    /// False when there is no room for it now.
    bool tryStart(CallId id, Call& call, TimePoint now, dispatch::Effects& effects);
    void takeBackStalled(TimePoint now, dispatch::Effects& effects);
    bool isStalled(const Call& call, TimePoint now) const;
    void keepForForming(TimePoint now);
    void startWaiting(TimePoint now, dispatch::Effects& effects);
    void refuse(TimePoint now, CallId id, const Call& call, RefusalReason reason, std::optional<TimePoint> retryAt, dispatch::Effects& effects);
    /// Where the request may go: anywhere, or, once it has run on as many servers as it may, to these.
    static LoadBoard::Choice choiceOf(const Call& call);
    bool isBeyondLimits(const Call& call, TimePoint now) const;
    RefusalReason reasonToRefuse(const Call& call, TimePoint now) const;
    TimePoint comeBackAt(const Call& call, TimePoint now);
    TimePoint comeBackAfterRest(const Call& call, TimePoint restEndsAt, TimePoint now);
    TimePoint comeBackWithinLimits(const Call& call, double rate, TimePoint now);

    DispatcherOptions m_options;
    policy::Generator m_generator;
    LoadBoard m_loads;
    RetryAllowance m_retries;
    std::map<CallId, Call> m_calls;
    /// Requests without room yet, the most urgent and oldest first.
    std::vector<CallId> m_waiting;
    /// When streams are looked at next for servers that have fallen silent; unset while none runs.
    std::optional<TimePoint> m_lookForStallsAt;
    /// When the next client that is refused because of limits is to come back, by service.
    std::map<ServiceName, TimePoint> m_nextReturn;
    /// Time of the last event.
    TimePoint m_appliedAt;
};

} // namespace swiftloft::gateway
