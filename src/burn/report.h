#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Service-level burn: how fast failed and slow requests use up what the objectives allow.
namespace swiftloft::burn {

/// Windows over which requests are summed: the first two find fast burn, the others slow burn.
inline constexpr std::array windowLengths { std::chrono::seconds(300), std::chrono::seconds(3600), std::chrono::seconds(21600), std::chrono::seconds(259200) };

/// What a report is to hold; at the design size the whole is megabytes from each entry.
struct Scope {
    /// This service only, or all.
    std::optional<ServiceName> service;
    /// Without, each service has one row, with an empty organisation.
    bool hasOrganisations { true };

    friend bool operator==(const Scope&, const Scope&) = default;
};

/// The target of the request for a report: `/swiftloft/v1/burn?service=NAME&organisations=no`.
std::string targetOf(const Scope& scope);
/// Reads a target's query; the error's message says what was expected.
Result<Scope> scopeFromTarget(std::string_view target);

struct ReasonCount {
    /// Why requests counted as bad, such as "slow" or "queue-full".
    std::string reason;
    std::uint64_t count { 0 };

    friend bool operator==(const ReasonCount&, const ReasonCount&) = default;
};

/// Requests of one organisation at one service, or of all when the organisation is empty.
struct Row {
    ServiceName service;
    OrganisationName organisation;
    std::uint64_t good { 0 };
    std::uint64_t bad { 0 };
    /// Most frequent first; their counts add up to `bad`.
    std::vector<ReasonCount> reasons;

    friend bool operator==(const Row&, const Row&) = default;
};

struct Window {
    std::chrono::seconds length { 0 };
    /// Seconds of the window that the sums cover: less than its length at an instance that is younger, and by up to a
    /// twelfth because the oldest bucket goes as a whole.
    double coveredSeconds { 0 };
    std::vector<Row> rows;

    friend bool operator==(const Window&, const Window&) = default;
};

/// What one entry has counted; the body of `GET /swiftloft/v1/burn`.
struct Report {
    InstanceId instance;
    /// UTC time at which the instance began to count, "2026-01-31T06:00:00Z".
    std::string since;
    std::vector<Window> windows;

    friend bool operator==(const Report&, const Report&) = default;
};

std::string toJson(const Report& report);

/// The error's message says what was not as expected.
Result<Report> reportFromJson(std::string_view text);

} // namespace swiftloft::burn
