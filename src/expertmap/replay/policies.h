#pragma once

#include <swiftloft/expertmap/planner.h>

#include <functional>
#include <string>
#include <vector>

namespace swiftloft::expertmap::replay {

/// What a policy sees at the end of an interval.
struct PolicyInput {
    TimePoint now;
    std::uint32_t minuteOfDay { 0 };
    /// Tokens by layer and expert, one interval old.
    std::span<const double> report;
    /// Of ranks found to be slow; 1 for others.
    const std::vector<double>& speeds;
};

/// A policy under replay: given the moment, the map from the next interval on.
struct Policy {
    std::string name;
    std::function<ExpertMap(const PolicyInput&)> decide;
};

/// Each returns a policy that starts from `initial`.
Policy staticPolicy(const ExpertMap& initial);
/// Packs all layers anew at each interval. With `isRenamed`, ranks of the new packing are matched to those that already
/// hold most of it, which spares bytes.
Policy repackPolicy(const ExpertMap& initial, bool isMatched);
Policy plannerPolicy(std::string name, const ExpertMap& initial, const Planner::Options& options);

/// Settings of the two firms: Vỉa Hè weighs skew, Rasoi Rahdari weighs moving and keeps quiet in its morning rush.
Planner::Options viaHeOptions();
Planner::Options rasoiOptions();

/// Static, full repack at each interval, the planner with each firm's settings, and the renamed repack.
std::vector<Policy> allPolicies(const ExpertMap& initial);

} // namespace swiftloft::expertmap::replay
