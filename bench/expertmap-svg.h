#pragma once

#include "src/expertmap/replay/replay.h"

#include <string>

namespace swiftloft::expertmap::bench {

/// Returns an SVG plot of skew (above) and of bytes moved so far (below) over the day, with one line per policy.
std::string plot(const replay::Trace& trace, const std::vector<replay::ReplayResult>& runs, Bytes bytesPerExpert);

} // namespace swiftloft::expertmap::bench
