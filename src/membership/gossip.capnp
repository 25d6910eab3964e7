# Datagrams exchanged between the processes of the system: probes, member state and announced revisions.

@0xb1f0c87a3e5d9c11;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("swiftloft::membership::schema");

enum Kind {
  ping @0;
  ack @1;
  pingRequest @2;
  news @3;
  syncRequest @4;
  note @5;                         # application data for the embedding process, in Message.note
}

enum Health {
  alive @0;
  suspect @1;
  dead @2;
}

enum Topic {
  settings @0;
  instances @1;
}

struct Update {
  member @0 :UInt64;               # XXH3 hash of the member's id
  generation @1 :UInt64;
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  health @4 :Health;
  isLeaving @5 :Bool;
}

struct Announcement {
  revision @0 :UInt64;
  digestHigh @1 :UInt64;
  digestLow @2 :UInt64;
  platformAgeMs @3 :UInt32;
  topic @4 :Topic;
}

struct Message {
  from @0 :UInt64;
  generation @1 :UInt64;
  incarnation @2 :UInt64;
  nonce @3 :UInt64;
  target @4 :UInt64;
  sequence @5 :UInt32;
  kind @6 :Kind;
  isLeaving @7 :Bool;
  isReady @8 :Bool;
  updates @9 :List(Update);
  announcements @10 :List(Announcement);
  note @11 :Data;
}
