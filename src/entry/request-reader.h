#pragma once

#include "src/entry/events.h"
#include "src/entry/exchange.h"

#include <swiftloft/result.h>

#include <memory>

namespace swiftloft::entry {

/// Reads the attributes of a client's request: the `Swiftloft-` headers, the bearer key and, for model requests, the
/// model, the prompt and the token limit from the JSON body. If a header or field is invalid, fails with
/// `MalformedInput` and a message that names the header or field, its value and the expected value. Safe for untrusted
/// input.
Result<std::shared_ptr<const RequestInfo>> readRequest(const ClientMessage& message, TimePoint now);

} // namespace swiftloft::entry
