#pragma once

#include "src/rpc/agent.capnp.h"

#include <swiftloft/ids.h>
#include <swiftloft/policy/claim.h>
#include <swiftloft/policy/crash-quarantine.h>
#include <swiftloft/policy/ticket.h>
#include <swiftloft/units.h>
#include <swiftloft/verdict.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events that an agent's reducer processes and effects that it returns. Each event carries the time; the reducer reads no
/// clock.
namespace swiftloft::agent {

/// Identifies one RPC call of an entry. Several calls may refer to the same ticket, the identifier that an entry gives
/// to one attempt at a request.
using CallId = Strong<struct CallIdTag, std::uint64_t>;
/// Identifies a request at this agent by its ticket. Unique within this incarnation.
using RunId = Strong<struct RunIdTag, std::string>;

RunId runIdOf(const policy::Ticket& ticket);

using rpc::schema::OutcomeKind;
using rpc::schema::Reason;

struct RunRequested {
    CallId call;
    policy::Ticket ticket;
    Fingerprint fingerprint;
    bool runsAlone { false };
    /// Tokens of the prompt and of the expected output.
    Tokens totalTokens;
    TimePoint deadline;
    TimePoint now;
    /// Present for a request with a client's own key, which must not run twice.
    std::optional<policy::ClaimRequest> claim;
    bool attachesOnly { false };
    std::size_t bodyBytes { 0 };
};

struct ClaimRequested {
    CallId call;
    policy::ClaimRequest request;
    TimePoint now;
};

struct ClaimReleased {
    policy::ClaimRequest request;
};

/// An instance list was received, from the platform or from a peer.
struct InstanceListReceived {
    policy::ListRevision revision;
    TimePoint now;
};

struct CancelRequested {
    CallId call;
    policy::Ticket ticket;
    TimePoint now;
};

/// How a request ended at the engine.
enum class RunOutcome {
    Answered,
    /// No connection to the engine was made: nothing was sent.
    NotReached,
    /// The connection broke after the request was sent.
    Broken,
    Cancelled,
    DeadlinePassed,
};

struct RunEnded {
    RunId run;
    RunOutcome outcome;
    TimePoint now;
    /// What is kept of the response.
    std::size_t responseBytes { 0 };
};

/// The engine responds. `tokensPerSecond` is the throughput that it reports, or 0 if it reports none. The probe started at
/// `probedAt`.
struct EngineUp {
    double tokensPerSecond { 0 };
    TimePoint probedAt;
    TimePoint now;
};

/// The engine does not respond. `hasCrashed` is set if its process has gone: connections are refused or were reset.
struct EngineDown {
    bool hasCrashed { false };
    TimePoint probedAt;
    TimePoint now;
};

/// An entry reported the crash suspects that it knows of: requests that were on an engine when it crashed.
struct SuspicionsReceived {
    std::vector<policy::SuspicionMessage> messages;
    TimePoint now;
};

struct LeaveRequested {
    TimePoint now;
};

struct Tick {
    TimePoint now;
};

using Event = std::variant<RunRequested, ClaimRequested, ClaimReleased, InstanceListReceived, CancelRequested, RunEnded, EngineUp, EngineDown, SuspicionsReceived, LeaveRequested, Tick>;

/// Prepares the request of `call`. The request is sent to the engine immediately or, if `isHeld`, when `ReleaseRun`
/// follows.
struct StartRun {
    CallId call;
    RunId run;
    TimePoint deadline;
    bool isHeld { false };
};

struct ReleaseRun {
    RunId run;
};

/// Sends the response of a running or finished request to one more call.
struct AttachCall {
    CallId call;
    RunId run;
};

struct RefuseCall {
    CallId call;
    Verdict verdict;
    Reason reason;
};

struct AnswerCancel {
    CallId call;
    Verdict verdict;
};

struct AnswerClaim {
    CallId call;
    policy::ClaimReply reply;
};

struct StopRun {
    RunId run;
};

/// Probes the engine immediately, because the connection of a request broke.
struct ProbeEngine {
};

/// Ends the calls of a broken request, now that it is known whether the engine crashed. `crash` is 0 if it did not.
struct ConcludeRun {
    RunId run;
    policy::CrashId crash;
};

/// Discards the buffered response of a finished request.
struct DiscardRun {
    RunId run;
};

/// No request is in progress and no more will start: the process may exit.
struct Finish {
};

/// State that heartbeats report from now on.
struct PublishReport {
    bool isLeaving { false };
    bool isEngineUp { false };
    /// A crash suspect runs alone at the engine or is waiting to do so.
    bool isReserved { false };
    std::uint32_t running { 0 };
    Tokens pendingTokens;
    double tokensPerSecond { 0 };
    policy::MintEpoch epoch;
    std::vector<policy::SuspicionMessage> suspicions;
};

using Effect = std::variant<StartRun, ReleaseRun, AttachCall, RefuseCall, AnswerCancel, AnswerClaim, StopRun, ProbeEngine, ConcludeRun, DiscardRun, Finish, PublishReport>;
using Effects = std::vector<Effect>;

} // namespace swiftloft::agent
