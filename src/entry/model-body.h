#pragma once

#include <swiftloft/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace swiftloft::entry {

/// What an entry needs of the JSON body of a model request.
struct ModelBody {
    /// The string "model"; unset if there is none.
    std::optional<std::string> model;
    /// Says what "model" is if it is no string.
    std::string modelProblem;
    /// The whole number "max_tokens"; unset if there is none.
    std::optional<std::int64_t> maxTokens;
    /// The string "prompt", or else the text of the array "messages".
    std::string prompt;
};

/// Reads the body in one pass. Values that are not needed take no memory, however many there are. Fails with `MalformedInput` if
/// the body is no JSON object, or if "max_tokens" is no whole number.
Result<ModelBody> readModelBody(std::string_view text);

} // namespace swiftloft::entry
