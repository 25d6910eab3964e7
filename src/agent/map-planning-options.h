#pragma once

#include "src/agent/map-scheduler.h"
#include "src/gateway/model.h"
#include "src/gateway/settings.h"

#include <swiftloft/expertmap/replica-planner.h>

namespace swiftloft::agent {

struct MapPlanningOptions {
    expertmap::ReplicaPlanner::Options planner;
    MapScheduler::Options scheduler;
};

/// Returns the options with which rank 0 plans the maps of a group, from the agent's settings and the traits of the
/// group's engines.
MapPlanningOptions mapPlanningOptions(const gateway::AgentSettings& settings, const gateway::EngineTraits& traits);

} // namespace swiftloft::agent
