@0xd6a1f0c25b7e4931;
# Messages between VMs, most of them within one data centre.

struct PeerMessage {
  vm @0 :Text;
  address @1 :Text;
  # Beat of the sender: epoch in the upper 32 bits, count in the lower 32.
  beat @2 :UInt64;

  union {
    news @3 :News;
    wantRecords @4 :UInt64;
    records @5 :Records;
    snapshot @6 :SnapshotPart;
  }
}

struct News {
  # Offset after the newest configuration record that the sender knows of.
  configNext @0 :UInt64;
  # Parallel lists: CRC-32 of a VM's name, and its beat.
  names @1 :List(UInt32);
  beats @2 :List(UInt64);
  values @3 :List(Value);
}

struct Value {
  vm @0 :Text;
  topic @1 :Text;
  # Beat of the VM when it set the value.
  beat @2 :UInt64;
  bytes @3 :Data;
}

struct Records {
  records @0 :List(LogRecord);
}

struct LogRecord {
  offset @0 :UInt64;
  at @1 :Float64;
  payload @2 :Data;
}

struct SnapshotPart {
  revision @0 :Int64;
  # Offset of the first record that the snapshot does not include.
  next @1 :UInt64;
  part @2 :UInt32;
  parts @3 :UInt32;
  body @4 :Data;
  # Offset at which the newest checkpoint in the log ends (-1: none), and its
  # time.
  checkpointOffset @5 :Int64;
  checkpointAt @6 :Float64;
}
