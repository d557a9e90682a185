# What members tell each other.
@0xe7c2b90d41f5a863;

struct Member {
  router @0 :Text;
  host @1 :Data;
  # IP number in network byte order, 4 or 16 bytes.
  port @2 :UInt16;
  failureDomain @3 :Text;
  state @4 :UInt8;
  incarnation @5 :UInt64;
}

struct Endpoint {
  endpoint @0 :Text;
  state @1 :UInt8;
  version @2 :UInt64;
}

struct DomainReport {
  bridge @0 :Text;
  failureDomain @1 :Text;
  reachable @2 :Bool;
  version @3 :UInt64;
}

struct Rumours {
  members @0 :List(Member);
  endpoints @1 :List(Endpoint);
  reports @2 :List(DomainReport);
}

struct Ping {
  sequence @0 :UInt32;
  target @1 :Text;
  sender @2 :Text;
  incarnation @3 :UInt64;
  digest @4 :UInt32;
  rumours @5 :Rumours;
}

struct Ack {
  sequence @0 :UInt32;
  incarnation @1 :UInt64;
  digest @2 :UInt32;
  known @3 :Bool;
  rumours @4 :Rumours;
}

struct RelayRequest {
  sequence @0 :UInt32;
  target @1 :Member;
}

struct RelayReply {
  sequence @0 :UInt32;
  incarnation @1 :UInt64;
}

struct SyncRequest {
  sender @0 :Member;
  digests @1 :List(UInt32);
}

struct SyncReply {
  rumours @0 :Rumours;
  buckets @1 :List(UInt16);
  complete @2 :Bool;
}
