#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/policy/router.h>

#include <span>
#include <string>

namespace swiftloft::entry {

/// The entry's ranking of the backend servers of one service: `GET /swiftloft/v1/route?service=NAME`.
struct RoutePage {
    InstanceId instance;
    DataCentreName dataCentre;
    ServiceName service;
    /// Result of `Router::explain()`, best server first. Servers that may not get work are not included.
    std::span<const policy::RouteExplanation> servers;
};

/// Returns the page as JSON. docs/REFERENCE.md describes the fields.
std::string toJson(const RoutePage& page);

} // namespace swiftloft::entry
