#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/settings/value.h>
#include <swiftloft/units.h>

#include <cstdint>
#include <optional>
#include <string>

/// Effective settings as plain typed values. docs/REFERENCE.md says what each key means.
namespace swiftloft::settings {

/// A fraction of 1.
using Ratio = Strong<struct RatioTag, double>;
/// Something a second.
using PerSecond = Strong<struct PerSecondTag, double>;
/// A weight in a decision; only its proportion to others matters.
using Weight = Strong<struct WeightTag, double>;

enum class ServiceKind : std::uint8_t {
    Model,
    Plain,
};

enum class Priority : std::uint8_t {
    Low,
    Normal,
    High,
};

/// When an answer counts as good.
struct Objective {
    Ratio availability;
    microseconds firstToken {};
    microseconds tokenGap {};
    microseconds answer {};
};

struct ServiceSettings {
    ServiceName name;
    ServiceKind kind { ServiceKind::Plain };
    Methods repeatableMethods;
    microseconds requestDeadline {};
    Ratio retryBudgetRatio;
    microseconds retryBackoffBase {};
    microseconds retryBackoffMax {};
    std::int64_t maxConcurrentPerBackendServer { 0 };
    std::int64_t queueLimit { 0 };
    Bytes resumeBuffer;
    microseconds entriesKeepTime {};
    Weight prefixAffinityWeight;
    Ratio spillThreshold;
    microseconds crashQuarantine {};
    microseconds loadReportMaxAge {};
    Objective objective;

    bool isRepeatable(std::string_view method) const;
};

/// Settings of one organisation at one service.
struct OrganisationSettings {
    OrganisationName name;
    ServiceName service;
    PerSecond requestsPerSecond;
    PerSecond tokensPerSecond;
    microseconds burst {};
    std::int64_t maxInFlight { 0 };
    Weight weight;
    Priority priority { Priority::Normal };
    bool requiresKey { true };
    /// SHA-256 of the organisation's key in lower-case hexadecimal.
    std::optional<std::string> keyDigest;
};

struct GroupSettings {
    EngineGroupName name;
    ServiceName service;
    DataCentreName dataCentre;
    std::uint32_t ranks { 0 };
    std::uint32_t experts { 0 };
    std::uint32_t layers { 0 };
    std::uint32_t spareSlotsPerRank { 0 };
    Weight skewWeight;
    Weight rebalanceWeight;
    QuietHours quietHours;
    Bytes moveBytesPerMinute;
    microseconds loadHalfLife {};
    std::int64_t planningHorizonSteps { 0 };
    Ratio minimumGain;
    /// Time per token as a multiple of the median over the ranks.
    double stragglerThreshold { 0 };
    bool checksFencing { false };
    bool checksOrderKey { false };
};

struct DataCentreSettings {
    DataCentreName name;
    RegionName region;
    microseconds heartbeatInterval {};
    microseconds heartbeatTimeout {};
    microseconds drainTime {};
    microseconds gossipInterval {};
    std::uint32_t watchersPerDataCentre { 0 };
};

struct SystemSettings {
    /// Over the whole fleet.
    PerSecond pollBudget;
};

} // namespace swiftloft::settings
