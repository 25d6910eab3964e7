#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/policy/backoff.h>
#include <swiftloft/policy/random.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <boost/container/small_vector.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace swiftloft::policy {

/// Identifies a queued or running request within one `AdmissionQueue`. The caller assigns the ids.
using AdmissionId = Strong<struct AdmissionIdTag, std::uint64_t>;

/// Priority among the requests of one organisation. Priorities are not compared across organisations: an organisation
/// that marked all its requests as high priority would otherwise take the share of the others.
enum class Priority : std::uint8_t {
    High,
    Normal,
    Low,
};
constexpr std::size_t priorityCount = 3;

struct AdmissionOptions {
    /// Requests are started while the work in flight stays within this number of tokens.
    Tokens capacity { 100000 };
    /// Maximum number of requests in flight, normally the number of batch slots of the engines. The token limit alone
    /// does not bound this number: under overload, mostly short requests can still meet their deadlines, and more of
    /// them fit into the token capacity than the engines can batch.
    std::size_t maximumInFlight { 1024 };
    std::size_t maximumQueued { 4096 };
    /// Throughput assumed until it has been measured.
    double initialTokensPerSecond { 10000 };
    /// A request is refused when its expected wait exceeds this fraction of the time until its latest start. The margin
    /// covers errors of the estimate; a request that starts at the last moment also tends to finish after its deadline.
    double waitMargin { 0.8 };
    RetryAfterOptions retryAfter;
};

struct AdmissionRequest {
    AdmissionId id;
    OrganisationName organisation;
    Priority priority { Priority::Normal };
    /// Estimated work: prompt tokens and expected output tokens.
    Tokens cost;
    /// Latest start time that still meets the deadline: the deadline minus the expected service time.
    TimePoint latestStart;
};

enum class AdmissionReason {
    /// The expected wait is longer than the deadline allows.
    WaitTooLong,
    /// The request was queued until its deadline could no longer be met.
    Expired,
    /// The queue is full and this organisation has the largest backlog relative to its weight.
    QueueFull,
};

std::string_view toString(AdmissionReason reason);

enum class AdmissionAction {
    Start,
    /// Respond immediately with `retryAfter`. This attempt has not run. When the request is a resend, its verdict also
    /// depends on the earlier attempts.
    Refuse,
};

struct AdmissionEffect {
    AdmissionAction action { AdmissionAction::Start };
    AdmissionId id;
    AdmissionReason reason { AdmissionReason::WaitTooLong };
    seconds retryAfter { 0 };
};

using AdmissionEffects = boost::container::small_vector<AdmissionEffect, 4>;

/// Queues requests while the backend servers of a service are at capacity, and shares the capacity fairly.
///
/// Uses start-time fair queueing between organisations: each organisation has a tag, its position in virtual time. Each
/// start advances the tag of its organisation by cost / weight, and the organisation with the smallest tag is served
/// next. An organisation that requests three times its share is delayed only by its own requests. A request that cannot
/// meet its deadline is refused on arrival, so that capacity goes to work whose result is still needed. Each event
/// costs O(log n) in the number of queued requests and organisations.
class AdmissionQueue {
public:
    static Result<AdmissionQueue> create(AdmissionOptions options);
    AdmissionQueue(AdmissionQueue&&) noexcept;
    AdmissionQueue& operator=(AdmissionQueue&&) noexcept;
    ~AdmissionQueue();

    AdmissionEffects onArrive(const AdmissionRequest& request, TimePoint now, Generator& generator);
    /// A started request has ended. `cost` is the cost with which it was started.
    AdmissionEffects onFinish(Tokens cost, TimePoint now, Generator& generator);
    /// The client of a queued request has disconnected. The request is removed and needs no response.
    void onAbandon(AdmissionId id);
    /// Refuses the queued requests whose latest start time has passed.
    AdmissionEffects onTimer(TimePoint now, Generator& generator);
    /// Time at which to call `onTimer`; `nullopt` when no request is queued.
    std::optional<TimePoint> nextTimer() const;

    AdmissionEffects setCapacity(Tokens capacity, TimePoint now, Generator& generator);
    AdmissionEffects setMaximumInFlight(std::size_t maximum, TimePoint now, Generator& generator);
    /// Sets the weight of an organisation; the default is 1. Weights that are too small, zero or negative are raised to
    /// the minimum weight.
    void setWeight(const OrganisationName& organisation, double weight);
    /// Removes an organisation that is no longer in the settings, unless it has queued requests.
    void removeOrganisation(const OrganisationName& organisation);

    /// Expected wait of a request of the organisation that arrives now.
    microseconds expectedWait(const OrganisationName& organisation, Priority priority) const;
    std::size_t queued() const;
    Tokens inFlight() const;

private:
    class State;
    explicit AdmissionQueue(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace swiftloft::policy
