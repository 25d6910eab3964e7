#pragma once

#include "src/ctl/console.h"

#include <swiftloft/ids.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::ctl {

/// How one backend server looks to the entry that would choose it.
struct RouteServer {
    BackendServerId id;
    std::string state;
    bool isLocal { false };
    microseconds expectedWait { 0 };
    microseconds expectedFirstByte { 0 };
    /// How many times slower than it should be it was seen to be.
    double slowFactor { 1 };
    std::size_t cachedBlocks { 0 };
    Tokens ownInFlight;

    bool mayBeChosen() const;
};

/// The body of `GET /swiftloft/v1/route?service=NAME`.
struct RouteReport {
    InstanceId instance;
    DataCentreName dataCentre;
    ServiceName service;
    /// Best first.
    std::vector<RouteServer> servers;

    /// The server that the next request would go to when all are compared; null when none may get it.
    const RouteServer* best() const;
};

Result<RouteReport> routeFromJson(std::string_view text);

/// A table a report, then a sentence that says where the next request would go and why.
void printRoute(const RouteReport& report, const Console& console);

} // namespace swiftloft::ctl
