#pragma once

#include <swiftloft/units.h>

#include <cstddef>
#include <optional>

namespace swiftloft::gateway::admission {

/// What decides whether requests wait for an entry that can't serve yet.
struct StartupState {
    /// Start of the entry's process.
    TimePoint startedAt;
    /// Requests that wait already.
    std::size_t waiting { 0 };
};

/// Requests wait only within this time of the start of the process. An entry usually gets the configuration and the
/// servers in a part of it; clients that are refused before then return later, and most return only once.
constexpr milliseconds startupPeriod { 1500 };
/// Clients leave a stream whose first event takes two seconds. The rest of that time is left for the response.
constexpr milliseconds maxStartupWait { 1000 };
/// Bounds the memory that the bodies of waiting requests take.
constexpr std::size_t maxStartupWaiting { 256 };
/// Part of the time until its deadline that a request spends waiting at most; the rest is left for its response.
constexpr double maxStartupWaitShare { 0.25 };

/// Until when a request that has arrived now waits for the entry to be able to serve. Unset if it must be refused at
/// once: the entry is not about to be able to serve, or too many requests wait already. Answers the start of all entries
/// after a loss of power, when clients send what they would have sent before.
std::optional<TimePoint> startupWaitEnd(TimePoint now, const StartupState& state, TimePoint deadline);

} // namespace swiftloft::gateway::admission
