#pragma once

#include "src/rpc/agent.capnp.h"

#include <swiftloft/ids.h>
#include <swiftloft/units.h>
#include <swiftloft/verdict.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Events an agent's reducer takes and effects it gives. Time comes in with each event; nothing here reads a clock.
namespace swiftloft::agent {

/// One `run` call of an entry. Several calls may be about one key.
using CallId = Strong<struct CallIdTag, std::uint64_t>;

/// One entry's try at a request; unique over the fleet.
struct AttemptId {
    Incarnation entry;
    std::uint64_t serial { 0 };

    friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

using rpc::schema::OutcomeKind;
using rpc::schema::Reason;

struct RunRequested {
    CallId call;
    RequestKey key;
    AttemptId attempt;
    Incarnation incarnation;
    Fingerprint fingerprint;
    bool isRepeatable { false };
    bool runsAlone { false };
    TimePoint deadline;
    TimePoint now;
};

struct CancelRequested {
    CallId call;
    RequestKey key;
    AttemptId attempt;
    Incarnation incarnation;
    TimePoint now;
};

/// How a request ended at the engine.
enum class RunEnd {
    Answered,
    /// The engine was never reached: nothing was sent.
    NotReached,
    /// The engine broke off after the request was sent.
    Broken,
    Cancelled,
    DeadlinePassed,
};

struct RunEnded {
    RequestKey key;
    RunEnd end;
    TimePoint now;
};

struct EngineUp {
    TimePoint now;
};

/// The engine does not answer. `hasCrashed` when its process has gone: connections are refused or were reset.
struct EngineDown {
    bool hasCrashed { false };
    TimePoint now;
};

struct LeaveRequested {
    TimePoint now;
};

struct Tick {
    TimePoint now;
};

using Event = std::variant<RunRequested, CancelRequested, RunEnded, EngineUp, EngineDown, LeaveRequested, Tick>;

/// Hands the request of `call` to the engine.
struct StartRun {
    CallId call;
    RequestKey key;
    TimePoint deadline;
};

/// Sends the answer of a request that runs or has run to one more call.
struct AttachCall {
    CallId call;
    RequestKey key;
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

struct StopRun {
    RequestKey key;
};

/// The buffered answer of a finished request may go.
struct ForgetRun {
    RequestKey key;
};

/// Nothing is in progress and no more will come: the process may end.
struct Finish {
};

/// What heartbeats report from now on.
struct PublishReport {
    bool isLeaving { false };
    bool isEngineUp { false };
    std::uint32_t running { 0 };
    std::vector<Fingerprint> suspects;
};

using Effect = std::variant<StartRun, AttachCall, RefuseCall, AnswerCancel, StopRun, ForgetRun, Finish, PublishReport>;
using Effects = std::vector<Effect>;

} // namespace swiftloft::agent
