#pragma once

#include "src/expertmap/replay/trace.h"

#include <span>

namespace swiftloft::expertmap::replay {

/// START's test (Tuli et al., section 3.1): fits a Pareto distribution to task times and calls those beyond `k` times its
/// mean stragglers. Returns one flag a time. No flag is set where the fitted tail has no mean (alpha of 1 or less).
std::vector<bool> paretoStragglers(std::span<const double> times, double k);

enum class DetectorKind {
    /// START's Pareto tail on the time a token takes.
    ParetoPerToken,
    /// START's Pareto tail on the raw step time, as the paper has it.
    ParetoStepTime,
    /// A multiple of the median time a token takes.
    Threshold,
};

const char* toString(DetectorKind kind);

struct DetectorSetting {
    DetectorKind kind { DetectorKind::Threshold };
    /// START's k, or the multiple of the median.
    double factor { 1 };
    /// Steps in a row that set a flag, and that clear it.
    std::uint32_t persistence { 1 };
};

/// How well a method found the ranks that were slow for more than one interval. Each rank and step is judged.
struct DetectionResult {
    DetectorSetting setting;
    std::uint64_t truePositives { 0 };
    std::uint64_t falsePositives { 0 };
    std::uint64_t falseNegatives { 0 };
    /// Mean steps from the start of a slow stretch to its first detection, of those detected at all.
    double stepsToDetect { 0 };
    std::uint64_t slowPeriods { 0 };
    std::uint64_t slowPeriodsDetected { 0 };

    double precision() const;
    double recall() const;
    /// Harmonic mean of precision and recall.
    double f1() const;
};

DetectionResult detect(const Trace& trace, const DetectorSetting& setting, std::uint32_t stepsPerInterval);

/// The setting of this kind, of a grid over factor and persistence, with the best F1 on `training`.
DetectorSetting tune(DetectorKind kind, const Trace& training, std::uint32_t stepsPerInterval);

} // namespace swiftloft::expertmap::replay
