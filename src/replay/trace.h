#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Recorded traces: a text format, one request a line (docs/operators/replay.md).
namespace swiftloft::replay {

/// A prompt by its parts: a prefix that other requests share and an end of its own. Each part is text that follows from
/// its id and length.
struct PromptSpec {
    std::string prefixId;
    std::size_t prefixCharacters { 0 };
    std::string ownId;
    std::size_t ownCharacters { 0 };

    friend bool operator==(const PromptSpec&, const PromptSpec&) = default;
};

std::string promptText(const PromptSpec&);

enum class BackendKind {
    Model,
    Plain,
};

/// What a trace line says must become of its request.
enum class ExpectedOutcome {
    /// A whole answer.
    Answered,
    /// A refusal with a reason.
    Refused,
    /// Either of the two.
    Honest,
};

struct TraceRequest {
    /// When to send it, on the trace's own clock that starts at 0.
    milliseconds sendAt { 0 };
    ServiceName service;
    OrganisationName organisation;
    BackendKind kind { BackendKind::Model };
    std::string method;
    std::string path;
    std::optional<PromptSpec> prompt;
    std::int64_t maxTokens { 0 };
    /// Relative to when it is sent, as `Swiftloft-Deadline-Ms` carries it; whoever sends it keeps a time point.
    milliseconds allowed { 0 };
    bool isRepeatable { false };
    bool isStream { false };
    /// Empty for a request without an `Idempotency-Key`.
    RequestKey key;
    ExpectedOutcome expected { ExpectedOutcome::Honest };

    friend bool operator==(const TraceRequest&, const TraceRequest&) = default;
};

/// What a run is measured by and a trace can state a bound for.
enum class Measure {
    Lost,
    Doubled,
    FalseNotRun,
    Unexpected,
    AnsweredShare,
    RefusedShare,
};

std::string_view toString(Measure);

enum class Bound {
    AtMost,
    AtLeast,
};

struct StatedOutcome {
    Measure measure;
    Bound bound;
    double value;

    friend bool operator==(const StatedOutcome&, const StatedOutcome&) = default;
};

struct Trace {
    std::vector<StatedOutcome> outcomes;
    /// By time.
    std::vector<TraceRequest> requests;

    friend bool operator==(const Trace&, const Trace&) = default;
};

/// Parses a trace. Strict: the first line that is not as documented is an error that names line and column.
Result<Trace> parseTrace(std::string_view text);
std::string formatTrace(const Trace&);

} // namespace swiftloft::replay
