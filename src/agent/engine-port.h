#pragma once

#include "src/gateway/model.h"

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/expertmap/rank-agent.h>
#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace swiftloft::agent {

/// State that the engine of a rank reports.
struct EngineView {
    /// Start time of the engine's process. A process that started later has lost all commands and fences.
    gateway::ServerStartTime startedAt;
    EngineGroupName group;
    /// Increases each time the ranks form the group. An epoch ends whenever a rank is lost.
    std::uint64_t epoch { 0 };
    RankIndex rank;
    std::uint32_t ranks { 0 };
    /// True while the group takes requests. Otherwise `step` and `map` have no meaning.
    bool isOpen { false };
    /// Slowness relative to normal: 1 is normal, higher values are slower.
    double pace { 1 };
    MapVersion map;
    /// Step begun last.
    StepNumber step;
    /// Map whose weights the engine has loaded but that the rank does not run yet.
    std::optional<MapVersion> prepared;
    std::optional<expertmap::SwitchPoint> armed;
    /// The rank is held before this step: the group does not begin the step until the rank is released.
    std::optional<StepNumber> heldStep;
};

/// Tokens that the engine has counted, by layer and expert, and the experts that it holds.
struct EngineCounts {
    std::vector<std::uint64_t> tokens;
    /// Map that the engine runs, and the experts that it holds, by layer.
    MapVersion map;
    std::vector<std::vector<ExpertIndex>> experts;
};

/// One call that changes the state of the engine. Each command contains the epoch of the group for which the command is
/// meant.
struct EngineCommand {
    enum class Kind {
        /// Loads the weights of `map` beside the current ones.
        Prepare,
        /// Makes the rank run `version` from `step` on.
        Arm,
        Disarm,
        /// Keeps the group from beginning `step`.
        Hold,
        Release,
    };

    Kind kind { Kind::Hold };
    std::uint64_t epoch { 0 };
    /// Fencing number, which increases with each command. An engine that checks fences rejects a late copy of an older
    /// command. A command with 0 has no fence and is never rejected for this reason.
    std::uint64_t fence { 0 };
    MapVersion version;
    StepNumber step;
    const expertmap::ExpertMap* map { nullptr };
};

enum class CommandOutcome {
    Done,
    /// The command does not fit the engine's state or epoch.
    Refused,
    /// The engine has seen a higher fence.
    Fenced,
};

/// Calls of an agent to the engine in its slot. They throw if no response arrives by `deadline`; a command without a
/// response may still be executed later.
struct EnginePort {
    std::function<boost::asio::awaitable<EngineView>(TimePoint deadline)> read;
    std::function<boost::asio::awaitable<EngineCounts>(TimePoint deadline)> readCounts;
    /// Like `readCounts`, but without `tokens`, which make up most of the data.
    std::function<boost::asio::awaitable<EngineCounts>(TimePoint deadline)> readHeldExperts;
    std::function<boost::asio::awaitable<CommandOutcome>(EngineCommand command, TimePoint deadline)> command;
};

} // namespace swiftloft::agent
