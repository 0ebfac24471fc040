// Messages between nodes and hubs. A hub is a control member that publishes the reports sent to it.

// The reports of one target are ordered by born_ms and then sequence. state: 0 ready, 1 draining,
// 2 gone. version: of the target's software, only where operators order roll-outs of versions.
struct TargetReport { 1: required string target_id, 2: required string service_name,
  3: required string address, 4: required string availability_zone, 5: required i32 slots,
  6: required i32 state, 7: required i64 born_ms, 8: required i64 sequence,
  9: required bool overdue, 10: optional string version }

// Targets that drain or have gone: a leave that a hub passes to the other hubs before it acknowledges
// it, or the leaves that a node knows and a hub that has started does not.
struct TargetReports { 1: required list<TargetReport> reports }

// The leaves that a hub keeps in its data folder, each one an encoded StoredLeave. reported_at_ms: time
// of day of the last report.
struct StoredLeave { 1: required TargetReport report, 2: required i64 reported_at_ms }
struct StoredLeaves { 1: required list<binary> leaves }

// state: 0 ready, 1 draining, 2 gone. room: free share of the node's scarcest resource in thousandths,
// missing unless the node is short of it.
struct NodeReport { 1: required string name, 2: required i64 incarnation,
  3: required string availability_zone, 4: required string region, 5: required string caller_address,
  6: required string peer_address, 7: required i32 state, 8: optional i32 room }

// What a gateway observed of a target's speed during a run. born_ms: start time of the target's
// incarnation; percent: how long work takes there, 100 as usual.
struct SpeedReport { 1: required i64 born_ms, 2: required i32 percent }

// Names the target that holds the memory of a run. sequence orders one node's reports of a run.
// state: 0 active, 1 ended, 2 interrupted before the response was complete. Earlier versions had the
// session in the place of request_digest; a session contains no colon, with which a digest begins.
// speed is missing before the response begins, and if the target states no slowdown.
struct RunReport { 1: required string run_id, 2: required string request_digest, 3: required string target_id,
  4: required string copy_target_id, 5: required i64 tokens, 6: required i32 state,
  7: required string node, 8: required i64 sequence, 9: required string copy_reference,
  10: optional SpeedReport speed }

// Asks the node of a run whether the run's caller has lost the response before its end, and for the
// last event that was sent to the caller, -1 if unknown.
struct RunQuery { 1: required string run_id }
struct RunQueryAnswer { 1: required bool abandoned, 2: required i64 last_event_id }

// A gateway could not reach a target, or its streams to the target broke; at_ms orders the reports.
struct LossReport { 1: required string target_id, 2: required string node, 3: required i64 at_ms }

// What happened to a prompt at an engine: outcome 0 the engine crashed before it began to answer, 1 it
// crashed while it began to answer, 2 it has sent events. The last part belongs to the request or
// session, except in reports with outcome 2. age_ms: time since then when the message is sent.
struct PromptReport { 1: required i32 outcome, 2: required list<string> parts,
  3: required string target_id, 4: required i64 age_ms }
struct PromptReports { 1: required list<PromptReport> reports }

// What a response of a target said about the rate of requests that it takes: `rate` in requests per
// second if `limited`, else 0. age_ms and since_ms: time since the response, and since the first one
// that named a limit, when the message is sent.
struct LimitReport { 1: required string target_id, 2: required i64 born_ms, 3: required bool limited,
  4: required double rate, 5: required i64 age_ms, 6: required i64 since_ms, 7: required string source }
struct LimitReports { 1: required list<LimitReport> reports }

// What a response said about the room of a target. age_ms: time since the response.
struct TargetLoad { 1: required string target_id, 2: required i32 running, 3: required i32 waiting,
  4: required i32 slots, 5: required i32 age_ms }

// Requests for grants to send to targets with a limit, or with `loads` to targets that are full, whose
// rates are then those of the usual work time. A grant without target is refused. key: the same for all
// attempts of a caller at one request.
struct QuotaTarget { 1: required string target_id, 2: required double rate }
struct QuotaRequest { 1: required list<QuotaTarget> targets, 2: required string account,
  3: required i32 priority, 4: required i32 max_wait_ms, 5: required bool resumed, 6: optional i64 key }
struct QuotaRequests { 1: required string service_name, 2: required list<QuotaRequest> requests,
  3: optional list<TargetLoad> loads }
struct QuotaGrant { 1: required string target_id, 2: required i32 delay_ms, 3: required i32 retry_after_ms }
struct QuotaGrants { 1: required list<QuotaGrant> grants }

// The latest order of a service; see core/rollouts.py. valid_ms: time for which the share of a running
// order may be used.
struct RolloutState { 1: required string service_name, 2: required string version, 3: required i32 state,
  4: required i64 serial, 5: required i64 step, 6: required double share,
  7: required bool moves_copies, 8: required i32 valid_ms }

struct Watch { 1: required NodeReport node, 2: required i64 hub_incarnation, 3: required i64 position,
  4: required i64 known_version, 5: required bool wants_bundle, 6: required list<RunReport> runs,
  7: required list<LossReport> losses }
struct WatchAnswer { 1: required bool is_hub, 2: required i64 hub_incarnation, 3: required i64 position,
  4: required i64 members_index, 5: required list<string> hubs, 6: required i64 version,
  7: required binary content, 8: required binary signature, 9: required list<TargetReport> targets,
  10: required list<NodeReport> nodes, 11: required list<RunReport> runs,
  12: required list<LossReport> losses, 13: optional list<PromptReport> prompts,
  14: optional list<LimitReport> limits, 15: optional list<RolloutState> rollouts }

struct Report { 1: required TargetReport target }
struct ReportAnswer { 1: required bool accepted, 2: required string hub_address }
