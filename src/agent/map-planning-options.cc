#include "src/agent/map-planning-options.h"

#include <algorithm>

namespace swiftloft::agent {

using namespace expertmap;

namespace {

constexpr double megabytesPerGigabyte = 1000;
/// Shortest time of copies that is worth a change of its own, because each change takes the time of a switch as well.
constexpr milliseconds minCopyTime { 40 };
/// Longest time of the copies of one change, if the settings don't say. Passes last longer meanwhile, and where they are
/// close to the gap that callers allow, all streams of the group are late for that time.
constexpr milliseconds defaultMaxCopyTime { 80 };
/// Number of maps that are compared for one change. Bounds the time of a plan.
constexpr std::uint32_t maxCopyStages = 4;

/// Part of the possible gain of a change that is worth its copies. Ranks that are not among the slowest would copy for the
/// rest.
constexpr double plannedGainShare = 0.9;

/// Time in which a rank copies one expert; 0 if unknown.
ForecastTime copyTimePerExpert(const gateway::EngineTraits& traits)
{
    constexpr double bitsPerByte = 8;
    return traits.linkMbps > 0 ? ForecastTime(traits.expertMegabytes * bitsPerByte / traits.linkMbps) : ForecastTime(0);
}

/// Number of experts that a rank can copy in `time`, at least one.
std::uint32_t expertsCopiedWithin(milliseconds time, const gateway::EngineTraits& traits)
{
    auto timePerExpert = copyTimePerExpert(traits);
    return timePerExpert > ForecastTime(0) ? std::max(1U, static_cast<std::uint32_t>(time / timePerExpert)) : 1;
}

/// Duration of a pass with next to no load. A pass is what the engine runs between two checks of its request queue.
Clock::duration basePassTime(const gateway::EngineTraits& traits)
{
    std::chrono::duration<double, std::milli> pass(traits.stepMs * traits.stepsPerPass);
    return std::chrono::duration_cast<Clock::duration>(pass);
}

} // namespace

MapPlanningOptions mapPlanningOptions(const gateway::AgentSettings& settings, const gateway::EngineTraits& traits)
{
    MapPlanningOptions options;
    options.scheduler.basePassTime = basePassTime(traits);
    options.scheduler.forecast = { copyTimePerExpert(traits), traits.expertMegabytes / megabytesPerGigabyte, ForecastTime(settings.movedGigabytePrice) };
    options.scheduler.copiesPerStage = expertsCopiedWithin(minCopyTime, traits);
    options.planner.halfLife = settings.loadHalfLife;
    options.planner.minGain = settings.minGain;
    options.planner.gainShare = plannedGainShare;
    options.planner.maxCopiesPerRank = maxCopyStages * options.scheduler.copiesPerStage;
    // Where experts take so long that hardly any fits into the default time, the forecast alone decides.
    auto maxCopies = settings.maxCopyTime ? expertsCopiedWithin(*settings.maxCopyTime, traits) : std::max(expertsCopiedWithin(defaultMaxCopyTime, traits), maxCopyStages);
    options.planner.maxCopiesPerRank = std::min(options.planner.maxCopiesPerRank, maxCopies);
    options.planner.maxCopiesPerRankAndLayer = std::max(traits.spareSlots, 1U);
    return options;
}

} // namespace swiftloft::agent
