#pragma once

#include <swiftloft/expertmap/planner.h>

#include <functional>
#include <string>
#include <vector>

namespace swiftloft::expertmap::replay {

/// What a policy knows at the end of an interval.
struct PolicyInput {
    TimePoint now;
    std::uint32_t minuteOfDay { 0 };
    /// Tokens by layer and expert, one interval old.
    std::span<const double> report;
    /// Speeds by rank: the measured speed of ranks found to be slow, 1 for others.
    const std::vector<double>& speeds;
};

/// Policy under replay. `decide` returns the map to change to; `replay` says when that map applies.
struct Policy {
    std::string name;
    std::function<ExpertMap(const PolicyInput&)> decide;
};

/// Returns a policy that keeps the map `initial`.
Policy staticPolicy(const ExpertMap& initial);
/// Returns a policy that starts from `initial` and packs all layers from scratch at each interval. With `isMatched`,
/// the ranks of the new packing are matched with those that already hold most of it, which reduces the bytes moved.
Policy repackPolicy(const ExpertMap& initial, bool isMatched);
/// Returns a policy that starts from `initial` and changes the map as `Planner` decides.
Policy plannerPolicy(std::string name, const ExpertMap& initial, const Planner::Options& options);

/// Options of the two organisations: Vỉa Hè gives more weight to skew; Rasoi Rahdari gives more weight to moves and
/// has quiet hours during its morning rush.
Planner::Options viaHeOptions();
Planner::Options rasoiOptions();

/// Returns static, full repack at each interval, the planner with the options of each organisation, and repack with
/// matched ranks.
std::vector<Policy> allPolicies(const ExpertMap& initial);

} // namespace swiftloft::expertmap::replay
