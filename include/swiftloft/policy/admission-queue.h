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

/// Names a waiting or running request inside one `AdmissionQueue`; the caller numbers them.
using AdmissionId = Strong<struct AdmissionIdTag, std::uint64_t>;

/// Order among the requests of one organisation. It does not reach across organisations: whoever marked all its
/// requests urgent would otherwise take the others' share.
enum class Priority : std::uint8_t {
    High,
    Normal,
    Low,
};
constexpr std::size_t priorityCount = 3;

struct AdmissionOptions {
    /// Tokens of work in flight up to which requests are started.
    Tokens capacity { 100000 };
    /// Requests in flight up to which further ones are started: the engines' batch slots. Tokens alone do not bound
    /// them: under overload short requests are the ones in time, and more of them fit than the engines batch.
    std::size_t maximumInFlight { 1024 };
    std::size_t maximumQueued { 4096 };
    /// Work done a second, assumed until it has been measured.
    double initialTokensPerSecond { 10000 };
    /// A request is refused when its expected wait exceeds this share of the time it can wait: the estimate errs, and
    /// a request that starts at the last moment ends after its deadline.
    double waitMargin { 0.8 };
    RetryAfterOptions retryAfter;
};

struct AdmissionRequest {
    AdmissionId id;
    OrganisationName organisation;
    Priority priority { Priority::Normal };
    /// Estimated work: prompt and expected output.
    Tokens cost;
    /// Last moment at which starting still makes the deadline: deadline less expected service time.
    TimePoint latestStart;
};

enum class AdmissionReason {
    /// Would wait longer than its deadline allows.
    WaitTooLong,
    /// Waited until its deadline could not be met any more.
    Expired,
    /// The queue is full and the organisation holds the largest part of it for its weight.
    QueueFull,
};

std::string_view toString(AdmissionReason reason);

enum class AdmissionAction {
    Start,
    /// Answer at once with `retryAfter`. This attempt has not run; the verdict of a resend also depends on earlier ones.
    Refuse,
};

struct AdmissionEffect {
    AdmissionAction action { AdmissionAction::Start };
    AdmissionId id;
    AdmissionReason reason { AdmissionReason::WaitTooLong };
    seconds retryAfter { 0 };
};

using AdmissionEffects = boost::container::small_vector<AdmissionEffect, 4>;

/// Holds requests back while the backend servers of a service are full, and divides the room fairly.
///
/// Start-time fair queueing between organisations: each start moves its organisation's tag on by cost / weight, and the
/// organisation with the least tag goes next. One that asks for three times its share waits behind itself. Requests
/// that cannot make their deadline are refused on arrival, so the room goes to work that is still of use. Each event
/// costs O(log n) of the waiting requests and organisations.
class AdmissionQueue {
public:
    static Result<AdmissionQueue> create(AdmissionOptions options);
    AdmissionQueue(AdmissionQueue&&) noexcept;
    AdmissionQueue& operator=(AdmissionQueue&&) noexcept;
    ~AdmissionQueue();

    AdmissionEffects onArrive(const AdmissionRequest& request, TimePoint now, Generator& generator);
    /// A started request has ended; `cost` is the one it was started with.
    AdmissionEffects onFinish(Tokens cost, TimePoint now, Generator& generator);
    /// The client of a waiting request has gone away. Nothing to answer.
    void onAbandon(AdmissionId id);
    /// Refuses the waiting requests whose last moment has passed.
    AdmissionEffects onTimer(TimePoint now, Generator& generator);
    /// When to call `onTimer`; nothing when no request waits.
    std::optional<TimePoint> nextTimer() const;

    AdmissionEffects setCapacity(Tokens capacity, TimePoint now, Generator& generator);
    AdmissionEffects setMaximumInFlight(std::size_t maximum, TimePoint now, Generator& generator);
    /// Weight 1 until set. Weights at or below zero count as the smallest allowed one.
    void setWeight(const OrganisationName& organisation, double weight);
    /// Drops an organisation that left the settings, once it has nothing waiting.
    void removeOrganisation(const OrganisationName& organisation);

    /// How long a request of the organisation would wait now.
    microseconds expectedWait(const OrganisationName& organisation, Priority priority) const;
    std::size_t queued() const;
    Tokens inFlight() const;

private:
    class State;
    explicit AdmissionQueue(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace swiftloft::policy
