#pragma once

#include "src/expertmap/replay/trace.h"

#include <span>

namespace swiftloft::expertmap::replay {

/// Straggler test of START (Tuli et al., section 3.1): fits a Pareto distribution to task times and flags those above
/// `k` times its mean. Returns one flag per time. Sets no flag when the fitted tail has no mean (alpha of 1 or less).
std::vector<bool> paretoStragglers(std::span<const double> times, double k);

enum class DetectorKind {
    /// START's Pareto tail on the time per token.
    ParetoPerToken,
    /// START's Pareto tail on the raw step time, as in the paper.
    ParetoStepTime,
    /// A multiple of the median time per token.
    Threshold,
};

const char* toString(DetectorKind kind);

struct DetectorSetting {
    DetectorKind kind { DetectorKind::Threshold };
    /// START's k, or the multiple of the median.
    double factor { 1 };
    /// Number of consecutive steps that set a flag, and that clear it.
    std::uint32_t persistence { 1 };
};

/// Quality with which a method detects the ranks that are slow for more than one interval. Each rank and step counts
/// as one decision.
struct DetectionResult {
    DetectorSetting setting;
    std::uint64_t truePositives { 0 };
    std::uint64_t falsePositives { 0 };
    std::uint64_t falseNegatives { 0 };
    /// Mean number of steps from the start of a slow period to its first detection, over the periods that are
    /// detected.
    double stepsToDetect { 0 };
    std::uint64_t slowPeriods { 0 };
    std::uint64_t slowPeriodsDetected { 0 };

    double precision() const;
    double recall() const;
    /// Harmonic mean of precision and recall.
    double f1() const;
};

/// Runs a method over `trace` and counts its correct and wrong flags.
DetectionResult detect(const Trace& trace, const DetectorSetting& setting, std::uint32_t stepsPerInterval);

/// Returns the setting of this kind with the best F1 on `training`, from a grid over factor and persistence.
DetectorSetting tune(DetectorKind kind, const Trace& training, std::uint32_t stepsPerInterval);

} // namespace swiftloft::expertmap::replay
