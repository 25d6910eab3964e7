# Messages with which entries lend each other unused parts of an organisation's limit. The control nodes of the entries
# transport them as notes. The protocol tolerates lost, duplicated and delayed messages.

@0xf5c6641cd4a77feb;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("swiftloft::entry::schema");

struct LendRequest {
  borrower @0 :Text;
  borrowerIncarnation @1 :UInt64;
  serial @2 :UInt64;
  spentUpTo @3 :UInt64;
  organisation @4 :Text;
  requests @5 :Float64;
  tokens @6 :Float64;
}

struct LendGrant {
  lender @0 :Text;
  borrowerIncarnation @1 :UInt64;
  serial @2 :UInt64;
  organisation @3 :Text;
  requests @4 :Float64;
  tokens @5 :Float64;
  leaseMs @6 :UInt32;
}

struct Loan {
  union {
    request @0 :LendRequest;
    grant @1 :LendGrant;
  }
}
