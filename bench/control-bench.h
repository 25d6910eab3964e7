#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// What control costs a node: the real reducers over an in-memory network, the real runtime over loopback sockets, and
/// the choice of connections. Each prints one line for a size, `key=value` pairs.
namespace swiftloft::bench {

struct ControlBenchOptions {
    std::size_t nodes { 50 };
    std::size_t seconds { 30 };
    std::size_t treeBytes { 1'000'000 };
    std::size_t changes { 5 };
    std::uint64_t seed { 1 };
};

/// Steady state, changes of a tree of `treeBytes` and a rolling replacement, in simulated time.
void benchFleet(const ControlBenchOptions& options);
/// A whole data centre dies; then regions part and heal.
void benchLoss(const ControlBenchOptions& options);
/// One node that holds a list of `nodes` members: memory, and time of each step.
void benchMember(const ControlBenchOptions& options);
/// `nodes` nodes with real sockets in this process, and the stand-in for the platform beside them.
void benchUdp(const ControlBenchOptions& options);
/// Which agents an entry connects to: rendezvous beside deterministic subsetting.
void benchSubset(const ControlBenchOptions& options);

/// A tree of about `bytes` with sections as operators write them.
std::string makeTree(std::size_t bytes, std::uint64_t seed);
/// `tree` with one value changed, another one for each `change`.
std::string editTree(std::string tree, std::uint64_t change);

} // namespace swiftloft::bench
