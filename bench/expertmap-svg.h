#pragma once

#include "src/expertmap/replay/replay.h"

#include <string>

namespace swiftloft::expertmap::bench {

/// A plot of skew (above) and of bytes moved so far (below) over the day, one line a policy.
std::string plot(const replay::Trace& trace, const std::vector<replay::ReplayResult>& runs, Bytes bytesPerExpert);

} // namespace swiftloft::expertmap::bench
