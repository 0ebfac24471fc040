// Messages of the journal between gateways. Exactly one field of JournalMessage is set.
// Batches are stored in columns: element n of each column belongs to entry n of the batch.

struct Epoch {
  1: required i64 counter
  2: required string gateway
}

struct Config {
  1: required i64 version
  2: required list<string> holders
  3: required list<string> previous_holders
}

struct Attempt {
  1: required string engine
  2: required i64 number
}

struct Snapshot {
  1: required Config config
  2: required binary header
  3: required double keep_s
  4: required i64 generation
  5: required list<string> tokens
  6: optional i64 end_offset
  7: optional Attempt attempt
}

struct Install {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
  4: required bool fresh
  5: required Snapshot snapshot
}

struct Configure {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
  4: required Config config
}

struct Promise {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
}

struct Lookup {
  1: required string account
  2: required string request_id
}

// Frames of older versions lack `finished`, which means false.
struct Release {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
  4: required i64 config_version
  5: optional bool finished
}

struct Accepted {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
  4: required i64 config_version
  5: required i64 generation
  6: required i64 length
  7: required bool ended
  8: required i64 attempt_number
}

struct Gap {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
  4: required i64 generation
  5: required i64 length
}

struct Refused {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
  4: required i32 code
  5: required Epoch promised
}

struct Unknown {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
  4: optional list<Epoch> finished_epochs
}

struct Promised {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
  4: required Epoch accepted
  5: required Snapshot snapshot
}

struct Found {
  1: required string account
  2: required string request_id
  3: required Epoch promised
  4: required Epoch accepted
  5: required Config config
  6: required i64 generation
  7: required i64 length
  8: optional i64 end_offset
}

struct Released {
  1: required string account
  2: required string request_id
  3: required Epoch epoch
}

// `ends` is -1 for an entry whose generation has not ended. `attempts` holds the attempts of those
// entries that have one, and `attempt_entries` the positions of these entries. `tokens` is the
// concatenation of the tokens of all entries, `token_counts` the number of tokens of each.
struct AppendBatch {
  1: required string owner
  2: required list<string> accounts
  3: required list<string> request_ids
  4: required list<i64> counters
  5: required list<i64> config_versions
  6: required list<i64> generations
  7: required list<i64> offsets
  8: required list<i32> token_counts
  9: required list<string> tokens
  10: required list<i64> ends
  11: required list<i32> attempt_entries
  12: required list<Attempt> attempts
}

// The columns hold the Accepted replies. Other replies are in the list of their kind.
struct ReplyBatch {
  1: required string owner
  2: required list<string> accounts
  3: required list<string> request_ids
  4: required list<i64> counters
  5: required list<i64> config_versions
  6: required list<i64> generations
  7: required list<i64> lengths
  8: required list<bool> ended
  9: required list<i64> attempt_numbers
  10: required list<Gap> gaps
  11: required list<Refused> refusals
  12: required list<Unknown> unknowns
}

struct JournalMessage {
  1: optional AppendBatch append_batch
  2: optional ReplyBatch reply_batch
  3: optional Install install
  4: optional Configure configure
  5: optional Promise promise
  6: optional Lookup lookup
  7: optional Release release
  8: optional Accepted accepted
  9: optional Gap gap
  10: optional Refused refused
  11: optional Unknown unknown
  12: optional Promised promised
  13: optional Found found
  14: optional Released released
}
