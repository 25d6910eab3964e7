#pragma once

#include "src/gateway/capacity/service-estimate.h"
#include "src/gateway/cold-server-limits.h"
#include "src/gateway/homes.h"
#include "src/gateway/model.h"
#include "src/gateway/retry-allowance.h"
#include "src/process/resources.h"

#include <swiftloft/result.h>

#include <string>
#include <vector>

namespace swiftloft::gateway {

/// Settings of an entry, from its settings file.
struct EntrySettings {
    std::string id;
    DataCentreName dataCentre;
    /// The regions of the data centres; empty if the deployment names no homes.
    DataCentreRegions regions;
    /// Serves client requests.
    Endpoint clients;
    /// Serves the readiness page, which shows whether this entry accepts clients.
    Endpoint ready;
    /// Serves the directory of entries that clients may use.
    Endpoint directory;
    /// Serves datagrams and pulls between entries, the rank status of agents, and metrics.
    Endpoint peers;
    /// Receives load updates of other entries. All entries use the same port.
    Endpoint load;
    /// Port at which agents receive briefs.
    unsigned short agentPort { 0 };
    /// Serves counters and histograms as text over HTTP.
    Endpoint metrics;
    /// `peers` addresses of some entries; may be stale.
    std::vector<Endpoint> seeds;
    /// Address of the platform's store.
    Endpoint store;
    RetryAllowanceOptions retries;
    ColdLimitOptions coldLimits;
    /// Requests wait for an entry that has just started; otherwise they are refused until it can serve.
    bool waitsAtStart { true };
    capacity::EstimateOptions estimate;
    /// Time within which a change that is published in the store must be in force.
    milliseconds applyTimeout { 2000 };
    /// Maximum time from SIGTERM to the end of the process.
    milliseconds stopTimeout { 0 };
    /// Urgent requests go first over all entries, where the configuration has several priorities.
    bool isUrgencyOn { true };
    /// Maximum time for which a client may cache the directory of entries.
    milliseconds directoryMaxAge { 0 };
    /// Minimum number of entries among which budgets, such as that for retries, are divided. When more entries are
    /// seen, their number is used instead.
    std::size_t minEntries { 1 };
    /// What clients can make the entry keep follows from this.
    process::Resources resources { process::Resources::ofThisProcess() };
};

/// Settings of an agent, from its settings file.
struct AgentSettings {
    std::string id;
    DataCentreName dataCentre;
    /// The backend server in whose slot the agent runs.
    Endpoint engine;
    /// Receives datagrams of entries.
    Endpoint control;
    /// Serves counters as text over HTTP.
    Endpoint metrics;
    /// `peers` addresses of some entries, which receive the engine's rank status from the start; may be stale.
    std::vector<Endpoint> entries;
    /// Exchanges datagrams with the other agents of the rank group. All of them use the same port.
    Endpoint group;
    /// Half-life of the planner's estimate of expert demand.
    milliseconds loadHalfLife { 500 };
    /// Minimum part of the time of a pass that a change of the expert map must save.
    double minGain { 0.07 };
    /// Maximum time for which ranks copy for one change of the expert map. Each rank copies as many experts as fit into
    /// this time, at least one. If unset, `mapPlanningOptions` bounds the copies.
    std::optional<milliseconds> maxCopyTime;
    /// Seconds of a group's time that one gigabyte less of moved expert weights is worth. 0 counts only time.
    double movedGigabytePrice { 0 };
};

Result<EntrySettings> parseEntrySettings(const std::string& text, const std::string& fileName);
Result<AgentSettings> parseAgentSettings(const std::string& text, const std::string& fileName);

} // namespace swiftloft::gateway
