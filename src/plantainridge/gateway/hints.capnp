@0xb7f0c1e4a2957d63;
# What the VMs of one data centre tell one another; any message may be lost.

struct Hint {
  vm @0 :Text;
  # Counts the sender's messages within one life of its process.
  life @1 :Text;
  number @2 :UInt64;
  loads @3 :List(Load);
  suspects @4 :List(Suspect);
  reached @5 :List(Reached);
}

# What the sender has in flight on one endpoint.
struct Load {
  endpoint @0 :Text;
  # Prompt tokens that are not read yet.
  pendingTokens @1 :UInt32;
  requests @2 :UInt16;
  # How much longer the sender spares it, in ms.
  awayMs @3 :UInt16;
  # Memory that these requests take at their end.
  memoryTokens @4 :UInt32;
}

# A request under which an endpoint broke off.
struct Suspect {
  fingerprint @0 :Text;
  endpoint @1 :Text;
}

# An engine that has just taken up new weights.
struct Reached {
  endpoint @0 :Text;
  model @1 :Text;
  version @2 :UInt32;
}
