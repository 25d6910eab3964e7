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

/// What the engine of a rank says of itself.
struct EngineView {
    /// Start of its process; a later one has forgotten all commands and fences.
    gateway::ServerStartTime startedAt;
    EngineGroupName group;
    /// Counts the formations of the group; it ends whenever a rank is lost.
    std::uint64_t epoch { 0 };
    RankIndex rank;
    std::uint32_t ranks { 0 };
    /// The group takes requests. While it does not, there is no step and no map to speak of.
    bool isOpen { false };
    /// 1 is normal, above it slower.
    double pace { 1 };
    MapVersion map;
    /// Step begun last.
    StepNumber step;
    /// A map whose weights are loaded and that the rank does not run.
    std::optional<MapVersion> prepared;
    std::optional<expertmap::SwitchPoint> armed;
    /// The group does not begin this step before the rank is released.
    std::optional<StepNumber> heldAt;
};

/// What the engine counted and holds, by layer and expert.
struct EngineCounts {
    std::vector<std::uint64_t> tokens;
    /// Map that it runs, and its experts by layer.
    MapVersion map;
    std::vector<std::vector<ExpertIndex>> experts;
};

/// One call that changes the engine. All name the epoch that they are meant for.
struct EngineCommand {
    enum class Kind {
        /// Load the weights of `map` beside the current ones.
        Prepare,
        /// Run `version` from `step` on.
        Arm,
        Disarm,
        /// Keep the group from beginning `step`.
        Hold,
        Release,
    };

    Kind kind { Kind::Hold };
    std::uint64_t epoch { 0 };
    /// Rises with each command: an engine that checks it refuses a late copy of an older one. 0 for a command without one,
    /// which is never refused for its fence.
    std::uint64_t fence { 0 };
    MapVersion version;
    StepNumber step;
    const expertmap::ExpertMap* map { nullptr };
};

enum class CommandEnd {
    Done,
    /// Does not fit the engine's state, or the epoch.
    Refused,
    /// A higher fence has been seen.
    Fenced,
};

/// The calls of an agent to the engine in whose slot it runs. They throw when there is no answer by `deadline`; a command
/// without an answer may be carried out later.
struct EnginePort {
    std::function<boost::asio::awaitable<EngineView>(TimePoint deadline)> read;
    std::function<boost::asio::awaitable<EngineCounts>(TimePoint deadline)> readCounts;
    /// The same without `tokens`, which are most of what is read.
    std::function<boost::asio::awaitable<EngineCounts>(TimePoint deadline)> readHeld;
    std::function<boost::asio::awaitable<CommandEnd>(EngineCommand command, TimePoint deadline)> command;
};

} // namespace swiftloft::agent
