#pragma once

#include <swiftloft/verdict.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace swiftloft::entry {

/// Why a request was not answered by a backend server. Numbers are stable; docs/REFERENCE.md lists them.
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

struct RefusalInfo {
    RefusalReason reason;
    std::string_view name;
    unsigned httpStatus;
    std::string_view text;
};

const RefusalInfo& infoOf(RefusalReason reason);

/// A final answer of the entry's own.
struct Refusal {
    RefusalReason reason { RefusalReason::BadRequest };
    Verdict verdict { Verdict::NotRun };
    /// Value of `Retry-After`, where coming back helps.
    std::optional<std::chrono::seconds> retryAfter;
    /// What was wrong and what would mend it; the text of the reason when empty.
    std::string details;
};

/// The JSON body of a refusal: `{"reason":N,"name":"...","verdict":"...","message":"..."}`.
std::string toJson(const Refusal& refusal);

} // namespace swiftloft::entry
