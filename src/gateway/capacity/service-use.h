#pragma once

namespace swiftloft::gateway::capacity {

/// Requests that run on a service, as far as all entries' loads are known, and its slots.
struct ServiceUse {
    double running { 0 };
    double slots { 0 };
};

} // namespace swiftloft::gateway::capacity
