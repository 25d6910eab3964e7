#pragma once

#include "src/entry/events.h"
#include "src/entry/exchange.h"

#include <swiftloft/result.h>

#include <memory>

namespace swiftloft::entry {

/// Reads what the entry needs to know of a client's request: the `Swiftloft-` headers, the key, and for model requests
/// the model, prompt and token limit of the JSON body. Fails with `MalformedInput` and a text that names the header or
/// field, what it held and what was expected. Any bytes are safe.
Result<std::shared_ptr<const RequestInfo>> readRequest(const ClientMessage& message, TimePoint now);

} // namespace swiftloft::entry
