@0xd94f1a6be0c72835;
# Writes of claims that a router hands to a gatherer.

struct ClaimWrite {
  key @0 :Text;
  expected @1 :UInt64;
  value @2 :Data;
  isDelete @3 :Bool;
}

struct ClaimReply {
  status @0 :UInt8;
  revision @1 :UInt64;
}
