@0xd1a7c3f0b8e94215;

# Messages between entry processes. Small fixed messages have typed fields;
# objects that already have a JSON form in the HTTP API travel as JSON text, so
# that each has one definition only.

struct Authority {
  term @0 :UInt64;
  handover @1 :UInt32;
}

struct Placement {
  team @0 :Text;
  queue @1 :Text;
  keyDigest @2 :Text;       # empty for a queue open to all
  requestId @3 :Text;
  waitMs @4 :UInt32;        # longest time that the owner may queue the request
  entry @5 :Text;           # EntryId of the entry that dispatches the request
  avoid @6 :List(Text);     # workers that failed earlier attempts
  configVersion @7 :UInt64; # version that the sender has in force
}

struct Grant {
  id @0 :UInt64;
  worker @1 :Text;
  address @2 :Text;
  authority @3 :Authority;
  domain @4 :Text;
  boot @5 :Text;            # boot of the worker that the grant is for
  notAfter @6 :UInt64;      # milliseconds of the worker's clock
}

struct Refusal {
  kind @0 :Text;            # code of the error kind
  message @1 :Text;
}

struct Info {
  entry @0 :Text;
  domain @1 :Text;
  configVersion @2 :UInt64;
  isOwner @3 :Bool;
  ownerEntry @4 :Text;      # empty when no owner is known
  ownerAddress @5 :Text;
  authority @6 :Authority;
  draining @7 :Bool;
  highestAuthority @8 :Authority; # highest that the entry knows
  mayHold @9 :Bool;         # holds its domain or is prepared for a handover
}

interface Peer {
  info @0 () -> (info :Info);
  place @1 (placement :Placement) -> (grant :Grant, refusal :Refusal, granted :Bool);
  release @2 (grantId :UInt64, authority :Authority, answered :Bool) -> ();
  submit @3 (record :Text) -> (refusal :Refusal, accepted :Bool);
  cancel @4 (job :Text, team :Text) -> (refusal :Refusal, accepted :Bool);
  jobStatus @5 (job :Text) -> (record :Text, found :Bool);
  promise @6 (domain :Text, holder :Text, authority :Authority, ttlMs :UInt32) -> (given :Bool);
  handover @7 (state :Text) -> (accepted :Bool);
  fetchConfig @8 (above :UInt64) -> (version :UInt64, body :Text);
  offerConfig @9 (version :UInt64, body :Text) -> ();
}
