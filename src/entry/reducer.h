#pragma once

#include "src/entry/admission-controller.h"
#include "src/entry/backend-server-registry.h"
#include "src/entry/events.h"
#include "src/entry/request-limiter.h"
#include "src/entry/request-resolver.h"
#include "src/entry/retry-controller.h"

#include <swiftloft/policy/claim-protocol.h>
#include <swiftloft/policy/crash-quarantine.h>
#include <swiftloft/policy/random.h>
#include <swiftloft/policy/retry-policy.h>
#include <swiftloft/policy/router.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace swiftloft::entry {

struct ReducerOptions {
    Incarnation incarnation;
    DataCentreName dataCentre;
    std::uint32_t randomSeed { 0 };
    InstanceId self;
    /// True if no entry has run in this fleet before.
    bool isFirstStart { false };
    TimePoint startedAt;
};

/// Makes all decisions of an entry about requests: a state machine that maps events to effects. Runs on the control
/// thread.
class Reducer {
public:
    static Result<Reducer> create(ReducerOptions options);

    /// Handles an event and appends the resulting effects to `effects`.
    void apply(const Event& event, Effects& effects);

    bool isReady() const { return m_resolver.has_value(); }
    bool isLeaving() const { return m_acceptUntil.has_value(); }
    std::size_t requestsInProgress() const { return m_requests.size(); }
    std::optional<Revision> settingsRevision() const { return m_revision; }
    const BackendServerRegistry& serverRegistry() const { return m_serverRegistry; }
    /// Returns null if the settings do not define the service.
    std::shared_ptr<const settings::ServiceSettings> service(const ServiceName& name);

private:
    /// An attempt that was sent to a worker and has not ended.
    struct Attempt {
        AttemptSerial serial;
        BackendServerId server;
        policy::RouteChoice choice;
        /// False if the server was not chosen by the router. This is so for a home of the request's client key and for
        /// the server that runs a suspected request alone.
        bool isRouted { true };
        bool isIsolated { false };
        TimePoint startedAt;
    };

    struct Request {
        WorkerIndex worker;
        std::shared_ptr<const RequestInfo> info;
        ResolvedRequest resolved;
        RequestKey key;
        TimePoint arrivedAt;
        std::optional<TimePoint> firstByteAt;
        /// Combined verdict of all attempts, and of attempts that other entries may have made under a client's own key.
        Verdict verdict { Verdict::NotRun };
        unsigned attempts { 0 };
        /// The request has left the admission queue and counts towards the capacity in use.
        bool isAdmitted { false };
        /// The request counts against its organisation's limits.
        bool isCountedInLimits { false };
        Tokens cost;
        std::optional<Attempt> attempt;
        std::vector<policy::ServerHandle> triedServers;
        /// Set once a claim for a client's own key has been started.
        std::optional<policy::ClaimProtocol> claim;

        /// True for a non-repeatable request with a client's own key. Such a request may run only under a claim that
        /// has been granted by the key's homes, the agents that decide which entry may run it.
        bool needsClaim() const { return info->clientKey && !resolved.isRepeatable; }
    };

    Reducer(ReducerOptions options, policy::CrashQuarantine quarantine);

    void on(const RequestArrived& event, Effects& effects);
    void on(const OutputBegan& event, Effects& effects);
    void on(const AttemptEnded& event, Effects& effects);
    void on(const ClaimCompleted& event, Effects& effects);
    void on(const ClientDisconnected& event, Effects& effects);
    void on(const LinkReported& event, Effects& effects);
    void on(const LinkDown& event, Effects& effects);
    void on(const ViewChanged& event, Effects& effects);
    void on(const LendingMessageReceived& event, Effects& effects);
    void on(const SettingsActivated& event, Effects& effects);
    void on(const LeaveRequested& event, Effects& effects);
    void on(const Tick& event, Effects& effects);

    void applyLimits(RequestId id, Request& request, TimePoint now, Effects& effects);
    void retryWaitingForGrant(TimePoint now, Effects& effects);
    void admit(RequestId id, Request& request, TimePoint now, Effects& effects);
    void applyDecisions(const AdmissionController::Decisions& decisions, TimePoint now, Effects& effects);
    void updateCapacities(TimePoint now, Effects& effects);
    void dispatch(RequestId id, Request& request, TimePoint now, Effects& effects);
    bool refuseIfQuarantined(RequestId id, Request& request, TimePoint now, Effects& effects);
    void waitForReservedServer(RequestId id, TimePoint now);
    bool chooseIsolationServer(const Request& request, Attempt& attempt) const;
    void publishSuspicions(bool isUrgent, TimePoint now, Effects& effects);
    bool chooseServer(Request& request, TimePoint now, Attempt& attempt);
    void startClaim(RequestId id, Request& request, TimePoint now, Effects& effects);
    void applyClaimEffects(RequestId id, Request& request, const policy::ClaimEffects& claimEffects, TimePoint now, Effects& effects);
    void startClaimedAttempt(RequestId id, Request& request, const policy::ClaimEffect& effect, TimePoint now, Effects& effects);
    void startAttempt(RequestId id, Request& request, Attempt attempt, TimePoint now, Effects& effects, std::optional<policy::ClaimRequest> claim = {}, bool attachesOnly = false);
    void releaseAttempt(Request& request, std::optional<policy::FailureKind> failure, TimePoint now);
    void retryOrFail(RequestId id, Request& request, const AttemptEnded& event, Effects& effects);
    void failRequest(RequestId id, Request& request, Refusal refusal, TimePoint now, Effects& effects);
    void recordCompletion(const Request& request, std::optional<RefusalReason> refusal, TimePoint now, Effects& effects) const;
    void removeRequest(RequestId id, TimePoint now, Effects& effects);
    void refuseArrival(const RequestArrived& event, Refusal refusal, Effects& effects) const;
    void failExpiredRequests(TimePoint now, Effects& effects);
    void startDueRetries(TimePoint now, Effects& effects);
    void advanceLeaving(TimePoint now, Effects& effects);
    policy::RouteRequest routeRequest(const Request& request) const;

    ReducerOptions m_options;
    RetryController m_retryController;
    policy::Generator m_generator;
    BackendServerRegistry m_serverRegistry;
    RequestLimiter m_limiter;
    /// Requests that exceed the part of the organisation's limit that this entry may use, and that wait for another
    /// entry to lend some of its part. Ordered by the time at which the wait ends.
    std::set<std::pair<TimePoint, RequestId>> m_awaitingGrant;
    AdmissionController m_admission;
    policy::CrashQuarantine m_quarantine;
    std::optional<RequestResolver> m_resolver;
    std::optional<Revision> m_revision;
    boost::unordered_flat_map<RequestId, Request, std::hash<RequestId>> m_requests;
    std::set<std::pair<TimePoint, RequestId>> m_deadlines;
    std::set<std::pair<TimePoint, RequestId>> m_retries;
    std::uint64_t m_lastAttempt { 0 };
    std::uint64_t m_lastClaim { 0 };
    TimePoint m_nextHousekeeping {};
    bool m_hasSuspicions { false };
    std::optional<TimePoint> m_acceptUntil;
    bool m_hasClosedListeners { false };
};

} // namespace swiftloft::entry
