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

/// Events that the entry's reducer handles and effects that it returns. Each event carries the current time; the reducer
/// never reads a clock.
namespace swiftloft::entry {

/// Identifies a request at this entry, from its arrival to its final response.
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;
/// Identifies an attempt at sending a request to a backend server. Unique within this entry's incarnation.
using AttemptSerial = Strong<struct AttemptSerialTag, std::uint64_t>;
/// Index of a traffic thread.
using WorkerIndex = Strong<struct WorkerIndexTag, std::uint32_t>;

/// Attributes of a client's request as read from its headers and body. The reducer replaces unset attributes by
/// defaults.
struct RequestInfo {
    ServiceName service;
    OrganisationName organisation;
    /// SHA-256 of the bearer key in lower-case hexadecimal, or empty if the client sent none.
    std::string keyDigest;
    std::string method;
    std::optional<RequestKey> clientKey;
    std::optional<bool> isRepeatable;
    std::optional<TimePoint> deadline;
    /// Hash of the body. The reducer combines it with the organisation into a fingerprint, which identifies the request
    /// when it is sent again under another key.
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

/// The first body bytes of a response were forwarded, so no other attempt can start the response again.
struct OutputBegan {
    RequestId id;
    TimePoint now;
};

enum class AttemptOutcome {
    /// The complete response was forwarded.
    Answered,
    /// The agent refused the attempt.
    Refused,
    /// The backend server failed during the attempt.
    Failed,
    /// The connection to the agent was lost.
    Lost,
    /// The response was corrupted: bytes were missing, or the length or the digest differed.
    Damaged,
};

/// Why an agent refused an attempt or a backend server failed.
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
    /// Identifies the crash that ended the attempt; 0 if the backend server did not crash.
    policy::CrashId crash {};
};

/// The result of a claim at one home of a client's key. The homes of a key are the agents that decide which entry may
/// run the request. `reply` is unset if the home could not be reached in time.
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

/// Status that an agent reports over one link.
struct AgentReport {
    Incarnation incarnation;
    bool isLeaving { false };
    bool isEngineUp { false };
    /// A suspected request (one that may have crashed an engine) is running alone on the engine or is waiting to do so.
    bool isReserved { false };
    Tokens pending;
    double tokensPerSecond { 0 };
    policy::MintEpoch epoch;
    std::vector<policy::SuspicionMessage> suspicions;
};

/// An agent's report arrived over a link, which shows that the link is up.
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

/// Parameters of an attempt, in addition to the client's own message.
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
    /// The claim under which the request runs. Set for a non-repeatable request with a client's own key.
    std::optional<policy::ClaimRequest> claim;
    /// The attempt must not start the request. It only fetches the response of a run that was started under another
    /// claim.
    bool attachesOnly { false };
};

struct StartAttempt {
    WorkerIndex worker;
    AttemptSpec spec;
};

/// Sends a claim for a client's key to one of the key's homes, the agents that grant claims.
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

/// Cancels an attempt whose response is no longer needed.
struct CancelAttempt {
    WorkerIndex worker;
    RequestId id;
    BackendServerId server;
};

/// Answers a request with a refusal. Used while no output has been sent.
struct RefuseRequest {
    WorkerIndex worker;
    RequestId id;
    Refusal refusal;
};

/// Aborts a response whose output has begun, in a way that the client can't mistake for the end of a complete response.
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

/// Replaces the suspicions that heartbeats to agents carry. If `isUrgent`, the next heartbeats are sent immediately.
struct PublishSuspicions {
    std::vector<policy::SuspicionMessage> suspicions;
    bool isUrgent { false };
};

/// Records a finished request for the metrics and the burn rate of the service-level objective.
struct RecordCompletion {
    ServiceName service;
    OrganisationName organisation;
    Verdict verdict;
    /// Unset if a backend server answered the request.
    std::optional<RefusalReason> refusal;
    microseconds firstByte { 0 };
    microseconds total { 0 };
    bool isWithinObjective { false };
    unsigned attempts { 0 };
};

/// Sends a message of the lending protocol to another entry. The message may be lost.
struct SendLendingMessage {
    InstanceId to;
    LendingMessage message;
};

/// From now on, each response tells its client to look up the entry addresses again.
struct AnnounceLeaving {
};

/// Stops accepting connections, because the last address list that names this entry has expired.
struct CloseListeners {
};

/// Ends the process. Emitted once no request is in progress and no more can arrive.
struct Finish {
};

using Effect = std::variant<StartAttempt, SendLendingMessage, SendClaim, SendRelease, CancelAttempt, RefuseRequest, AbortResponse, OpenLink, CloseLink, PublishSuspicions, RecordCompletion, AnnounceLeaving,
    CloseListeners, Finish>;
using Effects = std::vector<Effect>;

} // namespace swiftloft::entry
