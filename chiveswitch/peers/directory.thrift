// Pulls of directory entries between gateways. Entries are sent as parallel lists with one element
// for each entry, because a struct for each entry would add 3 bytes for each of its fields.

struct Model {
  1: string model,
  2: string adapter,
  3: string version,
}

struct Description {
  1: string id,
  2: byte kind,
  3: string availability_zone,
  4: string address,
  5: string peer_address,
  6: i64 incarnation,
  7: list<Model> models,
  8: string role,
  9: i32 capacity,
  10: list<i64> warm_prefixes,
  11: bool honours_fencing,
  12: list<string> services,
}

struct PullRequest {
  1: string asker,
  2: string gateway_id,
  3: i64 incarnation,
  4: i64 watermark,
  5: list<i64> wanted,
}

struct PullAnswer {
  1: string gateway_id,
  2: i64 incarnation,
  3: i64 since,
  4: i64 watermark,
  5: list<i64> digests,
  6: list<i32> sequences,
  // In hundredths of a second, rounded up.
  7: list<i16> ages,
  8: list<byte> states,
  9: list<i16> running,
  10: list<i16> queued,
  11: list<Description> descriptions,
}
