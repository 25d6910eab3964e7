# Messages of an expert map change, between the coordinator of a rank group and its ranks.
# src/expertmap/wire.h converts them and validates messages received from a peer.

@0xe3b17c6a5f0d9248;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("swiftloft::expertmap::schema");

struct FencingNumber {
  counter @0 :UInt64;
  holder @1 :UInt64;
}

struct SwitchPoint {
  version @0 :UInt64;
  step @1 :UInt64;
}

struct EngineStatus {
  engine @0 :UInt64;               # incarnation of the engine; 0 is none
  isAdmitted @1 :Bool;
  current @2 :UInt64;
  entered @3 :UInt64;
  armed @4 :SwitchPoint;           # null if not armed
  isReleased @5 :Bool;
  staged @6 :List(UInt64);
}

struct Admit {
  version @0 :UInt64;
  arm @1 :SwitchPoint;             # null for none
}

struct RankOrder {
  fence @0 :FencingNumber;
  round @1 :UInt64;
  rank @2 :UInt32;
  engine @3 :UInt64;               # 0 for any
  order :union {
    read @4 :Void;
    stage @5 :UInt64;
    drop @6 :UInt64;               # version to keep
    admit @7 :Admit;
    arm @8 :SwitchPoint;
    go @9 :SwitchPoint;
    cancel @10 :SwitchPoint;
  }
}

struct RankReport {
  rank @0 :UInt32;
  agent @1 :UInt64;
  promised @2 :FencingNumber;
  round @3 :UInt64;
  status @4 :EngineStatus;         # null if the engine could not be read
}

struct RankHello {
  rank @0 :UInt32;
  agent @1 :UInt64;
}

struct ExpertMap {
  ranks @0 :UInt32;
  layers @1 :UInt32;
  experts @2 :UInt32;
  slotsPerRank @3 :UInt32;
  slots @4 :List(UInt16);          # by layer, rank and slot; 0xffff is an empty slot
  version @5 :UInt64;              # version under which the group runs the map
}

# A map given by its differences from another map, `base`. Places are slot indexes by layer, rank and slot, with one
# expert for each.
struct MapDifference {
  base @0 :UInt64;
  version @1 :UInt64;
  places @2 :List(UInt32);
  experts @3 :List(UInt16);        # 0xffff empties the place
}

# Token counts and experts held of one rank, for the planner at rank 0.
struct RankLoads {
  rank @0 :UInt32;
  engine @1 :UInt64;               # incarnation of the engine; counts restart at zero with each
  map @2 :UInt64;                  # version that the rank runs
  held @3 :List(UInt16);           # the rank's experts by layer and slot; 0xffff is an empty slot
  tokens @4 :List(UInt16);         # by layer and expert, since the incarnation began, modulo 2^16
  step @5 :UInt64;                 # step at which the counts were read
  pace @6 :Float32 = 1;            # duration of the rank's work relative to usual; 1 is usual
}

# One datagram between two agents of a rank group.
struct GroupMessage {
  group @0 :Text;                  # a message for another group, sent to an address that has been reassigned, is dropped
  union {
    order @1 :RankOrder;
    report @2 :RankReport;
    hello @3 :RankHello;
    mapWanted @4 :UInt64;          # requests the content of a map, by version
    map @5 :ExpertMap;             # the response, or a map that will be ordered soon
    loads @6 :RankLoads;
    difference @7 :MapDifference;  # a map that will be ordered soon
  }
}

# The agent in the slot of a rank.
interface RankMember {
  order @0 (order :RankOrder) -> ();
  # The map with this version, if the agent holds it.
  map @1 (version :UInt64) -> (map :ExpertMap);
}

# The agent of rank 0.
interface GroupCoordinator {
  report @0 (report :RankReport) -> ();
  hello @1 (hello :RankHello) -> ();
}
