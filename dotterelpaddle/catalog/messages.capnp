# What the catalogs of different routers tell each other.
@0xb3f0d1c6a4925e77;

struct Entry {
  key @0 :Text;
  revision @1 :UInt64;
  retired @2 :Bool;
  value @3 :Data;
}

struct Delta {
  base @0 :UInt64;
  head @1 :UInt64;
  full @2 :Bool;
  floor @3 :UInt64;
  entries @4 :List(Entry);
}

struct Push {
  revision @0 :UInt64;
  # The sender's own revision.
  age @1 :UInt32;
  # Milliseconds since the sender knows the platform's state; all ones for never.
  relay @2 :Bool;
  # Whether the receiver passes it on in its failure domain.
  content @3 :Data;
  # A Delta, packed and compressed.
}

struct Digest {
  revision @0 :UInt64;
  checksum @1 :UInt64;
  age @2 :UInt32;
  kind @3 :UInt8;
}

struct Pull {
  base @0 :UInt64;
  part @1 :UInt16;
  # Which part of everything, from 0.
  parts @2 :UInt16;
  # In how many parts everything is asked for.
}

struct Bulk {
  ready @0 :Bool;
  age @1 :UInt32;
  chunks @2 :List(Data);
  # Deltas, each packed and compressed.
  parts @3 :UInt16;
  # In how many parts to ask, as the answer would be too long.
}

struct Survey {
  revision @0 :UInt64;
  timeout @1 :UInt32;
  # Milliseconds until the answer must be sent.
  routers @2 :List(UInt32);
  # Further routers to ask, by the hash of their name.
}

struct SurveyReply {
  revision @0 :UInt64;
  # The answering router's own revision.
  pending @1 :List(UInt32);
  unreachable @2 :List(UInt32);
}
