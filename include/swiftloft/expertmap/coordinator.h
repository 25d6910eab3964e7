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
/// The group shall run with `version`, now and after restarts. Replaces an earlier wish; a switch that a rank may be
/// armed for is seen through first.
struct MapChangeRequested {
    MapVersion version;
};
/// The wish is withdrawn: the group keeps the map it has. A switch that a rank may be armed for is seen through.
struct MapChangeWithdrawn { };
/// Time passed. Deliver one at least every `Options::retryAfter`.
struct Ticked { };

using Event = std::variant<ReportReceived, HelloReceived, MapChangeRequested, MapChangeWithdrawn, Ticked>;

/// Send to the agent at the address of the rank.
struct SendOrder {
    RankOrder order;
};
/// Every rank has entered `point.step` with `point.version`.
struct ChangeFinished {
    SwitchPoint point;
};
/// A rank had passed `point.step` before it could be armed; all ranks keep their map there and a later step is tried.
struct ChangePostponed {
    SwitchPoint point;
};
/// A newer coordinator has spoken. This one does nothing any more; its process starts a new one if it still runs
/// rank 0.
struct SteppedDown {
    FencingNumber newer;
};

using Effect = std::variant<SendOrder, ChangeFinished, ChangePostponed, SteppedDown>;
using Effects = std::vector<Effect>;

} // namespace coordination

/// What a coordinator is about, for status pages.
enum class CoordinatorPhase {
    /// Asking all ranks what they hold; gives no other order.
    Inquiring,
    Idle,
    /// Ranks load the wanted map beside the current one.
    Staging,
    /// Ranks are told to hold before the switch step.
    Arming,
    /// All ranks are armed or one has switched: each is told to go.
    Confirming,
    /// A rank had passed the switch step: the armed ones are told to go on with the current map.
    Cancelling,
    /// A restarted engine is brought back with the map of the group.
    Admitting,
    SteppedDown,
};

const char* toString(CoordinatorPhase phase);

/// The only coordinator of a rank group, run by the agent of rank 0. A group in lock-step cannot step without rank 0,
/// so nobody is elected: the death of the coordinator stops the group anyway.
///
/// Its decisions follow from what the engines hold and from nothing it remembers. A switch point that any rank is armed
/// for is always carried forward, unless some rank has already entered that step with the old map. So two coordinators
/// that both believe to be in charge come to the same outcome.
class Coordinator {
public:
    struct Options {
        Incarnation incarnation;
        std::uint32_t ranks { 0 };
        /// Map to admit engines with when no rank of the group has one (first start, or all restarted) and none is wanted.
        MapVersion initial;
        /// Ranks that load weights at the same time; keeps the group within its share of the weight store's rate.
        std::uint32_t maxStagingRanks { 1 };
        /// Steps between the newest known step and the first switch step tried; doubled when that was too few.
        std::uint64_t leadSteps { 32 };
        /// Bound of that doubling.
        std::uint64_t maxLeadSteps { 4096 };
        milliseconds retryInterval { 20 };
        /// Ranks are read this often while nothing happens, to find restarted engines.
        milliseconds idleReadInterval { 1000 };
        /// A rank that loads weights is asked this often whether it has them.
        milliseconds stagePollInterval { 200 };
        /// When positive, takes the place of `leadSteps` once the time of a step is known: the lead is as many steps as
        /// last at least this long. What the lead is for, arming all ranks, takes time and not steps.
        milliseconds leadTime { 0 };
        /// The time of a step is measured over this long at least. Reports of two ranks that were read on both sides of a
        /// step's begin come within a millisecond; measured between them a step passes for that short, and the switch is
        /// put up to `maxLeadSteps` ahead, seconds late.
        milliseconds minStepMeasurementTime { 200 };
    };

    /// Fails with `InvalidArgument` when there is no rank, a time or lead is not positive, or the incarnation is zero.
    static Result<Coordinator> create(const Options& options);

    coordination::Effects apply(TimePoint now, const coordination::Event& event);

    CoordinatorPhase phase() const { return m_phase; }
    FencingNumber fence() const { return m_fence; }
    std::optional<MapVersion> targetMap() const { return m_targetMap; }
    /// The switch point that some rank is armed for, if any.
    std::optional<SwitchPoint> pendingSwitch() const;
    /// True once the rank has reported that it is armed for `pending`.
    bool isKnownArmed(RankIndex rank) const;
    /// Ranks whose state is not known since this coordinator began; while any is left, no change starts.
    std::vector<RankIndex> ranksWithoutStatus() const;
    /// Ranks that have not reported since `time`; what a status page names when the group holds.
    std::vector<RankIndex> silentRanks(TimePoint time) const;

private:
    struct RankView {
        std::optional<EngineStatus> status;
        /// Round of the report that `status` came with.
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
    /// The switch point this coordinator armed or found armed last.
    std::optional<SwitchPoint> m_switchPoint;
    /// Doubled with each switch step that was reached too soon.
    std::uint64_t m_leadFactor { 1 };
    /// Newest step known, since when, and how long the steps before it took each.
    StepNumber m_measuredStep;
    TimePoint m_measuredAt;
    std::optional<Clock::duration> m_stepTime;
    /// Engines seen waiting to be admitted; they are, once every rank has reported in a round after `m_freshRound`.
    std::vector<Incarnation> m_unadmittedEngines;
    std::uint64_t m_freshAfterRound { 0 };
    bool m_hasLed { false };
};

} // namespace swiftloft::expertmap
