@0xb7d3a5f0c1e24968;
# Messages between entry routers and the owners of endpoints.
# Routers, shards, endpoints and accounts go by 32-bit tags of their names; loads
# are in 1/64 of a mean request. Pairs share a word, because each list and each
# word costs bytes: an endpoint's load is (endpoint << 24 | flag << 16 | load), a
# moved chat is (chat << 32 | endpoint).

struct Refresh {
  shard @0 :UInt32;
  boot @1 :UInt32;
  sequence @2 :UInt32;
  lastRequest @3 :UInt32;
  openRequests @4 :List(UInt32);
  loads @5 :List(UInt64);
  owned @6 :List(UInt64);
  results @7 :List(Result);
  moves @8 :List(UInt64);
  released @9 :List(UInt32);
  starved @10 :Bool;
}

struct Result {
  endpoint @0 :UInt32;
  succeeded @1 :UInt8;
  failed @2 :UInt8;
  milliseconds @3 :UInt16;
}

struct PermitRequest {
  refresh @0 :Refresh;
  number @1 :UInt32;
  account @2 :UInt32;
  share @3 :UInt16;
  rank @4 :UInt8;
  hasAffinity @5 :Bool;
  wait @6 :Bool;
  affinity @7 :UInt64;
  cost @8 :UInt16;
  promptTokens @9 :UInt32;
  milliseconds @10 :UInt32;
  excluded @11 :List(UInt32);
  hint @12 :UInt32;
  surging @13 :Bool;
}

struct PermitReply {
  shard @0 :UInt32;
  boot @1 :UInt32;
  number @2 :UInt32;
  endpoint @3 :UInt32;
  load @4 :UInt16;
  mean @5 :UInt16;
  status @6 :UInt8;
  reason @7 :UInt8;
  milliseconds @8 :UInt32;
}

struct Summary {
  shard @0 :UInt32;
  boot @1 :UInt32;
  sequence @2 :UInt32;
  owner @3 :UInt32;
  endpoints @4 :List(UInt64);
  queued @5 :UInt16;
  moves @6 :List(UInt64);
}
