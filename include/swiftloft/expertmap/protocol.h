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
/// This header holds the messages and the view of an engine that `Coordinator` and `RankAgent` share. Both are pure
/// reducers: events in, effects out as data, no clock and no I/O of their own. docs/design/expert-maps.md gives the
/// protocol, its proof and what it needs from engines.
namespace swiftloft::expertmap {

/// Orders coordinators by age: a higher counter is newer, and `holder` breaks a tie. A coordinator takes a counter above
/// every one that a rank of its group has seen.
struct FencingNumber {
    std::uint64_t counter { 0 };
    Incarnation holder;

    friend auto operator<=>(const FencingNumber&, const FencingNumber&) = default;
};

/// "From `step` on, run with `version`." A coordinator never uses one step for two switch points.
struct SwitchPoint {
    MapVersion version;
    StepNumber step;

    friend auto operator<=>(const SwitchPoint&, const SwitchPoint&) = default;
};

/// What an engine says of itself. Read, never assumed: it is the only state that survives an agent.
struct EngineStatus {
    /// Differs for each life of the engine process.
    Incarnation engine;
    /// False from the engine's start until an `Admit`; it enters no step before.
    bool isAdmitted { false };
    /// Map of the step entered last, or the map admitted with.
    MapVersion current;
    /// Step entered last; 0 before the first.
    StepNumber entered;
    /// The switch point it will not pass without a `Go` or a `Cancel`.
    std::optional<SwitchPoint> armed;
    /// True once a `Go` for `armed` has been taken.
    bool isReleased { false };
    /// Maps whose weights are loaded whole, `current` among them.
    std::vector<MapVersion> staged;

    bool hasStaged(MapVersion version) const;
    /// True when the engine runs `point.step` with `point.version`, or must: it entered it so or was released to.
    bool isCommittedTo(const SwitchPoint& point) const;
    /// True when the engine entered `point.step` with another map.
    bool hasMissed(const SwitchPoint& point) const;
    bool isArmedFor(const SwitchPoint& point) const { return armed == point; }

    friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

// Orders. Each is idempotent and conditional on the engine's state, so that a late or doubled copy changes nothing.

/// Asks for the status only.
struct ReadStatus {
    friend bool operator==(const ReadStatus&, const ReadStatus&) = default;
};
/// Load the weights of `version` beside the current map. The answer comes at once; `staged` shows the end.
struct StageMap {
    MapVersion version;

    friend bool operator==(const StageMap&, const StageMap&) = default;
};
/// Drop every staged map but `keep`. An engine never drops its current or armed map.
struct DropMaps {
    MapVersion keep;

    friend bool operator==(const DropMaps&, const DropMaps&) = default;
};
/// Let a started engine step with `version`, armed from the first moment if `arm` is set. Ignored once admitted.
struct Admit {
    MapVersion version;
    std::optional<SwitchPoint> arm;

    friend bool operator==(const Admit&, const Admit&) = default;
};
/// Do not enter `point.step` before a `Go` or `Cancel` for `point`. Ignored when that step was entered, when the map
/// is not staged, or when another switch point is armed.
struct Arm {
    SwitchPoint point;

    friend bool operator==(const Arm&, const Arm&) = default;
};
/// Enter `point.step` with `point.version`. Ignored unless armed for `point`.
struct Go {
    SwitchPoint point;

    friend bool operator==(const Go&, const Go&) = default;
};
/// Enter `point.step` with the current map. Ignored unless armed for `point` and not yet released.
struct Cancel {
    SwitchPoint point;

    friend bool operator==(const Cancel&, const Cancel&) = default;
};

using Order = std::variant<ReadStatus, StageMap, DropMaps, Admit, Arm, Go, Cancel>;

/// Short stable name for logs, such as "arm".
const char* nameOf(const Order& order);

/// Coordinator to rank agent.
struct RankOrder {
    FencingNumber fence;
    /// Counts the orders of one coordinator; the report that answers carries it back.
    std::uint64_t round { 0 };
    RankIndex rank;
    /// The engine life that the coordinator decided upon; an order for an earlier life is not passed on. Unset in a
    /// `ReadStatus`.
    std::optional<Incarnation> engine;
    Order order;
};

/// Rank agent to the coordinator that asked.
struct RankReport {
    RankIndex rank;
    Incarnation agent;
    /// The highest fencing number this agent or its engine has seen.
    FencingNumber promised;
    /// Of the order answered. The status was read from the engine after that order arrived.
    std::uint64_t round { 0 };
    /// Unset when the engine could not be read.
    std::optional<EngineStatus> status;
};

/// What the engine of a rank counted and holds, for the planner at rank 0.
struct RankLoads {
    RankIndex rank;
    /// Counts begin anew with each life of the engine.
    Incarnation engine;
    /// Step at which it was read; a later one is newer.
    StepNumber step;
    /// Map that the rank runs.
    MapVersion map;
    /// Its experts by layer and slot; `noExpert` for an empty slot.
    std::vector<ExpertIndex> held;
    /// How often its requests chose each expert, by layer and expert, since the life began, modulo 2^16: receivers take
    /// differences. Empty from a rank that tells only what it holds.
    std::vector<std::uint32_t> tokens;
    /// How much longer the rank's work takes than usual, by its engine's word; 1 is usual.
    double pace { 1 };
};

/// Rank agent to whoever is at the address of rank 0: "I have just started", or "my engine waits; what holds?".
struct RankHello {
    RankIndex rank;
    Incarnation agent;
};

} // namespace swiftloft::expertmap
