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

/// Daily period in which no expert is moved, in minutes of the day from 0 up to 1440. A period that begins later than
/// it ends spans midnight.
struct QuietHours {
    std::uint32_t fromMinute { 0 };
    std::uint32_t toMinute { 0 };

    bool contains(std::uint32_t minuteOfDay) const;
};

/// Outcome of a planning decision: that experts are moved, or why none are.
enum class PlanReason {
    Moved,
    /// Too few reports or tokens so far.
    NotEnoughData,
    InQuietHours,
    /// The cap on bytes per minute leaves no budget at present.
    OverByteCap,
    /// No move gains enough to justify its cost.
    NoGain,
};

const char* toString(PlanReason reason);

/// Load of one expert's weights into a slot of a rank. The previous content of the slot is dropped.
struct ExpertMove {
    LayerIndex layer;
    ExpertIndex expert;
    RankIndex rank;
};

struct Plan {
    PlanReason reason { PlanReason::NoGain };
    /// Map to change to; unset when no expert moves.
    std::optional<ExpertMap> map;
    std::vector<ExpertMove> moves;
    Bytes bytes;
    /// Predicted fraction of the step time saved, 0 to 1.
    double gain { 0 };
    /// Set by `ReplicaPlanner`: its `imbalance` of the current map, and of the best map found, even if that map is
    /// not worth a change.
    double imbalance { 0 };
    double plannedImbalance { 0 };
    /// Set by `ReplicaPlanner`: number of experts that the rank with the most copies has to copy.
    std::uint32_t copiesPerRank { 0 };
};

/// Decides which experts of a rank group to move, and when a move is worth its cost.
///
/// Searches locally from the current map: the expert that makes the slowest rank slow gets a replica in a spare slot of
/// a fast rank, or is swapped with a less loaded expert. Of all such moves, the planner takes the one with the best
/// gain in predicted step time per byte, as long as the gain over the next `Options::horizonSteps` steps exceeds the
/// cost of moving. The planner reads no clock: the time is passed with each call.
class Planner {
public:
    struct Options {
        /// Weight of a saved fraction of the step time.
        double skewWeight { 1 };
        /// Weight of a moved byte.
        double rebalanceWeight { 1 };
        std::vector<QuietHours> quietHours;
        /// Cap on bytes moved per minute; unset means no cap, zero means that nothing is moved. Unused budget
        /// accumulates for at most `burst`.
        std::optional<Bytes> bytesPerMinute;
        milliseconds burst { 600'000 };
        /// Size of the weights of one expert in one layer.
        Bytes bytesPerExpert { 44'000'000 };
        /// Number of steps over which a gain is counted; about five minutes at 6 ms per step.
        double horizonSteps { 50'000 };
        /// Cost, in steps, of moving one expert in every layer at weight 1. A move in a single layer costs this value
        /// divided by the number of layers. In a model with more layers, each layer's fraction of the step time shrinks
        /// alike, so the weights mean the same for models with few and with many layers.
        double moveCostSteps { 100 };
        /// Minimum gain of a move, as a fraction of its layer's time. Noise alone can produce smaller apparent gains.
        double minGain { 0.002 };
        /// Minimum time that a filled slot keeps its expert.
        milliseconds pinDuration { 600'000 };
        /// Maximum number of predictions in one decision, which bounds the time that the decision takes.
        std::uint32_t maxPredictions { 6'000 };
        LoadEstimate::Options estimate;
    };

    /// Fails with `InvalidArgument` when a weight or the minimum gain is negative, the horizon or the size of an
    /// expert is not positive, quiet hours do not fit into a day, or an estimate option is invalid.
    static Result<Planner> create(const Options& options, const ExpertMap& current);

    /// Adds a report of tokens by layer and expert; see `LoadEstimate::observe`.
    std::optional<Error> observe(TimePoint now, std::span<const double> tokens) { return m_estimate.observe(now, tokens); }
    /// Sets the relative speed of each rank, 1 for normal, as measured by `StragglerDetector`. A slow rank is
    /// assigned fewer tokens.
    std::optional<Error> setSpeeds(std::vector<double> speeds);
    /// Plans the next map. The planner assumes that the plan is carried out. If the change is abandoned, call
    /// `setCurrent` with the map that the group keeps.
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
    /// Time until which each slot keeps its expert, by layer and slot.
    std::vector<TimePoint> m_pinnedUntil;
    /// Time at which `Options::bytesPerMinute` will have allowed for all bytes moved so far.
    TimePoint m_budgetRestoredAt;
};

} // namespace swiftloft::expertmap
