#pragma once

#include <swiftloft/strong.h>

#include <cstdint>

namespace swiftloft::gateway {

/// Identifies a client request within an entry.
using CallId = Strong<struct CallIdTag, std::uint64_t>;

} // namespace swiftloft::gateway
