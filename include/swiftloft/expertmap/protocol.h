#pragma once

#include <swiftloft/ids.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Expert maps of rank groups: the protocol that changes them and the policy that plans them.
///
/// This header defines the messages and the engine status that `Coordinator` and `RankAgent` share. Both classes are
/// pure reducers: they take events and return effects as data, without a clock or I/O of their own.
/// docs/design/expert-maps.md describes the protocol, its proof and its requirements on engines.
namespace swiftloft::expertmap {

/// Orders coordinators by age: a higher counter is newer, and `holder` breaks ties. A coordinator takes a counter above
/// every counter that a rank of its group has seen.
struct FencingNumber {
    std::uint64_t counter { 0 };
    Incarnation holder;

    friend auto operator<=>(const FencingNumber&, const FencingNumber&) = default;
};

/// The step from which on all ranks run with `version`. A coordinator never uses one step for two switch points.
struct SwitchPoint {
    MapVersion version;
    StepNumber step;

    friend auto operator<=>(const SwitchPoint&, const SwitchPoint&) = default;
};

/// The state of an engine, as the engine reports it. Agents read this state and never assume it, as it is the only
/// state that survives the restart of an agent.
struct EngineStatus {
    /// Differs for each incarnation of the engine process.
    Incarnation engine;
    /// False from the engine's start until an `Admit`. The engine enters no step before it is admitted.
    bool isAdmitted { false };
    /// Map of the step entered last, or the map with which the engine was admitted.
    MapVersion current;
    /// Step entered last; 0 before the first step.
    StepNumber entered;
    /// The switch point that the engine does not pass without a `Go` or a `Cancel`.
    std::optional<SwitchPoint> armed;
    /// True once a `Go` for `armed` has been accepted.
    bool isReleased { false };
    /// Maps whose weights are completely loaded, `current` among them.
    std::vector<MapVersion> staged;

    bool hasStaged(MapVersion version) const;
    /// True when the engine entered `point.step` with `point.version` or has been released to do so.
    bool isCommittedTo(const SwitchPoint& point) const;
    /// True when the engine entered `point.step` with another map.
    bool hasMissed(const SwitchPoint& point) const;
    bool isArmedFor(const SwitchPoint& point) const { return armed == point; }

    friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

// Orders. Each is idempotent and conditional on the engine's state, so that a late or duplicated copy has no effect.

/// Requests the status only.
struct ReadStatus {
    friend bool operator==(const ReadStatus&, const ReadStatus&) = default;
};
/// Loads the weights of `version` beside the current map. The engine responds immediately; the map appears in `staged`
/// when loading has finished.
struct StageMap {
    MapVersion version;

    friend bool operator==(const StageMap&, const StageMap&) = default;
};
/// Drops every staged map but `keep`. An engine never drops its current or armed map.
struct DropMaps {
    MapVersion keep;

    friend bool operator==(const DropMaps&, const DropMaps&) = default;
};
/// Lets a started engine step with `version`. If `arm` is set, the engine is armed for that switch point from the
/// start. Ignored once the engine is admitted.
struct Admit {
    MapVersion version;
    std::optional<SwitchPoint> arm;

    friend bool operator==(const Admit&, const Admit&) = default;
};
/// Holds the engine before `point.step` until a `Go` or `Cancel` for `point`. Ignored when that step has been entered,
/// when the map is not staged, or when the engine is armed for another switch point.
struct Arm {
    SwitchPoint point;

    friend bool operator==(const Arm&, const Arm&) = default;
};
/// Lets the engine enter `point.step` with `point.version`. Ignored unless the engine is armed for `point`.
struct Go {
    SwitchPoint point;

    friend bool operator==(const Go&, const Go&) = default;
};
/// Lets the engine enter `point.step` with the current map. Ignored unless the engine is armed for `point` and not yet
/// released.
struct Cancel {
    SwitchPoint point;

    friend bool operator==(const Cancel&, const Cancel&) = default;
};

using Order = std::variant<ReadStatus, StageMap, DropMaps, Admit, Arm, Go, Cancel>;

/// Short stable name of an order for logs and JSON messages, such as "arm".
const char* nameOf(const Order& order);

/// Message from the coordinator to a rank agent.
struct RankOrder {
    FencingNumber fence;
    /// Sequence number of one coordinator's orders; the report that answers an order carries the same number.
    std::uint64_t round { 0 };
    RankIndex rank;
    /// The engine incarnation for which the coordinator made its decision. An order for an earlier incarnation is not
    /// forwarded to the engine. Unset in a `ReadStatus`.
    std::optional<Incarnation> engine;
    Order order;
};

/// Message from a rank agent to the coordinator whose order it answers.
struct RankReport {
    RankIndex rank;
    Incarnation agent;
    /// The highest fencing number that this agent or its engine has seen.
    FencingNumber promised;
    /// Round of the order answered. The status was read from the engine after that order arrived.
    std::uint64_t round { 0 };
    /// Unset when the engine could not be read.
    std::optional<EngineStatus> status;
};

/// Token counts of one rank and the experts that it holds, for the planner at rank 0.
struct RankLoads {
    RankIndex rank;
    /// Counts restart at zero with each incarnation of the engine.
    Incarnation engine;
    /// Step at which the counts were read; loads with a later step are newer.
    StepNumber step;
    /// Map that the rank runs.
    MapVersion map;
    /// The rank's experts by layer and slot; `noExpert` for an empty slot.
    std::vector<ExpertIndex> held;
    /// How often the rank's requests chose each expert, by layer and expert, since the engine's incarnation began,
    /// modulo 2^16; receivers compute differences. Empty from a rank that reports only the experts it holds.
    std::vector<std::uint32_t> tokens;
    /// Duration of the rank's work relative to its usual duration, as reported by its engine; 1 is usual.
    double pace { 1 };
};

/// Message from a rank agent to the process at the address of rank 0, sent when the agent has just started or while its
/// engine waits for a decision.
struct RankHello {
    RankIndex rank;
    Incarnation agent;
};

} // namespace swiftloft::expertmap
