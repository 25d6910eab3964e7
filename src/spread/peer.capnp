# How a process pulls what it lacks of a published document from another process.

@0xd2a4f6617c0b5e83;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("swiftloft::spread::schema");

struct Digest {
  high @0 :UInt64;                 # XXH3-128
  low @1 :UInt64;
}

struct Part {
  digest @0 :Digest;
  size @1 :UInt32;
}

struct Manifest {
  parts @0 :List(Part);
}

enum Status {
  ok @0;
  busy @1;                         # over the bytes this process may serve; ask another
  unknown @2;                      # not held, or no longer
}

struct BlobRequest {
  digests @0 :List(Digest);
}

# Blobs in the order asked for; the first one not held ends the list.
struct BlobReply {
  status @0 :Status;
  blobs @1 :List(Data);
}
