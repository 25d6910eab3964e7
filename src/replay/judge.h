#pragma once

#include "src/replay/histogram.h"
#include "src/replay/record.h"
#include "src/replay/run-witness.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace swiftloft::replay {

/// One way in which a run failed its stated outcomes.
struct Failure {
    std::string what;
};

/// A run measured.
struct Summary {
    std::size_t sent { 0 };
    std::size_t answered { 0 };
    std::size_t refused { 0 };
    std::size_t lost { 0 };
    std::size_t doubled { 0 };
    std::size_t falseNotRun { 0 };
    std::size_t unexpected { 0 };
    /// Keys, or hashes of bodies, of the doubled requests and of those wrongly called not run.
    std::vector<std::string> broken;
    std::map<std::string, std::size_t> refusedBy;
    std::map<std::string, std::size_t> lostBy;
    std::map<std::string, std::size_t> answeredBy;
    Histogram firstByte;
    Histogram total;
    Histogram tokenGap;
    double elapsedSeconds { 0 };
    double requestsPerSecond { 0 };
    double tokensPerSecond { 0 };

    double value(Measure) const;
};

/// The bounds that hold for every trace unless it states another for the same measure: nothing lost, doubled, wrongly
/// called not run or otherwise than its line says.
std::vector<StatedOutcome> withDefaults(std::vector<StatedOutcome>);

Summary summarize(const std::vector<std::shared_ptr<Record>>&, const RunCounts&);
std::vector<Failure> judge(const Summary&, const std::vector<StatedOutcome>&);

/// True when what became of the request is what its line expects.
bool isExpected(const Record&);

} // namespace swiftloft::replay
