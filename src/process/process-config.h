#pragma once

#include "src/process/resources.h"

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace swiftloft::process {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// What a process knows from its own file: its addresses, its data centre and where the platform is. All else comes
/// from the published settings tree.
struct ProcessConfig {
    std::string id;
    DataCentreName dataCentre;
    /// HTTP: client requests at an entry, health and metrics at an agent.
    Endpoint listen;
    /// Gossip (UDP) and settings parts (TCP) between the system's own processes.
    Endpoint peer;
    /// Cap'n Proto RPC for requests; only agents have it.
    std::optional<Endpoint> rpc;
    /// The platform's configuration service.
    Endpoint platform;
    /// The server whose slot an agent runs in; only agents have one.
    std::optional<Endpoint> backendServer;
    unsigned trafficThreads { 1 };
    /// No process has run in this fleet before: no agent can have forgotten a client's key, and no entry can hold a
    /// share of a limit from before.
    bool isFirstStart { false };
    /// What clients can make the process keep follows from this.
    Resources resources { Resources::ofThisProcess() };
};

/// Reads a `[process]` section. `fileName` is used in messages, which name line, key and what was expected.
Result<ProcessConfig> parseProcessConfig(const std::string& text, const std::string& fileName);

/// As `parseProcessConfig`, for a file.
Result<ProcessConfig> readProcessConfig(const std::string& fileName);

/// Reads "IP:PORT" (IPv6 in brackets).
Result<Endpoint> parseEndpoint(const std::string& text);

} // namespace swiftloft::process
