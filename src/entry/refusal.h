#pragma once

#include <swiftloft/verdict.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace swiftloft::entry {

/// Why no backend server answered a request. The numbers are stable; docs/REFERENCE.md lists them.
enum class RefusalReason : std::uint16_t {
    BadRequest = 1,
    UnknownService = 2,
    UnknownOrganisation = 3,
    NotAuthorised = 4,
    RequestLimit = 5,
    TokenLimit = 6,
    Overloaded = 7,
    NoBackendServer = 8,
    DeadlinePassed = 9,
    BackendServerFailed = 10,
    Quarantined = 11,
    NotReady = 12,
    HomeUnreachable = 13,
    AnswerNotHeld = 14,
    AnswerDamaged = 15,
    InFlightLimit = 16,
};

/// Properties of a refusal reason as clients see them.
struct RefusalInfo {
    RefusalReason reason;
    std::string_view name;
    unsigned httpStatus;
    std::string_view text;
};

/// Returns the properties of a reason. For an unknown number, returns the properties of `BadRequest`.
const RefusalInfo& infoOf(RefusalReason reason);

/// A final response that the entry itself generates.
struct Refusal {
    RefusalReason reason { RefusalReason::BadRequest };
    Verdict verdict { Verdict::NotRun };
    /// Value of `Retry-After`, set if a later retry can succeed.
    std::optional<std::chrono::seconds> retryAfter;
    /// Describes the error and how to fix it. If empty, the text of the reason is used.
    std::string details;
};

/// Returns the JSON body of a refusal: `{"reason":N,"name":"...","verdict":"...","message":"..."}`.
std::string toJson(const Refusal& refusal);

} // namespace swiftloft::entry
