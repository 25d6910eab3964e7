#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/policy/router.h>

#include <span>
#include <string>

namespace swiftloft::entry {

/// What an entry says of the choice for one service: `GET /swiftloft/v1/route?service=NAME`.
struct RoutePage {
    InstanceId instance;
    DataCentreName dataCentre;
    ServiceName service;
    /// From `Router::explain()`, best first; servers that may get no work are not among them.
    std::span<const policy::RouteExplanation> servers;
};

/// The page's JSON; docs/REFERENCE.md has its fields.
std::string toJson(const RoutePage& page);

} // namespace swiftloft::entry
