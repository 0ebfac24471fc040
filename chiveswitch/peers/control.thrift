// Commands of the replicated control state, the answers to them and the snapshot of the state.

struct OperatorKey { 1: required string name, 2: required string role,
  3: required string public_key, 4: required string key_digest }

struct Bootstrap { 1: required list<OperatorKey> operators }
struct WriteBundle { 1: required string operation_id, 2: required string actor,
  3: required binary content }
struct ApproveBundle { 1: required string operation_id, 2: required string actor,
  3: required i64 version, 4: required binary digest, 5: required binary signature }
struct RollBundle { 1: required string operation_id, 2: required string actor,
  3: required i64 version, 4: required binary digest }
struct OpenIntent { 1: required string account, 2: required string key,
  3: required binary body_digest, 4: required string gateway, 5: required string operation_id }
// known is false when the holder stops waiting for the outcome: the request must not be sent again.
struct FinishIntent { 1: required string account, 2: required string key,
  3: required string gateway, 4: required i64 grant, 5: required bool known,
  6: required i32 status, 7: required binary body }
// Identifies the permit by the operation id of the OpenIntent that requested it: if the answer was
// lost, the gateway does not have the grant.
struct ReleaseIntent { 1: required string account, 2: required string key,
  3: required binary body_digest, 4: required string gateway, 5: required string operation_id }
struct AcceptRequest { 1: required string account, 2: required string request_id,
  3: required binary body, 4: required string owner }
struct ClaimGeneration { 1: required string account, 2: required string request_id,
  3: required i64 expected_generation, 4: required string owner, 5: required string operation_id }
struct FinishRequest { 1: required string account, 2: required string request_id,
  3: required i64 generation }
struct NextFence { 1: required string target }
// Writes, approves and rolls out a route bundle in one command; content is compressed JSON.
struct PublishRoutes { 1: required string actor, 2: required i64 version,
  3: required binary content, 4: required binary signature }
// Orders the roll-out of a version of a service's targets; share: first share of the requests.
struct StartRollout { 1: required string actor, 2: required string service_name,
  3: required string version, 4: required i64 duration_ms, 5: required double share,
  6: required binary signature }
// A step of the order in the given revision. spent and total: requests to the version and to the
// service so far. state: 0 running, 1 completed, 2 rolled back.
struct AdvanceRollout { 1: required string service_name, 2: required i64 serial,
  3: required i64 revision, 4: required i32 state, 5: required double share,
  6: required bool moves_copies, 7: required i64 spent, 8: required i64 total,
  9: required string reason }

struct Answer { 1: required i32 code, 2: required string message, 3: required string kind,
  4: required i64 number, 5: required binary digest, 6: required i32 status,
  7: required binary body, 8: required string owner, 9: required i64 term, 10: required bool flag }

struct BundleEntry { 1: required i64 version, 2: required binary content, 3: required binary digest,
  4: required string writer, 5: required string writer_key, 6: required string approver,
  7: required string approver_key }
struct PublishedEntry { 1: required i64 version, 2: required binary content,
  3: required binary digest, 4: required binary signature, 5: required string actor }
struct OperationEntry { 1: required string actor, 2: required string operation_id,
  3: required binary command_digest, 4: required binary answer, 5: required i64 time_ms }
// state: 0 pending, 1 uncertain, 2 finished, 3 released.
struct IntentEntry { 1: required string account, 2: required string key,
  3: required binary body_digest, 4: required i32 state, 5: required i64 grant,
  6: required string gateway, 7: required string operation_id, 8: required i32 status,
  9: required binary body, 10: required bool body_dropped, 11: required i64 time_ms,
  12: required list<string> released }
struct RequestEntry { 1: required string account, 2: required string request_id,
  3: required binary body, 4: required binary body_digest, 5: required string owner,
  6: required i64 generation, 7: required string operation_id, 8: required bool finished,
  9: required i64 time_ms }
struct FenceEntry { 1: required string target, 2: required i64 term, 3: required i64 number }
// serial: log index of the order. step rises with each change that gateways have to learn, revision
// with each change. changed_ms: time of the last change.
struct RolloutEntry { 1: required string service_name, 2: required string version,
  3: required string actor, 4: required binary signature, 5: required i32 state,
  6: required i64 serial, 7: required i64 step, 8: required i64 revision, 9: required double share,
  10: required bool moves_copies, 11: required i64 spent, 12: required i64 total,
  13: required i64 started_ms, 14: required i64 duration_ms, 15: required i64 changed_ms,
  16: required string reason }
struct AuditEntry { 1: required i64 index, 2: required i64 time_ms, 3: required string actor,
  4: required string action, 5: required i64 version, 6: required binary digest,
  7: required i64 serial }

struct Snapshot { 1: required i32 format, 2: required i64 index, 3: required i64 term,
  4: required i64 time_ms, 5: required list<OperatorKey> operators,
  6: required list<BundleEntry> bundles, 7: required i64 latest_version,
  8: required i64 rolled_version, 9: required i64 serial,
  10: required list<OperationEntry> operations, 11: required list<IntentEntry> intents,
  12: required list<RequestEntry> requests, 13: required list<FenceEntry> fences,
  14: required list<AuditEntry> audit, 15: required string limits,
  16: required list<PublishedEntry> published, 17: optional list<RolloutEntry> rollouts }
