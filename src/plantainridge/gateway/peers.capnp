@0xb7f0c1e4a2957d63;
# Messages between VMs; any message may be lost.

struct Message {
  union {
    hint @0 :Hint;
    relay @1 :Relay;
    wantStore @2 :WantStore;
    relays @3 :List(Relay);
    dcLoad @4 :LoadReport;
    totals @5 :LoadReport;
    origins @6 :StreamOrigins;
    wantOrigins @7 :OriginQuestion;
    wantPlacement @8 :PlacementRequest;
    placement @9 :PlacementAnswer;
    run @10 :RunReport;
    wantView @11 :WantView;
    rates @12 :RateReports;
  }
}

# A request of a VM for an engine that has memory for a large prompt.
struct PlacementRequest {
  vm @0 :Text;
  # Incarnation of the sender's process.
  life @1 :Text;
  # Unique within the incarnation; repeated if the request is sent again.
  number @2 :UInt64;
  service @3 :Text;
  model @4 :Text;
  # Empty for a public request.
  team @5 :Text;
  parts @6 :List(PromptPart);
  promptTokens @7 :UInt32;
  # Memory of the run when it ends, in tokens.
  memoryTokens @8 :UInt32;
  urgency @9 :UInt8;
  # Latency up to which the answer earns full credit, in ms.
  targetMs @10 :UInt32;
  # Time since the request arrived, in ms.
  waitedMs @11 :UInt32;
  # Time that is left until its deadline, in ms.
  remainingMs @12 :UInt32;
  # Whether the team shares no cached parts with others.
  isIsolated @13 :Bool;
  # Engines that the sender cannot use for it.
  excluded @14 :List(Text);
  # Whether the sender no longer needs an engine.
  isWithdrawn @15 :Bool;
}

# A part of a prompt.
struct PromptPart {
  id @0 :Text;
  tokens @1 :UInt32;
}

# The coordinator's answer to a placement request.
struct PlacementAnswer {
  # The coordinator.
  vm @0 :Text;
  # Incarnation and number of the request.
  life @1 :Text;
  number @2 :UInt64;
  # The engine that is granted; empty if there is none yet.
  endpoint @3 :Text;
  # Set if the request is to be refused: time until a retry is worthwhile.
  retryAfterMs @4 :UInt32;
  isRefused @5 :Bool;
  # Whether the sender does not decide: the receiver has to decide by itself.
  isDeclined @6 :Bool;
  # Incarnation of the coordinator's process.
  coordinatorLife @7 :Text;
  # Leading parts of the prompt that the granted engine is expected to have.
  cachedParts @8 :UInt16;
}

# Progress of a run whose engine was granted.
struct RunReport {
  vm @0 :Text;
  life @1 :Text;
  number @2 :UInt64;
  # Whether it has ended; else its prompt has been computed.
  hasEnded @3 :Bool;
}

# How fast one endpoint was: in a hint, as the sender observed it itself; in a
# load report, as the VMs of its data centre did; in totals, as those of all
# other data centres did.
struct SpeedDigest {
  endpoint @0 :Text;
  # Unix time of the start of the run that was observed, in ms.
  startedMs @1 :Int64;
  ranges @2 :List(SpeedSum);
}

# Observations in one range of an endpoint's fill ratio.
struct SpeedSum {
  # Number of the range, 0 for the lowest.
  range @0 :UInt8;
  # Weight of the observations, in hundredths.
  weight @1 :UInt16;
  # Mean of the observed time relative to the predicted one, in percent.
  ratio @2 :UInt16;
  # Mean of the slowdown that the endpoint reported meanwhile, in percent.
  reported @3 :UInt16;
}

# Rates that endpoints in need stated. In a message of its own, as fields of
# messages that are sent anyway would cost bytes while there are none.
struct RateReports {
  vm @0 :Text;
  # Whether the sender has them from VMs of other data centres.
  isRelayed @1 :Bool;
  rates @2 :List(Rate);
}

# What an endpoint in need stated: how many requests it takes.
struct Rate {
  endpoint @0 :Text;
  # Unix time of the start of the run that stated it, in ms.
  startedMs @1 :Int64;
  # From all VMs together.
  requestsPerS @2 :Float32;
  # Whether it no longer states a rate.
  hasEnded @3 :Bool;
  # Time since then, in ms.
  ageMs @4 :UInt32;
}

# The VM that coordinates placements in a data centre.
struct Coordinator {
  dc @0 :Text;
  vm @1 :Text;
}

# Streams that began at engines of one build.
struct StreamOrigins {
  service @0 :Text;
  # Version of the engines' software.
  build @1 :Text;
  # Hashes of the attempts that brought the streams' first events.
  attempts @2 :List(UInt64);
}

# A question of where streams began.
struct OriginQuestion {
  vm @0 :Text;
  attempts @1 :List(UInt64);
  # Where the sender receives answers: its entry may not have been read yet.
  address @2 :Text;
}

# Load that the VMs of one or several data centres have in flight.
struct LoadReport {
  vm @0 :Text;
  # Incarnation of the sender's process.
  life @1 :Text;
  # Sequence number within the incarnation.
  number @2 :UInt64;
  # Work that arrives in the data centres whose VMs the load is of.
  work @3 :List(Work);
  loads @4 :List(Load);
  # Whether the loads include those of the sender's data centre.
  hasLocal @5 :Bool;
  speeds @6 :List(SpeedDigest);
  # In totals: the coordinators that the sender knows. In a data centre's load:
  # the sender, if it answers placement requests.
  coordinators @7 :List(Coordinator);
  # Hashes of the VMs of these data centres that are listed and not live.
  absentVms @8 :List(UInt32);
}

# Work that arrives in one data centre for one service.
struct Work {
  # Empty in a hint.
  dc @0 :Text;
  service @1 :Text;
  tokensPerS @2 :UInt32;
}

# Updates that the sender read, for peers that do not read the subject.
struct Relay {
  # A view of the metadata store, or a KV cache store.
  subject @0 :Text;
  isStore @1 :Bool;
  # Range of the updates: the receiver must have read up to `start` before, and
  # has read up to `end` afterwards.
  start @2 :Int64;
  end @3 :Int64;
  # Whether `parts` are the store's entire contents.
  whole @4 :Bool;
  records @5 :List(Record);
  # These are set for a KV cache store only.
  epoch @6 :Int64;
  # Whether the store does not answer.
  lost @7 :Bool;
  parts @8 :List(Part);
  # The engines' clock, in ms; 0 if not stated.
  clockMs @9 :Float64;
  vm @10 :Text;
  # The metadata store's era in which a view was read.
  era @11 :UInt64;
  # Loop time that the receiver had reached when the read was issued, as known
  # from its hint, in s; 0 if unknown.
  receiverTimeS @12 :Float64;
  # Incarnation of the receiver to which that time belongs.
  receiverLife @13 :Text;
  # Whether it answers a request for what the receiver missed: the newest
  # records of a view, read at some earlier time.
  isAnswer @14 :Bool;
  # Time for which a store was known to be in its epoch when it answered.
  epochAgeMs @15 :UInt32;
}

struct Record {
  key @0 :Text;
  value @1 :Data;
  isDropped @2 :Bool;
}

struct Part {
  salt @0 :Text;
  id @1 :Text;
  # 0 for a removed part.
  tokens @2 :UInt32;
}

# A request for the records of a view that the sender missed.
struct WantView {
  vm @0 :Text;
  view @1 :Text;
  # Offset up to which the sender has read, and the metadata store's era.
  start @2 :Int64;
  era @3 :UInt64;
}

struct WantStore {
  vm @0 :Text;
  store @1 :Text;
  # Number and epoch of the event from which the sender misses events; without
  # them it requests all contents.
  epoch @2 :UInt64;
  since @3 :Int64 = -1;
}

struct Hint {
  vm @0 :Text;
  # Incarnation of the sender's process.
  life @1 :Text;
  # Sequence number within the incarnation.
  number @2 :UInt64;
  loads @3 :List(Load);
  suspects @4 :List(Suspect);
  reached @5 :List(Reached);
  # Whether the sender does not read for its data centre.
  isCutOff @6 :Bool;
  # Work that arrives at the sender.
  work @7 :List(Work);
  # Endpoints that stated to the sender that they are leaving.
  leaving @8 :List(Leaving);
  # Highest era of the metadata store that the sender knows.
  era @9 :UInt64;
  # Loop time at which the sender asks for the ages of versions, in s; 0 if it
  # does not ask.
  askedAtS @10 :Float64;
  # That time of the receiver if `versions` answers it, in s; else 0.
  answersAtS @11 :Float64;
  versions @12 :List(VersionAge);
  # Suspects of crashes that answers cleared.
  cleared @13 :List(Text);
  quarantined @14 :List(Quarantined);
  # Loop time at which the sender sent this hint, in s; 0 if not stated.
  sentAtS @15 :Float64;
  speeds @16 :List(SpeedDigest);
  # Suspects that the sender only knows from the record in the metadata store.
  recorded @17 :List(Text);
}

# Target version of a model.
struct VersionAge {
  model @0 :Text;
  version @1 :UInt32;
  # Longest time for which the version may have been named, in s; infinite if
  # the sender does not know.
  ageS @2 :Float64;
  # Whether it was named at most shortly later.
  isPrecise @3 :Bool;
}

struct Leaving {
  endpoint @0 :Text;
  # Unix time of the start of the run that leaves, in ms.
  startedMs @1 :Int64;
}

# Load that the sender has in flight on one endpoint.
struct Load {
  endpoint @0 :Text;
  # Prompt tokens whose prefill is not done yet.
  pendingTokens @1 :UInt32;
  requests @2 :UInt16;
  # Remaining time for which the sender sends the endpoint no work, in ms.
  awayMs @3 :UInt16;
  # KV cache memory of the requests at their full length, in tokens.
  memoryTokens @4 :UInt32;
  # Whether that time is since the sender could not reach the endpoint.
  isUnreached @5 :Bool;
  # Share of the above in runs whose engine a coordinator granted.
  grantedPendingTokens @6 :UInt32;
  grantedRequests @7 :UInt16;
  grantedMemoryTokens @8 :UInt32;
}

# A request during which an endpoint broke the connection.
struct Suspect {
  fingerprint @0 :Text;
  endpoint @1 :Text;
  # Ids of the prompt's parts, without the last.
  parts @2 :List(Text);
  sentAgoMs @3 :UInt32;
  brokenAgoMs @4 :UInt32;
}

# A prompt part or a request that crashes endpoints.
struct Quarantined {
  suspect @0 :Text;
  # Time since the last crash with it, in ms.
  idleMs @1 :UInt32;
}

# An engine that has just loaded a new weight version.
struct Reached {
  endpoint @0 :Text;
  model @1 :Text;
  version @2 :UInt32;
}
