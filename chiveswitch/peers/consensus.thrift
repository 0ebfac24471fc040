// Messages between the members of the replicated log.

struct Entry { 1: required i64 index, 2: required i64 term, 3: required byte kind,
  4: required binary data }

struct PreVoteRequest { 1: required i64 term, 2: required i64 round, 3: required i64 last_index,
  4: required i64 last_term }
struct PreVoteResponse { 1: required i64 term, 2: required i64 round, 3: required bool granted }
struct VoteRequest { 1: required i64 term, 2: required i64 last_index, 3: required i64 last_term }
struct VoteResponse { 1: required i64 term, 2: required bool granted }
struct AppendRequest { 1: required i64 term, 2: required i64 previous_index,
  3: required i64 previous_term, 4: required list<Entry> entries, 5: required i64 commit_index,
  6: required i64 round }
struct AppendResponse { 1: required i64 term, 2: required bool success, 3: required i64 index,
  4: required i64 rejected_index, 5: required i64 round }
struct SnapshotChunk { 1: required i64 term, 2: required i64 snapshot_index,
  3: required i64 snapshot_term, 4: required binary configuration, 5: required i64 offset,
  6: required binary data, 7: required bool last, 8: required i64 round }
struct SnapshotAck { 1: required i64 term, 2: required i64 snapshot_index, 3: required i64 offset,
  4: required i64 round }

// All messages of one wake-up for one member. A member drops a frame whose `to` is not its own id,
// because a member whose disk was replaced listens at the old address under a new id.
// With the sender's address a joining member can reply before it has the configuration.
struct Frame { 1: required string to, 2: required string sender, 3: required string address,
  4: required list<binary> messages }
