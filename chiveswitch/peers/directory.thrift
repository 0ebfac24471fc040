// Pulls of directory entries between gateways. Entries are sent as parallel lists with one element
// for each entry, because a struct for each entry would add 3 bytes for each of its fields.

struct Model {
  1: required string model,
  2: required string adapter,
  3: required string version,
}

struct Description {
  1: required string id,
  2: required byte kind,
  3: required string availability_zone,
  4: required string address,
  5: required string peer_address,
  6: required i64 incarnation,
  7: required list<Model> models,
  8: required string role,
  9: required i32 capacity,
  10: required list<i64> warm_prefixes,
  11: required bool honours_fencing,
  12: required list<string> services,
}

struct PullRequest {
  1: required string asker,
  2: required string gateway_id,
  3: required i64 incarnation,
  4: required i64 watermark,
  5: required list<i64> wanted,
}

struct PullAnswer {
  1: required string gateway_id,
  2: required i64 incarnation,
  3: required i64 since,
  4: required i64 watermark,
  5: required list<i64> digests,
  6: required list<i32> sequences,
  // In hundredths of a second, rounded up.
  7: required list<i16> ages,
  8: required list<byte> states,
  9: required list<i16> running,
  10: required list<i16> queued,
  11: required list<Description> descriptions,
}
