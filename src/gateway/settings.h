#pragma once

#include "src/gateway/model.h"
#include "src/gateway/retry-allowance.h"

#include <swiftloft/result.h>

#include <string>
#include <vector>

namespace swiftloft::gateway {

/// What an entry knows from its own file.
struct EntrySettings {
    std::string id;
    DataCentreName dataCentre;
    /// Clients' requests.
    Endpoint clients;
    /// Says whether this entry may get clients.
    Endpoint ready;
    /// Tells clients which entries to use.
    Endpoint directory;
    /// Datagrams and pulls between entries, news of agents, metrics.
    Endpoint peers;
    /// Datagrams about load between entries; the same port at all of them.
    Endpoint load;
    /// Port at which agents listen for news.
    unsigned short agentPort { 0 };
    /// Counters and histograms, as text over HTTP.
    Endpoint metrics;
    /// `peers` addresses of some entries; may be stale.
    std::vector<Endpoint> seeds;
    /// The platform's store.
    Endpoint store;
    RetryAllowanceOptions retries;
    /// Time from SIGTERM to the end of the process.
    milliseconds stopTimeout { 0 };
    /// How long a client may keep the list of entries.
    milliseconds directoryMaxAge { 0 };
    /// Entries there may be at least, for shares of budgets. More are counted when they are seen.
    std::size_t minEntries { 1 };
};

/// What an agent knows from its own file.
struct AgentSettings {
    std::string id;
    DataCentreName dataCentre;
    /// The server in whose slot it runs.
    Endpoint engine;
    /// Datagrams of entries.
    Endpoint control;
    /// Counters, as text over HTTP.
    Endpoint metrics;
    /// `peers` addresses of some entries, which are told of the engine from the start; may be stale.
    std::vector<Endpoint> entries;
    /// Datagrams between the agents of a rank group; the same port at all of them.
    Endpoint group;
    /// Half-life of the planner's memory of what experts are in demand.
    milliseconds loadHalfLife { 500 };
    /// Least part of the time of a pass that a change of the expert map must save.
    double minGain { 0.07 };
    /// How long ranks may copy for one change of map; each takes in as many experts as that allows, one at least. Ranks copy
    /// side by side, so a change takes as long as the rank with the most copies, and passes last 15 in 100 longer meanwhile:
    /// with uneven experts that is what makes streams late. Much shorter, and several changes follow each shift of demand.
    milliseconds maxCopyTime { 80 };
};

Result<EntrySettings> parseEntrySettings(const std::string& text, const std::string& fileName);
Result<AgentSettings> parseAgentSettings(const std::string& text, const std::string& fileName);

} // namespace swiftloft::gateway
