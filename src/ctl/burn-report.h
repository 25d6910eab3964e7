#pragma once

#include "src/burn/summary.h"
#include "src/ctl/console.h"

#include <string>

/// The forms in which `swiftloft-ctl burn` shows a summary.
namespace swiftloft::ctl {

/// "5 min", "1 h", "6 h" or "3 d".
std::string windowName(std::chrono::seconds length);

/// The most frequent reasons, "slow 12, queue-full 3".
std::string topReasons(const burn::SummaryRow& row);

void printBurnTable(const burn::Summary& summary, const Console& console);

std::string burnJson(const burn::Summary& summary);

/// One HTML document that loads nothing else; its charts are inline SVG and it prints on paper.
std::string burnHtml(const burn::Summary& summary, const std::string& time);

} // namespace swiftloft::ctl
