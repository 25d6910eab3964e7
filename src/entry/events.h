#pragma once

#include "src/entry/lending-message.h"
#include "src/entry/refusal.h"

#include <swiftloft/ids.h>
#include <swiftloft/membership/view.h>
#include <swiftloft/policy/claim.h>
#include <swiftloft/policy/crash-quarantine.h>
#include <swiftloft/policy/prefix-index.h>
#include <swiftloft/policy/ticket.h>
#include <swiftloft/settings/tree.h>
#include <swiftloft/units.h>
#include <swiftloft/verdict.h>

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events an entry's reducer takes and effects it gives. Time comes in with each event; nothing here reads a clock.
namespace swiftloft::entry {

/// A request at this entry, from its arrival to its final answer.
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;
/// One try at handing a request to a backend server; unique within this entry's incarnation.
using AttemptSerial = Strong<struct AttemptSerialTag, std::uint64_t>;
/// A traffic thread.
using WorkerIndex = Strong<struct WorkerIndexTag, std::uint32_t>;

/// What a client asked for, as read from its request. Defaults are the reducer's to fill in.
struct RequestInfo {
    ServiceName service;
    OrganisationName organisation;
    /// SHA-256 of the bearer key in lower-case hexadecimal; empty when none was sent.
    std::string keyDigest;
    std::string method;
    std::optional<RequestKey> clientKey;
    std::optional<bool> isRepeatable;
    std::optional<TimePoint> deadline;
    /// Hash of the body; the reducer joins the organisation to it.
    std::uint64_t bodyHash { 0 };
    Tokens promptTokens;
    Tokens expectedOutput;
    std::vector<policy::BlockHash> prefix;
};

struct RequestArrived {
    RequestId id;
    WorkerIndex worker;
    std::shared_ptr<const RequestInfo> info;
    TimePoint now;
};

/// The first body bytes of an answer were passed on: from here on another attempt can't start over.
struct OutputBegan {
    RequestId id;
    TimePoint now;
};

enum class AttemptOutcome {
    /// The whole answer was passed on.
    Answered,
    /// The agent refused it.
    Refused,
    /// The backend server broke off.
    Failed,
    /// The agent can't be reached any more.
    Lost,
    /// What came was not the answer: a gap, or a digest that differs.
    Damaged,
};

/// Why an agent refused or a backend server failed.
enum class AttemptReason {
    None,
    Leaving,
    WrongIncarnation,
    Overloaded,
    EngineDown,
    EngineCrashed,
    DeadlinePassed,
    AnswerNotHeld,
    Quarantined,
    NotClaimed,
    Other,
};

struct AttemptEnded {
    RequestId id;
    AttemptSerial attempt;
    AttemptOutcome outcome;
    Verdict verdict;
    AttemptReason reason;
    TimePoint now;
    /// Names the crash that broke the attempt; 0 when the backend server has not crashed.
    policy::CrashId crash {};
};

/// A home of a client's key has answered a claim; without a reply it could not be reached in time.
struct ClaimCompleted {
    RequestId id;
    policy::ClaimId claim;
    BackendServerId home;
    std::optional<policy::ClaimReply> reply;
    TimePoint now;
};

struct ClientDisconnected {
    RequestId id;
    TimePoint now;
};

/// What an agent says of itself over one link.
struct AgentReport {
    Incarnation incarnation;
    bool isLeaving { false };
    bool isEngineUp { false };
    /// A suspect has, or waits for, the engine to itself.
    bool isReserved { false };
    Tokens pending;
    double tokensPerSecond { 0 };
    policy::MintEpoch epoch;
    std::vector<policy::SuspicionMessage> suspicions;
};

/// A link to an agent works, or works again, and this is its newest report.
struct LinkReported {
    WorkerIndex worker;
    BackendServerId server;
    AgentReport report;
    TimePoint now;
};

struct LinkDown {
    WorkerIndex worker;
    BackendServerId server;
    TimePoint now;
};

struct ViewChanged {
    std::shared_ptr<const membership::View> view;
    TimePoint now;
};

struct LendingMessageReceived {
    LendingMessage message;
    TimePoint now;
};

struct SettingsActivated {
    Revision revision;
    settings::Tree tree;
    TimePoint now;
};

struct LeaveRequested {
    TimePoint now;
};

struct Tick {
    TimePoint now;
};

using Event = std::variant<RequestArrived, OutputBegan, AttemptEnded, ClaimCompleted, ClientDisconnected, LinkReported, LinkDown, ViewChanged,
    LendingMessageReceived, SettingsActivated, LeaveRequested, Tick>;

/// What an attempt carries beside the client's own message.
struct AttemptSpec {
    RequestId id;
    AttemptSerial attempt;
    RequestKey key;
    policy::Ticket ticket;
    ServiceName service;
    OrganisationName organisation;
    Fingerprint fingerprint;
    Tokens promptTokens;
    Tokens expectedOutput;
    int priority { 0 };
    bool isRepeatable { false };
    bool runsAlone { false };
    TimePoint deadline;
    /// For a request under a client's own key that may not run twice.
    std::optional<policy::ClaimRequest> claim;
    /// Never starts it: fetches the answer of a run under another claim.
    bool attachesOnly { false };
};

struct StartAttempt {
    WorkerIndex worker;
    AttemptSpec spec;
};

/// Asks a home of a client's key for it.
struct SendClaim {
    WorkerIndex worker;
    RequestId id;
    BackendServerId home;
    policy::ClaimRequest request;
    TimePoint deadline;
};

struct SendRelease {
    WorkerIndex worker;
    BackendServerId home;
    policy::ClaimRequest request;
};

/// Gives an attempt up: its answer is not wanted any more.
struct CancelAttempt {
    WorkerIndex worker;
    RequestId id;
    BackendServerId server;
};

/// The final answer of a request whose output has not begun.
struct RefuseRequest {
    WorkerIndex worker;
    RequestId id;
    Refusal refusal;
};

/// Ends an answer whose output has begun, in a way that can't be taken for whole.
struct AbortResponse {
    WorkerIndex worker;
    RequestId id;
    Refusal refusal;
};

struct OpenLink {
    BackendServerId server;
    boost::asio::ip::tcp::endpoint endpoint;
};

struct CloseLink {
    BackendServerId server;
};

/// What heartbeats to agents tell of crashes from now on. When it is urgent the next heartbeats go out at once.
struct PublishSuspicions {
    std::vector<policy::SuspicionMessage> suspicions;
    bool isUrgent { false };
};

/// A request has got its final answer; for metrics and service-level burn.
struct RecordCompletion {
    ServiceName service;
    OrganisationName organisation;
    Verdict verdict;
    /// Nothing for an answer of a backend server.
    std::optional<RefusalReason> refusal;
    microseconds firstByte { 0 };
    microseconds total { 0 };
    bool isWithinObjective { false };
    unsigned attempts { 0 };
};

/// A message of the lending protocol for another entry; best effort.
struct SendLendingMessage {
    InstanceId to;
    LendingMessage message;
};

/// From now on each answer tells its client to ask for addresses again.
struct AnnounceLeaving {
};

/// Stops taking connections: the last address answer that names this entry has expired.
struct CloseListeners {
};

/// Nothing is in progress and no more will come: the process may end.
struct Finish {
};

using Effect = std::variant<StartAttempt, SendLendingMessage, SendClaim, SendRelease, CancelAttempt, RefuseRequest, AbortResponse, OpenLink, CloseLink, PublishSuspicions, RecordCompletion, AnnounceLeaving,
    CloseListeners, Finish>;
using Effects = std::vector<Effect>;

} // namespace swiftloft::entry
