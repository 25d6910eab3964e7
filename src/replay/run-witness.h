#pragma once

#include "src/replay/http-client.h"

#include <swiftloft/result.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace swiftloft::replay {

/// How often requests began to run, as the backend servers themselves have counted.
struct RunCounts {
    std::map<std::string, int> byKey;
    std::map<std::uint64_t, int> byFingerprint;
    /// Backend servers that did not answer; runs there are not counted.
    std::vector<std::string> unreachable;

    void add(const std::string& key, std::uint64_t fingerprint);
};

/// Reads a backend server's list of runs; throws when it is malformed.
void addRuns(const std::string& json, RunCounts&);

/// Asks each of `backendServers` ("IP:PORT") for its runs.
boost::asio::awaitable<RunCounts> fetchRunCounts(HttpClient&, std::vector<std::string> backendServers);

} // namespace swiftloft::replay
