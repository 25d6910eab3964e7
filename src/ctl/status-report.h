#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::ctl {

/// A backend server as one entry sees it.
struct BackendServerStatus {
    BackendServerId id;
    ServiceName service;
    DataCentreName dataCentre;
    std::string state;
    /// Requests in progress as a fraction of what it takes.
    std::optional<double> load;
};

/// The body of `GET /swiftloft/v1/status`.
struct StatusReport {
    InstanceId instance;
    std::string role;
    DataCentreName dataCentre;
    std::string state;
    /// Revisions begin at 1.
    std::optional<Revision> settingsRevision;
    std::optional<Revision> refusedRevision;
    std::string refusedReason;
    std::uint64_t inFlight { 0 };
    std::vector<BackendServerStatus> backendServers;
};

/// Fields that are absent or null stay empty, so that one program reads processes of several versions; the error's
/// message says what was not as expected.
Result<StatusReport> statusFromJson(std::string_view text);

} // namespace swiftloft::ctl
