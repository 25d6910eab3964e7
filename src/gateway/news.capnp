# Datagrams between entries and between entries and agents, and the documents that entries pull from each other.
# src/gateway/control-message.h converts them.

@0xb7c1f02e6a94d835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("swiftloft::gateway::schema");

# An entry as another entry knows it.
struct Member {
  control @0 :Text;                # IP:PORT for datagrams and pulls; absent where controlIp4 is used
  incarnation @1 :UInt64;
  heartbeat @2 :UInt64;            # incremented by the entry itself
  clients @3 :Text;                # IP:PORT for clients; absent where clientsIp4 is used
  dataCentre @4 :Text;
  state @5 :UInt8;                 # as in EntryState
  isWatching @6 :Bool;             # watches the platform's store, and the store answers
  controlIp4 @7 :UInt32;           # the same two addresses at half the size: members are most of what hellos carry
  controlPort @8 :UInt16;
  clientsIp4 @9 :UInt32;
  clientsPort @10 :UInt16;
  acceptsForMs @11 :UInt16;        # of an entry that is leaving: how long it still accepts all requests
}

struct Hello {
  sender @0 :Member;
  configuration @1 :UInt64;        # version in force; 0 is none
  servers @2 :UInt64;              # revision of the last change of the server list; 0 is none
  members @3 :List(Member);
  leaving @4 :List(LeavingServer);
  known @5 :UInt16;                # number of other entries that the sender knows
  degraded @6 :List(DegradedRank); # sent by entries that agents report to, to those that they don't
  loads @7 :List(ServiceLoad);     # sent between data centres that don't exchange the load of single servers
  serversEra @8 :UInt64;           # era of the store that `servers` belongs to
  evacuations @9 :List(Evacuation);
  evacuationsEra @10 :UInt64;      # era and revision of the store as of which `evacuations` is complete; 0 is unknown
  evacuationsAsOf @11 :UInt64;
  demands @12 :List(ServiceDemand); # of the sender's data centre; sent like `loads`
  groups @13 :List(GroupStatus);   # sent like `degraded`
  suspicions @14 :List(Suspicion); # a part of those that the sender knows
}

# A request that was in flight when a backend server crashed.
struct Suspicion {
  fingerprint @0 :UInt64;
  crash @1 :UInt64;                # hash of the server's id and start
  isCleared @2 :Bool;              # the request has succeeded since
  hops @3 :UInt8;                  # number of nodes that have forwarded it
  remainingMs @4 :UInt32;          # how long it is still valid
  isWeak @5 :Bool;                 # the request had been running for a while when the server crashed
  specificity @6 :UInt8 = 255;     # 255: a request; otherwise a part of prompts, its position counted from 1
  round @7 :UInt8;                 # crashes of a part with the same number count as one
}

# Requests for a service that an entry, or the entries of a data centre together, have received.
struct ServiceDemand {
  service @0 :Text;
  priorities @1 :List(PriorityDemand);
  organisations @2 :List(OrganisationUse); # the largest ones
}

# Requests of one priority.
struct PriorityDemand {
  priority @0 :UInt8;              # 0 is the most urgent
  queued @1 :UInt16;               # requests that wait for a server
  returning @2 :UInt16;            # refused clients that were told to return and have not returned yet
  arrivalsPerSecond @3 :Float32;
  sinceAdmittedMs @4 :UInt16 = 65535; # since a request was last sent to a server; 65,535 or more is the maximum
  sinceRefusedMs @5 :UInt16 = 65535; # since a request was last refused for lack of capacity
}

# Work that an organisation's requests have got.
struct OrganisationUse {
  organisation @0 :Text;
  work @1 :Float32;                # tokens, decaying
}

# A rank group as reported by an entry that its agents report to.
struct GroupStatus {
  group @0 :Text;
  epoch @1 :UInt64;
  ageMs @2 :UInt32;                # since rank 0 reported it
  passMs @3 :Float32;              # duration of a pass; 0 is unknown
  imbalance @4 :Float32;           # most loaded rank relative to the mean; 0 is unknown
  isCopying @5 :Bool;              # ranks copy experts for a change of the expert map
  ranks @6 :List(RankPlace);       # empty in a message that does not repeat them
}

struct RankPlace {
  rank @0 :UInt16;
  ip4 @1 :UInt32;                  # address of the engine
  port @2 :UInt16;
  address @3 :Text;                # IP:PORT of the engine; replaces the two above where it is not an IPv4 address
}

# The operator's request to evacuate a data centre.
struct Evacuation {
  dataCentre @0 :Text;
  era @1 :UInt64;                  # era and revision of the request
  revision @2 :UInt64;
}

# Average load of the servers of a service in the sender's data centre.
struct ServiceLoad {
  service @0 :Text;
  running @1 :Float32;             # requests per server
  promptTokens @2 :Float32;        # per server, of requests that have not sent their first event
}

# A rank whose group does not accept requests or whose engine is slow.
struct DegradedRank {
  address @0 :Text;                # IP:PORT of the engine
  ageMs @1 :UInt32;                # since its agent reported it
  isOpen @2 :Bool;                 # its group accepts requests
  pace @3 :Float32 = 1;            # how much longer its work takes than usual
  hasEngineEnded @4 :Bool;         # the engine's port refuses connections
}

# A server that is leaving or has left.
struct LeavingServer {
  server @0 :UInt64;               # hash of id and start
  remainingMs @1 :UInt32;          # how long this report is still passed on
  isRemoved @2 :Bool;              # its entry was removed from the list; otherwise it was reported to leave
  removedEra @3 :UInt64;           # era and revision of the removal
  removedRevision @4 :UInt64;
}

# Requests that an entry has at a backend server.
struct ServerLoad {
  server @0 :UInt64;               # hash of id and start
  running @1 :UInt16;              # requests sent and not finished
  promptTokens @2 :UInt32;         # of those that have not sent their first event
  heldTokens @3 :UInt32;           # prompt and expected output tokens of all of them
}

# The request limit that a server's responses advertised.
struct LimitWord {
  server @0 :UInt64;               # hash of id and start
  ageMs @1 :UInt32;                # since the server advertised it
  isNamed @2 :Bool;                # otherwise the server no longer advertises a limit
  rate @3 :Float64;                # requests a second from all entries together
}

struct LoadNews {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  servers @2 :List(ServerLoad);
  limits @3 :List(LimitWord);
  silent @4 :List(SilentServer);
  demands @5 :List(ServiceDemand); # of this entry
  suspicions @6 :List(Suspicion);  # that the sender has found out recently
  trials @7 :List(UInt64);         # fingerprints of the suspects that the sender runs now
}

# A server that stalled in the middle of its streams while others went on.
struct SilentServer {
  server @0 :UInt64;               # hash of id and start
  remainingMs @1 :UInt32;          # how long it must still be avoided
}

# What an agent reports of the rank in whose slot it runs.
struct RankNews {
  address @0 :Text;                # IP:PORT of the engine
  group @1 :Text;
  epoch @2 :UInt64;
  rank @3 :UInt32;
  ranks @4 :UInt32;
  isOpen @5 :Bool;
  pace @6 :Float64;                # 1 is normal, above it slower
  startedAt @7 :UInt64;            # Unix milliseconds; 0 where the engine doesn't report it
  knowsGroup @8 :Bool;             # the agent has the addresses of all ranks of its group
  passMs @9 :Float32;              # duration of a pass; 0 is unknown
  imbalance @10 :Float32;          # from rank 0: most loaded rank relative to the mean; 0 is unknown
  isCopying @11 :Bool;             # from rank 0: ranks copy experts for a change of the expert map
  heldTokens @12 :UInt32;          # tokens in the engine's memory that can't yield
  tokenCapacity @13 :UInt32;       # tokens that fit into the engine's memory; 0 is unknown
  hasEngineEnded @14 :Bool;        # the engine's port refuses connections; the other fields are of the engine's last report
}

struct RankAddress {
  rank @0 :UInt32;
  address @1 :Text;                # IP:PORT of the engine
}

# Brief: what an entry sends an agent about the group of its engine.
struct GroupBrief {
  group @0 :Text;
  epoch @1 :UInt64;
  layers @2 :UInt32;
  experts @3 :UInt32;
  slotsPerRank @4 :UInt32;
  spareSlots @5 :UInt32;
  expertMegabytes @6 :Float32;
  linkMbps @7 :Float32;
  ranks @8 :List(RankAddress);
  stepMs @9 :Float32;              # duration of one token step without requests
  stepsPerPass @10 :UInt16 = 1;
}

struct Datagram {
  union {
    hello @0 :Hello;
    load @1 :LoadNews;
    rank @2 :RankNews;
    brief @3 :GroupBrief;
  }
}

struct PublishedItem {
  name @0 :Text;
  document @1 :Data;
  revision @2 :UInt64;
  era @3 :UInt64;                  # era of the store that the revision belongs to
}

struct PublishedItems {
  items @0 :List(PublishedItem);
  asOf @1 :UInt64;
  era @2 :UInt64;                  # era of the store that `asOf` belongs to
}
