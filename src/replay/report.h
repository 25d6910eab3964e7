#pragma once

#include "src/replay/judge.h"

#include <cstdio>
#include <string>

/// A run's outcome for people (table, summary) and for programs (JSON).
namespace swiftloft::replay {

std::string tableHead();
std::string tableRow(const Record&);
std::string summaryText(const Summary&);
std::string summaryJson(const Summary&, const std::vector<Failure>&);
/// The demo's last line: "demo: N answered, N refused, N lost, N doubled" for name "demo".
std::string countsLine(std::string_view name, const Summary&);

} // namespace swiftloft::replay
