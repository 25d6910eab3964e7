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

/// Events an agent's reducer takes and effects it gives. Time comes in with each event; nothing here reads a clock.
namespace swiftloft::agent {

/// One call of an entry. Several calls may be about one ticket.
using CallId = Strong<struct CallIdTag, std::uint64_t>;
/// A request at this agent, by its ticket; unique within this incarnation.
using RunId = Strong<struct RunIdTag, std::string>;

RunId runIdOf(const policy::Ticket& ticket);

using rpc::schema::OutcomeKind;
using rpc::schema::Reason;

struct RunRequested {
    CallId call;
    policy::Ticket ticket;
    Fingerprint fingerprint;
    bool runsAlone { false };
    /// Prompt and expected output.
    Tokens totalTokens;
    TimePoint deadline;
    TimePoint now;
    /// For a request under a client's own key that may not run twice.
    std::optional<policy::ClaimRequest> claim;
    bool attachesOnly { false };
};

struct ClaimRequested {
    CallId call;
    policy::ClaimRequest request;
    TimePoint now;
};

struct ClaimReleased {
    policy::ClaimRequest request;
};

/// An instance list was learned, from the platform or from a peer.
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
    /// The engine was never reached: nothing was sent.
    NotReached,
    /// The engine broke off after the request was sent.
    Broken,
    Cancelled,
    DeadlinePassed,
};

struct RunEnded {
    RunId run;
    RunOutcome outcome;
    TimePoint now;
};

/// The engine answers, at the speed it says; 0 when it does not say. The probe began at `probedAt`.
struct EngineUp {
    double tokensPerSecond { 0 };
    TimePoint probedAt;
    TimePoint now;
};

/// The engine does not answer. `hasCrashed` when its process has gone: connections are refused or were reset.
struct EngineDown {
    bool hasCrashed { false };
    TimePoint probedAt;
    TimePoint now;
};

/// What an entry knows of crashes.
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

/// Makes the request of `call` ready. It goes to the engine at once, or, while it `isHeld`, with `ReleaseRun`.
struct StartRun {
    CallId call;
    RunId run;
    TimePoint deadline;
    bool isHeld { false };
};

struct ReleaseRun {
    RunId run;
};

/// Sends the answer of a request that runs or has run to one more call.
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

/// Asks the engine at once how it is: a request has broken.
struct ProbeEngine {
};

/// A broken request may be answered: it is known whether the engine crashed with it. `crash` is 0 when it did not.
struct ConcludeRun {
    RunId run;
    policy::CrashId crash;
};

/// The buffered answer of a finished request may go.
struct DiscardRun {
    RunId run;
};

/// Nothing is in progress and no more will come: the process may end.
struct Finish {
};

/// What heartbeats report from now on.
struct PublishReport {
    bool isLeaving { false };
    bool isEngineUp { false };
    /// A suspect has, or waits for, the engine to itself.
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
