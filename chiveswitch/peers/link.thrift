// Envelope of every message between the system's own processes.
struct Envelope {
  1: i16 version,
  2: i16 kind,
  3: i64 request_id,
  4: bool is_reply,
  5: i32 code,
  6: binary payload,
  7: string trace,
}

// Journal messages of one wake-up for one holder. A holder answers only if `to` is its own id,
// since a restarted gateway listens at the same address but holds nothing of the old one.
struct JournalFrame {
  1: string to,
  2: string sender,
  3: list<binary> messages,
}
