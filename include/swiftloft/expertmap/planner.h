#pragma once

#include <swiftloft/expertmap/load-estimate.h>
#include <swiftloft/units.h>

#include <optional>
#include <string>
#include <vector>

namespace swiftloft::expertmap {

namespace internal {
class LayerSearch;
}

/// Minutes of the day, from 0 up to 1440, in which no expert is moved. One that begins later than it ends goes over
/// midnight.
struct QuietHours {
    std::uint32_t fromMinute { 0 };
    std::uint32_t toMinute { 0 };

    bool contains(std::uint32_t minuteOfDay) const;
};

/// Why a decision moved nothing, or that it did.
enum class PlanReason {
    Moved,
    /// Too few reports yet.
    NotEnoughData,
    InQuietHours,
    /// The cap on bytes a minute leaves nothing for now.
    OverByteCap,
    /// No move gains enough for its cost.
    NoGain,
};

const char* toString(PlanReason reason);

/// One expert's weights loaded into a slot; what was there is dropped.
struct ExpertMove {
    LayerIndex layer;
    ExpertIndex expert;
    RankIndex rank;
};

struct Plan {
    PlanReason reason { PlanReason::NoGain };
    /// The map to change to; unset when nothing moves.
    std::optional<ExpertMap> map;
    std::vector<ExpertMove> moves;
    Bytes bytes;
    /// Predicted part of the step time saved, 0 to 1.
    double gain { 0 };
    /// By `ReplicaPlanner`: its `imbalance` of the map planned from, and of the best one found, wanted or not.
    double imbalance { 0 };
    double plannedImbalance { 0 };
};

/// Decides which experts a rank group moves, and when that is worth it.
///
/// Local search from the current map: the expert that makes the slowest rank slow gets a replica in a spare slot of a
/// fast rank, or changes places with a cooler one. Of all such moves the one with the best gain in predicted step time per
/// byte is taken, as long as the gain over a horizon beats the cost of moving. Pure: the time comes with each call.
class Planner {
public:
    struct Options {
        /// How much a saved part of step time counts.
        double skewWeight { 1 };
        /// How much a moved byte counts.
        double rebalanceWeight { 1 };
        std::vector<QuietHours> quietHours;
        /// Cap on bytes moved; unset for none, zero moves nothing. Unused budget builds up for `burst` at most.
        std::optional<Bytes> bytesPerMinute;
        milliseconds burst { 600'000 };
        /// Size of the weights of one expert of one layer.
        Bytes bytesPerExpert { 44'000'000 };
        /// Steps over which a gain is counted; about five minutes of 6 ms steps.
        double horizonSteps { 50'000 };
        /// What moving one expert in every layer costs at weight 1, in steps. Counted so, the weights mean the same for
        /// models of few and of many layers: a layer's part of the step and its part of the cost shrink alike.
        double moveCostSteps { 100 };
        /// Least gain of a move, as a part of its layer's time. Below it lies what noise could feign.
        double minGain { 0.002 };
        /// A slot that was filled keeps its expert at least this long.
        milliseconds pinDuration { 600'000 };
        /// Bound of predictions made in one decision, and so of its time.
        std::uint32_t maxPredictions { 6'000 };
        LoadEstimate::Options estimate;
    };

    /// Fails with `InvalidArgument` when a weight is negative, quiet hours don't fit a day, or an estimate option is bad.
    static Result<Planner> create(const Options& options, const ExpertMap& current);

    /// Takes a report of tokens by layer and expert; see `LoadEstimate::observe`.
    std::optional<Error> observe(TimePoint now, std::span<const double> tokens) { return m_estimate.observe(now, tokens); }
    /// Relative speed of each rank, 1 for normal, as `StragglerDetector` finds it. A slow rank is given fewer tokens.
    std::optional<Error> setSpeeds(std::vector<double> speeds);
    /// Plans the next map. The planner takes the plan as made: call `setCurrent` if the change was given up.
    Plan plan(TimePoint now, std::uint32_t minuteOfDay);
    void setCurrent(const ExpertMap& map);

    const ExpertMap& current() const { return m_current; }
    const LoadEstimate& estimate() const { return m_estimate; }
    const std::vector<double>& speeds() const { return m_speeds; }

private:
    Planner(const Options& options, const ExpertMap& current, LoadEstimate estimate);

    std::optional<PlanReason> blockingReason(TimePoint now, std::uint32_t minuteOfDay) const;
    std::vector<internal::LayerSearch> createSearches(TimePoint now) const;
    double minGainPerExpert(double stepTime) const;
    void commitPlan(TimePoint now, std::vector<ExpertIndex> slots, Plan& plan);
    std::uint64_t expertBudget(TimePoint now) const;
    void chargeBytes(TimePoint now, Bytes bytes);

    Options m_options;
    ExpertMap m_current;
    LoadEstimate m_estimate;
    std::vector<double> m_speeds;
    /// By layer and slot: until when the slot keeps its expert.
    std::vector<TimePoint> m_pinnedUntil;
    /// Time at which all bytes moved so far are paid for at the capped rate.
    TimePoint m_budgetRestoredAt;
};

} // namespace swiftloft::expertmap
