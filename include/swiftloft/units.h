#pragma once

#include <swiftloft/strong.h>

#include <chrono>
#include <cstdint>

namespace swiftloft {

using Tokens = Quantity<struct TokensTag, std::int64_t>;
using Bytes = Quantity<struct BytesTag, std::uint64_t>;
using Requests = Quantity<struct RequestsTag, std::int64_t>;

/// Monotonic clock all deadlines are measured on. Logic never reads it: a time point arrives with each event.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace swiftloft
