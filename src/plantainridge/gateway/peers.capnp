@0xb7f0c1e4a2957d63;
# What the VMs tell one another; any message may be lost.

struct Message {
  union {
    hint @0 :Hint;
    relay @1 :Relay;
    wantStore @2 :WantStore;
    relays @3 :List(Relay);
  }
}

# News that the sender read, for those that did not.
struct Relay {
  # A view of the metadata store, or a KV cache store.
  subject @0 :Text;
  isStore @1 :Bool;
  # The receiver must have read up to `start`; it has then read up to `end`.
  start @2 :Int64;
  end @3 :Int64;
  # Whether this is all that there is.
  whole @4 :Bool;
  records @5 :List(Record);
  # Of a KV cache store only.
  epoch @6 :Int64;
  lost @7 :Bool;
  parts @8 :List(Part);
  clockMs @9 :Float64;
  vm @10 :Text;
}

struct Record {
  key @0 :Text;
  value @1 :Data;
  isDropped @2 :Bool;
}

struct Part {
  salt @0 :Text;
  id @1 :Text;
  # 0 for one that is gone.
  tokens @2 :UInt32;
}

struct WantStore {
  vm @0 :Text;
  store @1 :Text;
}

struct Hint {
  vm @0 :Text;
  # Counts the sender's messages within one life of its process.
  life @1 :Text;
  number @2 :UInt64;
  loads @3 :List(Load);
  suspects @4 :List(Suspect);
  reached @5 :List(Reached);
  # Whether the sender reads for nobody.
  isCutOff @6 :Bool;
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
