// Requests of gateways and tools to control, and the answers to them.

// command is encoded by control_state.encode_command; the leader replaces its time by its own.
struct Propose { 1: required binary command }
// Code 1000 means that the command was applied; answer is then encoded by
// control_state.encode_result.
struct ProposeAnswer { 1: required i32 code, 2: required string message,
  3: required string leader_address, 4: required binary answer }

struct Heartbeat { 1: required string gateway_id, 2: required i64 incarnation,
  3: required string availability_zone, 4: required string address, 5: required string state,
  6: required i64 known_serial, 7: required i64 known_gateways }
struct LiveGateway { 1: required string gateway_id, 2: required i64 incarnation,
  3: required string availability_zone, 4: required string address, 5: required string state }
struct Adoption { 1: required string account, 2: required string request_id,
  3: required i64 generation }
// bundle is empty unless serial is above known_serial. gateways is empty if gateways_digest equals
// known_gateways: a list of 340 gateways in each answer would exceed a node's limit of 10 KB/s.
struct HeartbeatAnswer { 1: required i32 code, 2: required string message,
  3: required string leader_address, 4: required i64 serial, 5: required binary bundle,
  6: required list<Adoption> adoptions, 7: required i64 gateways_digest,
  8: required list<LiveGateway> gateways }

// An empty request_id requests the status only.
struct Read { 1: required string account, 2: required string request_id }
// body is the request's body, empty once it has finished; status is JSON.
struct ReadAnswer { 1: required i32 code, 2: required string message,
  3: required string leader_address, 4: required bool found, 5: required binary body,
  6: required string owner, 7: required i64 generation, 8: required bool finished,
  9: required binary status }

// Asks whether a gateway incarnation may be alive: its lease has not ended, or the leader is too new
// to know of it.
struct ReadOwner { 1: required string holder }
struct OwnerAnswer { 1: required i32 code, 2: required string message,
  3: required string leader_address, 4: required bool may_live }

// Requests the route bundle in force, confirmed by a majority.
struct ReadPublished { 1: required i64 known_version }
struct PublishedAnswer { 1: required i32 code, 2: required string message,
  3: required string leader_address, 4: required i64 version, 5: required binary content,
  6: required binary signature }

// Counts of answers that a gateway has seen since its last report, see core/rollouts.py; latencies
// ends with the last bucket that is not empty. A report that is sent again has the same sequence.
struct EvidenceCounts { 1: required string service_name, 2: required string version,
  3: required string route, 4: required i32 requests, 5: required i32 failures,
  6: required list<i32> latencies }
struct EvidenceReport { 1: required string node, 2: required i64 incarnation,
  3: required i64 sequence, 4: required list<EvidenceCounts> counts }
struct EvidenceAnswer { 1: required i32 code, 2: required string message,
  3: required string leader_address }

// Requests the latest order of a service, confirmed by a majority. state: 0 running, 1 completed, 2
// rolled back.
struct ReadRollout { 1: required string service_name }
struct RolloutAnswer { 1: required i32 code, 2: required string message,
  3: required string leader_address, 4: required bool found, 5: required string version,
  6: required i32 state }

// A process with a disk requests membership. is_member says whether it is a member already.
struct Join { 1: required string member_id, 2: required string address }
struct JoinAnswer { 1: required i32 code, 2: required string message,
  3: required string leader_address, 4: required bool is_member }
