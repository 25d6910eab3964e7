#pragma once

#include "src/replay/trace.h"

#include <swiftloft/units.h>
#include <swiftloft/verdict.h>

#include <optional>
#include <string>
#include <vector>

namespace swiftloft::replay {

/// What became of a request, as its caller saw it.
enum class Fate {
    /// A whole answer, and its own.
    Answered,
    /// Refused, or given up, with a verdict and a reason.
    Refused,
    /// No answer, a cut one, a wrong one, or one without a verdict.
    Lost,
};

std::string_view toString(Fate);

/// Reason of a refusal as its body gives it.
struct Refusal {
    int number { 0 };
    std::string name;
};

/// One request of a trace and what became of it.
struct Record {
    std::size_t index { 0 };
    TraceRequest request;
    Fate fate { Fate::Lost };
    /// Why a lost request counts as lost.
    std::string problem;
    std::string entry;
    std::string backendServer;
    std::string requestId;
    int status { 0 };
    std::optional<Verdict> verdict;
    Refusal refusal;
    /// How often the request was sent, resends included.
    int sends { 0 };
    /// XXH64 of the body as sent.
    std::uint64_t fingerprint { 0 };
    TimePoint sentAt;
    TimePoint firstByteAt;
    TimePoint doneAt;
    std::vector<TimePoint> tokensAt;
    std::int64_t tokens { 0 };
};

} // namespace swiftloft::replay
