#pragma once

#include <swiftloft/expertmap/protocol.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace swiftloft::expertmap {

namespace coordination {

struct ReportReceived {
    RankReport report;
};
struct HelloReceived {
    RankHello hello;
};
/// The group is to run with `version` from now on, also after restarts. Replaces an earlier request. If a rank may
/// already be armed for a switch (ordered to hold before the switch step until a `Go` or a `Cancel`), that switch is
/// completed first.
struct MapChangeRequested {
    MapVersion version;
};
/// The request is withdrawn and the group keeps its current map. If a rank may already be armed for a switch, that
/// switch is still completed.
struct MapChangeWithdrawn { };
/// Time has passed. The caller delivers this event at least every `Options::retryInterval`.
struct Ticked { };

using Event = std::variant<ReportReceived, HelloReceived, MapChangeRequested, MapChangeWithdrawn, Ticked>;

/// Send the order to the agent at the address of its rank.
struct SendOrder {
    RankOrder order;
};
/// Every rank has entered `point.step` with `point.version`.
struct ChangeFinished {
    SwitchPoint point;
};
/// A rank entered `point.step` before it was armed. All ranks enter that step with their current map, and a later
/// switch step is chosen.
struct ChangePostponed {
    SwitchPoint point;
};
/// A newer coordinator exists. This one takes no further action; its process starts a new coordinator if it still runs
/// rank 0.
struct SteppedDown {
    FencingNumber newer;
};

using Effect = std::variant<SendOrder, ChangeFinished, ChangePostponed, SteppedDown>;
using Effects = std::vector<Effect>;

} // namespace coordination

/// What a coordinator is currently doing, for status pages.
enum class CoordinatorPhase {
    /// Reads the status of all ranks and sends no other order.
    Inquiring,
    Idle,
    /// Ranks load the target map beside the current one.
    Staging,
    /// Ranks are ordered to hold before the switch step.
    Arming,
    /// All ranks are armed or one has already switched: each is ordered to switch.
    Confirming,
    /// A rank entered the switch step before it was armed: the armed ranks are ordered to continue with the current
    /// map.
    Cancelling,
    /// A restarted engine is readmitted with the map of the group.
    Admitting,
    SteppedDown,
};

const char* toString(CoordinatorPhase phase);

/// The single coordinator of a rank group, run by the agent of rank 0. The ranks step in lock-step and can't step
/// without rank 0. If the coordinator fails, the group stops anyway, so there is no leader election.
///
/// The coordinator decides by the state of the engines only, not by anything it remembers. A switch for which any rank
/// is armed is always completed, unless some rank has already entered the switch step with the old map. Two
/// coordinators that both believe they are in charge therefore reach the same outcome.
class Coordinator {
public:
    struct Options {
        Incarnation incarnation;
        std::uint32_t ranks { 0 };
        /// Map with which engines are admitted when no rank of the group has a map (first start, or all ranks
        /// restarted) and none has been requested.
        MapVersion initial;
        /// Number of ranks that load weights at the same time. Limits the part of the weight store's transfer rate that
        /// the group uses.
        std::uint32_t maxStagingRanks { 1 };
        /// Steps between the newest known step and the first switch step that is tried. Doubled each time a rank
        /// reaches the switch step before it is armed.
        std::uint64_t leadSteps { 32 };
        /// Upper bound of the lead after doubling.
        std::uint64_t maxLeadSteps { 4096 };
        milliseconds retryInterval { 20 };
        /// Interval at which ranks are read while no change is in progress, to detect restarted engines.
        milliseconds idleReadInterval { 1000 };
        /// Interval at which a rank that loads weights is polled for completion.
        milliseconds stagePollInterval { 200 };
        /// When positive, replaces `leadSteps` once the duration of a step is known: the lead is the number of steps
        /// that together last at least this long. The lead covers the arming of all ranks, which takes a certain time
        /// rather than a number of steps.
        milliseconds leadTime { 0 };
        /// Shortest time over which the duration of a step is measured. If one rank is read just before and another
        /// just after the start of a step, the two reports arrive within a millisecond of each other. If the duration
        /// were measured between these reports, a step would seem that short, and the switch would be scheduled up to
        /// `maxLeadSteps` ahead, seconds late.
        milliseconds minStepMeasurementTime { 200 };
    };

    /// Fails with `InvalidArgument` when `ranks` or `maxStagingRanks` is zero, when an interval or `leadSteps` is not
    /// positive, when `leadSteps` exceeds `maxLeadSteps`, or when the incarnation is zero.
    static Result<Coordinator> create(const Options& options);

    coordination::Effects apply(TimePoint now, const coordination::Event& event);

    CoordinatorPhase phase() const { return m_phase; }
    FencingNumber fence() const { return m_fence; }
    std::optional<MapVersion> targetMap() const { return m_targetMap; }
    /// The switch point that some rank is armed for, if any; the earliest if there are several.
    std::optional<SwitchPoint> pendingSwitch() const;
    /// True once the rank has reported that it is armed for `pendingSwitch()`.
    bool isKnownArmed(RankIndex rank) const;
    /// Ranks whose status this coordinator has not received yet. No change starts while there are any.
    std::vector<RankIndex> ranksWithoutStatus() const;
    /// Ranks that have not reported since `time`. Status pages list them when the group holds.
    std::vector<RankIndex> silentRanks(TimePoint time) const;

private:
    struct RankView {
        std::optional<EngineStatus> status;
        /// Round of the report that contained `status`.
        std::uint64_t round { 0 };
        TimePoint reportedAt;
        std::optional<Order> lastOrder;
        TimePoint resendAt;
    };

    explicit Coordinator(const Options& options);

    void onReport(TimePoint now, const RankReport& report, coordination::Effects& effects);
    void onHello(TimePoint now, const RankHello& hello, coordination::Effects& effects);
    void restartInquiry(FencingNumber newer);
    void advance(TimePoint now, coordination::Effects& effects);
    bool hasAllStatuses() const;
    void readAll(TimePoint now, milliseconds every, coordination::Effects& effects);

    void resolveSwitch(TimePoint now, const SwitchPoint& point, coordination::Effects& effects);
    void release(TimePoint now, const SwitchPoint& point, coordination::Effects& effects);
    void cancel(TimePoint now, const SwitchPoint& point, coordination::Effects& effects);
    void armRemaining(TimePoint now, const SwitchPoint& point, coordination::Effects& effects);
    std::vector<Incarnation> unadmittedEngines() const;
    bool admitEngines(TimePoint now, coordination::Effects& effects);
    void readmit(TimePoint now, std::uint32_t rank, const std::optional<SwitchPoint>& point, coordination::Effects& effects);
    bool stage(TimePoint now, MapVersion version, coordination::Effects& effects);
    void advanceChange(TimePoint now, MapVersion version, coordination::Effects& effects);
    void finishChange(coordination::Effects& effects);
    void dropOldMaps(TimePoint now, coordination::Effects& effects);

    MapVersion groupMap() const;
    StepNumber newestStep() const;
    void measureStep(TimePoint now, StepNumber newest);
    std::uint64_t effectiveLeadSteps() const;
    void send(TimePoint now, std::uint32_t rank, const Order& order, coordination::Effects& effects, std::optional<milliseconds> every = std::nullopt);

    Options m_options;
    FencingNumber m_fence;
    CoordinatorPhase m_phase { CoordinatorPhase::Inquiring };
    std::vector<RankView> m_ranks;
    std::uint64_t m_round { 0 };
    std::optional<MapVersion> m_targetMap;
    /// The switch point that this coordinator last armed or found armed.
    std::optional<SwitchPoint> m_switchPoint;
    /// Doubled each time a rank reaches the switch step before it is armed.
    std::uint64_t m_leadFactor { 1 };
    /// Newest known step at the last measurement, the time of that measurement, and the measured duration of one step.
    StepNumber m_measuredStep;
    TimePoint m_measuredAt;
    std::optional<Clock::duration> m_stepTime;
    /// Engines found waiting for admission. They are admitted once every rank has reported in a round after
    /// `m_freshAfterRound`.
    std::vector<Incarnation> m_unadmittedEngines;
    std::uint64_t m_freshAfterRound { 0 };
    /// True once this coordinator has had the status of every rank and was able to send orders other than reads.
    bool m_hasLed { false };
};

} // namespace swiftloft::expertmap
