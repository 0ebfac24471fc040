// Envelope of each message between the system's processes.
struct Envelope {
  1: required i16 version,
  2: required i16 kind,
  3: required i64 request_id,
  4: required bool is_reply,
  5: required i32 code,
  6: required binary payload,
  7: required string trace,
}

// All journal messages of one wake-up for one holder. A holder answers only if `to` is its own id,
// because a restarted gateway listens at the same address but has none of the old one's data.
struct JournalFrame {
  1: required string to,
  2: required string sender,
  3: required list<binary> messages,
}
