#pragma once

#include "src/expertmap/expert-map.capnp.h"

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/expertmap/protocol.h>

#include <span>

/// Converts between protocol types and Cap'n Proto messages. Received messages are not trusted: `parse` fails with
/// `MalformedInput` on messages that violate the protocol. No function throws.
namespace swiftloft::expertmap::wire {

/// Limits on values accepted from a peer.
inline constexpr std::uint32_t maxRanks = 4096;
inline constexpr std::size_t maxStagedMaps = 64;
inline constexpr std::uint64_t maxFenceCounter = 1ULL << 62;

void build(schema::RankOrder::Builder out, const RankOrder& order);
void build(schema::RankReport::Builder out, const RankReport& report);
void build(schema::RankHello::Builder out, const RankHello& hello);
void build(schema::ExpertMap::Builder out, const VersionedMap& map);
void build(schema::RankLoads::Builder out, const RankLoads& loads);

Result<RankOrder> parse(schema::RankOrder::Reader in);
Result<RankReport> parse(schema::RankReport::Reader in);
Result<RankHello> parse(schema::RankHello::Reader in);
Result<VersionedMap> parse(schema::ExpertMap::Reader in);
Result<RankLoads> parse(schema::RankLoads::Reader in);

} // namespace swiftloft::expertmap::wire
