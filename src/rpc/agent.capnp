# Protocol between an entry instance and the agent in a backend server's slot.

@0xd713fb501ea9a5b3;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("swiftloft::rpc::schema");

enum Verdict {
  notRun @0;
  mayHaveRun @1;
  ran @2;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# One request as the entry hands it over. Times are relative because clocks of two instances don't agree: the receiver
# turns them into deadlines on its own clock.
struct Request {
  key @0 :Text;                    # what the engine and the logs know the request by
  ticket @1 :Ticket;
  service @2 :Text;
  organisation @3 :Text;
  isRepeatable @4 :Bool;
  remainingMs @5 :UInt32;          # until the request's deadline
  priority @6 :Int16;
  fingerprint @7 :UInt64;
  method @8 :Text;
  target @9 :Text;
  headers @10 :List(Header);
  body @11 :Data;
  runsAlone @12 :Bool;             # suspected of crashing backend servers: nothing else may run beside it
  promptTokens @13 :Int64;
  expectedTokens @14 :Int64;
  claim @15 :Claim;                # set for a request under a client's own key that may not run twice
  attachesOnly @16 :Bool;          # never starts it: the key runs or ran here under another claim
}

# Names one try at a request: only the agent incarnation named in it may start it, and only once.
struct Ticket {
  agent @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;                # the agent's epoch as the minter last heard it
  mintedBy @3 :UInt64;             # incarnation of the entry
  serial @4 :UInt64;
}

# An entry's attempt to become the only one that runs a client's own key.
struct Claim {
  organisation @0 :Text;
  key @1 :Text;
  entry @2 :UInt64;                # incarnation; with the serial it names the claim
  serial @3 :UInt64;
  revision @4 :UInt64;             # of the instance list that gave the key's homes
  runner @5 :Text;
}

enum ClaimAnswer {
  granted @0;
  held @1;
  staleList @2;
  tooYoung @3;
  full @4;
}

struct ClaimReply {
  answer @0 :ClaimAnswer;
  incarnation @1 :UInt64;
  runner @2 :Text;
  revision @3 :UInt64;
}

# News of one request fingerprint and one crash of a backend server.
struct Suspicion {
  fingerprint @0 :UInt64;
  crash @1 :UInt64;
  isCleared @2 :Bool;
  remainingMs @3 :UInt32;
  hops @4 :UInt32;
}

struct ResponseHead {
  status @0 :UInt16;
  headers @1 :List(Header);
}

# A piece of an answer: any of its head, some of its body and its end, so that a short answer takes one message.
# Offsets count body bytes from 0, so that a doubled or missing piece shows.
struct Frame {
  head @0 :ResponseHead;
  offset @1 :UInt64;
  bytes @2 :Data;
  end @3 :EndMark;
}

# Only an answer that ends with this mark, with this length and digest, is whole.
struct EndMark {
  length @0 :UInt64;
  digest @1 :UInt64;               # XXH3 of all body bytes
}

interface FrameSink {
  write @0 (frame :Frame) -> stream;
}

enum OutcomeKind {
  answered @0;                     # the end mark was sent
  refused @1;                      # nothing ran; see reason
  engineFailed @2;                 # the backend server broke off; see verdict
  cancelled @3;
}

enum Reason {
  none @0;
  leaving @1;
  wrongIncarnation @2;
  tombstone @3;                    # it was cancelled before it started
  overloaded @4;
  engineDown @5;
  engineCrashed @6;
  deadline @7;
  tooOld @8;                       # what was known of it has been dropped
  answerNotHeld @9;                # it ran, but the bytes asked for are no longer buffered
  quarantined @10;
  notClaimed @11;                  # the claim is not held here, or not any more
}

struct Outcome {
  kind @0 :OutcomeKind;
  verdict @1 :Verdict;
  reason @2 :Reason;
  crash @3 :UInt64;                # names the crash that broke it; 0 when the backend server has not crashed
}

# What an agent says of itself; sent in answer to every heartbeat.
struct Report {
  incarnation @0 :UInt64;
  isLeaving @1 :Bool;
  running @2 :UInt32;              # requests in progress at the engine
  queued @3 :UInt32;
  isEngineUp @4 :Bool;
  pendingTokens @5 :Int64;         # work accepted and not done, of all entries
  tokensPerSecond @6 :Float64;     # 0 when not known
  epoch @7 :UInt64;                # for the tickets that name this agent
  suspicions @8 :List(Suspicion);
  isReserved @9 :Bool;             # a suspect has, or waits for, the engine to itself
}

interface Agent {
  # Identifies the agent and doubles as heartbeat. What either end knows of crashes travels with it.
  report @0 (entry :Text, suspicions :List(Suspicion)) -> (report :Report);

  # Starts a request, or attaches to it when its key is already known: handing the same request over again, on this or
  # another connection, never starts it twice. Frames from body offset `offset` on go to sink; the head comes first when
  # it is asked for.
  run @1 (request :Request, offset :UInt64, needsHead :Bool, sink :FrameSink) -> (outcome :Outcome);

  # Gives a try up. One that had not started never will, and the verdict is notRun. One that runs is stopped.
  cancel @2 (ticket :Ticket) -> (verdict :Verdict);

  # Asks for a client's key. It may run only when all its homes have granted the same claim.
  claim @3 (claim :Claim) -> (reply :ClaimReply);

  # The claim will not be used.
  release @4 (claim :Claim);
}
