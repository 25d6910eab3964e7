#pragma once

#include <swiftloft/units.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

/// How much to copy in one change of an expert map.
namespace swiftloft::expertmap {

/// A duration with the resolution that a forecast needs.
using ForecastTime = std::chrono::duration<double>;

/// A map that the group could reach by copying. The first stage of a list is the current map, and each further stage
/// copies more experts than the one before.
struct CopyStage {
    /// Duration of a pass with this map.
    ForecastTime passTime { 0 };
    /// Experts that the rank with the most copies has copied to get here from the current map. Ranks copy in parallel.
    std::size_t copies { 0 };
    /// Weights that all ranks together have copied to get here.
    double gigabytes { 0 };
};

/// What copying costs.
struct CopyCosts {
    /// Time in which a rank copies one expert.
    ForecastTime timePerExpert { 0 };
    /// How much longer passes last while ranks copy, as a fraction.
    double slowdown { 0 };
    /// Time that a change takes in addition to its copies, until the new map is in force.
    ForecastTime switchDelay { 0 };
    /// Time of the group that the operator gives for one gigabyte less moved.
    ForecastTime pricePerGigabyte { 0 };
};

struct CopyChoice {
    /// Index of the stage to copy next.
    std::size_t stage { 0 };
    /// Index of the stage that the group reaches by this change and those that follow it, if demand lasts.
    std::size_t lastStage { 0 };
    /// Time of the group that the copies save in total before demand shifts, less what they cost. The time is measured
    /// in passes of the current length: half of it is saved when passes take half as long.
    ForecastTime saved { 0 };
};

/// Chooses the stage that the group should change to next, given that demand is expected to last for `remainingLife`.
/// Returns `nullopt` when no change saves more than it costs. `stages` must not be empty.
///
/// A longer copy brings a better map, but the group keeps its poor map until the copy is complete, and a shift of
/// demand may overtake it. A shorter copy can be followed by others, each of which takes the switch delay again. The
/// choice weighs all sequences of changes against each other. It assumes that demand shifts at any moment with the same
/// probability.
std::optional<CopyChoice> chooseCopies(const std::vector<CopyStage>& stages, const CopyCosts& costs, ForecastTime remainingLife);

} // namespace swiftloft::expertmap
