// The messages between sapphireyoke's own processes. Each travels as a
// length-prefixed frame in TCompactProtocol over one multiplexed TCP link.
// Regenerate with scripts/gen.sh; the generated code in gen/ is committed.
namespace cpp sapphire.gen

enum Role { ENTRY = 1, ENDPOINT = 2 }

// First frame in each direction of a link.
struct Hello {
  1: string vm
  2: string zone
  3: Role role
  // Random per process start: tells a restarted process from its predecessor.
  4: i64 incarnation
  // Where the sender itself listens for links, "ip:port".
  5: string listen_address
}

struct Heartbeat {}

// Grants the peer `messages` more messages on this call (flow control).
struct Credit { 1: i32 messages }

// The peer has given up on this call.
struct Cancel {}

// Terminal answer of any call that did not succeed.
struct Refusal {
  // core::ErrorCode, by its stable name.
  1: string code
  2: string detail
  3: i64 retry_after_ms
  // True only where it is certain that nothing ran.
  4: bool not_run
}

// Entry to the model's home entry: find me an endpoint with the model loaded.
// Answered by Placed or Refusal. The call then stays open: it holds the slot
// until PlaceDone arrives or the link is lost.
struct Place {
  1: string request_id
  2: string model
  3: string adapter
  4: i64 remaining_ms
  5: i32 priority
  6: string owner
  7: i64 fingerprint
  8: i64 prefix_hash
  // Endpoints that this request must not be placed on again.
  9: list<string> avoid
}

struct Placed {
  1: string endpoint
  2: string address
  // How long the endpoint keeps the replica once it is idle.
  3: i64 keep_alive_ms
}

enum RunResult {
  COMPLETED = 1,
  // The endpoint said that it never started the request.
  NOT_STARTED = 2,
  // The engine died while the request ran on it.
  ENGINE_CRASHED = 3,
  ABANDONED = 4
}

struct PlaceDone { 1: RunResult result }

// One request to an endpoint, or to a home entry that runs it for the caller
// (non-idempotent requests). Answered by RunHead, Chunk..., RunEnd; or Refusal
// at any point.
struct Run {
  1: string request_id
  // One per dispatch; the endpoint runs an attempt at most once.
  2: string attempt_id
  // The service the request belongs to, and the model ("" for a plain service).
  3: string service_id
  4: string model
  5: string adapter
  6: i64 remaining_ms
  7: i32 priority
  8: string owner
  9: i64 fingerprint
  10: bool non_idempotent
  // Set on non-idempotent requests: the caller's key.
  11: string idempotency_key
  12: string method
  13: string path
  14: string content_type
  15: binary body
  // Negative: the endpoint's own setting.
  16: i64 keep_alive_ms = -1
  17: i64 prefix_hash
}

struct RunHead { 1: i32 status, 2: string content_type }

// sequence counts from 0; a gap means a lost part and ends the call with an error.
struct Chunk { 1: i64 sequence, 2: binary data }

// Totals let the receiver prove that the answer is whole.
struct RunEnd { 1: i64 chunks, 2: i64 bytes }

// Asks an endpoint whether an attempt ever started; if it did not, the
// endpoint tombstones the attempt so that a late copy is refused.
struct VoidAttempt { 1: string attempt_id }
struct AttemptState { 1: bool started, 2: i64 incarnation }

// Use of something that an engine holds, as far as the asking entry knows.
struct ResidentUse {
  1: string model
  // Empty: the model itself.
  2: string adapter
  // Requests in progress, of all entries.
  3: i32 running
  // Requests that began lately, per 1000 seconds.
  4: i64 demand_per_1000_s
  // Since the last one began; negative: none is known.
  5: i64 idle_ms
}

// Home to endpoint: have the model (and adapter) loaded. Answered by
// ModelReady or Refusal.
struct EnsureModel {
  1: string service_id
  2: string model
  3: string adapter
  4: i64 remaining_ms
  // Negative: the endpoint's own setting.
  5: i64 keep_alive_ms = -1
  // Idle models the home allows this endpoint to unload to make room.
  6: list<string> evict
  // The start of the engine that is meant: the order is void for another one.
  7: string engine_instance
  // What the asking entry knows of the use of all that the engine holds.
  8: list<ResidentUse> resident_use
}
struct ModelReady { 1: string model, 2: string adapter }

// The process that may give an engine its orders, in the key-value service
// under its lease.
struct EngineHolder {
  1: string vm
  // Where it takes EnsureModel: "ip:port" of its links.
  2: string address
}

// The process beside an engine asks its holder on another VM to give the engine
// up. Answered by EngineReleased once no order of the holder is open.
struct ReleaseEngine { 1: string engine_address }
struct EngineReleased {}

enum ReplicaState { LOADING = 1, READY = 2, DRAINING = 3, UNLOADING = 4 }

struct ReplicaReport {
  1: string model
  2: ReplicaState state
  3: i32 running
  4: i64 idle_ms
  5: list<string> adapters
  // Weights, adapters and KV cache budget together.
  6: i64 bytes
  // Requests for the model that began here lately, per 1000 seconds.
  7: i64 demand_per_1000_s
}

// Opened by each entry towards each endpoint; the endpoint sends an
// EndpointReport at once, on every change, and every report interval.
struct Subscribe {}

struct EndpointReport {
  1: string endpoint
  2: string zone
  3: i64 incarnation
  4: bool leaving
  // "model" or the name of the plain service behind this endpoint.
  5: string kind
  6: i64 memory_bytes
  7: i64 reserved_bytes
  8: i32 running
  9: i32 max_running
  10: list<ReplicaReport> replicas
  // Models whose checkpoints are cached on this machine, by tier.
  11: list<string> memory_tier
  12: list<string> disk_tier
  13: bool engine_up
}

// An entry that runs, in the key-value service under its lease: where the
// others send it datagrams.
struct EntryPresence { 1: string vm, 2: string zone, 3: string address }

// What an entry sends to engines, and which models it is having loaded: one
// datagram to another entry. Absolute, so that a lost one does no harm.
struct EngineUse { 1: string engine_instance, 2: list<ResidentUse> parts }
struct ComingLoad {
  1: string engine_instance
  2: string model
  3: i64 ready_in_ms
  4: bool from_weight_store
}
struct EngineLimit { 1: string engine_instance, 2: double per_second }
struct EntryRecord {
  // The key of the sender's EntryPresence: names one start of an entry.
  1: string entry
  // Counts the sender's datagrams: one that was overtaken is passed over.
  2: i64 number
  3: list<EngineUse> uses
  4: list<ComingLoad> loads
  // What the latest load from the weight store took that this entry asked for;
  // 0: none lately.
  5: i64 store_load_ms
  // What engines have named to this entry lately.
  6: list<EngineLimit> limits
}

// What one entry has granted of a quota lately.
struct QuotaUsage {
  // The key of its EntryPresence.
  1: string entry
  // Counts what it grants and takes back: a lower one is passed over.
  2: i64 number
  // Units by age, newest first; each step is a part of the quota's window.
  3: list<i64> steps
}

// Asks the coordinator of a quota for units of it. Answered by
// QuotaAnswer; a repeated ask has the same number and is charged once.
struct QuotaAsk {
  // The key of the sender's EntryPresence.
  1: string entry
  2: i64 number
  // What the quota limits, by the name that all entries use for it.
  3: string quota
  // 0 asks for a sign of life and the quota's use; below 0 gives back and is
  // not answered.
  4: double units
  // The limit as the sender knows it; the highest version holds.
  5: i64 version
  6: double units_per_second
  7: double burst
  // The request waits so long for the quota to have room.
  8: i64 wait_ms
  // What the sender knows of the quota's use.
  9: list<QuotaUsage> usage
}
enum QuotaVerdict { GRANTED = 1, DENIED = 2, NOT_COORDINATOR = 3 }
struct QuotaAnswer {
  1: string entry
  2: i64 number
  3: QuotaVerdict verdict
  // GRANTED: the request starts after this; DENIED: when to come back.
  4: i64 delay_ms
  // NOT_COORDINATOR: the entry that coordinates, as the sender sees it.
  5: string coordinator
  6: string coordinator_address
  // Answers 0 units: the quota asked for, and what the sender knows of its use.
  7: string quota
  8: list<QuotaUsage> usage
}

// One datagram between two entries. Exactly one field is set.
struct EntryDatagram {
  1: optional EntryRecord record
  2: optional QuotaAsk quota_ask
  3: optional QuotaAnswer quota_answer
  // The same for requests to an engine that has named a limit.
  4: optional QuotaAsk engine_ask
  5: optional QuotaAnswer engine_answer
}

// Operators' drain of one endpoint. Answered by DrainState.
struct Drain {}
struct DrainState { 1: i32 running }

// The lower side of a link pulls a newer configuration from the higher side.
// Answered by ConfigParts or Refusal.
struct ConfigPull { 1: i64 have_version, 2: list<string> have_parts }
struct ConfigPart { 1: string hash, 2: binary data }
struct ConfigParts {
  1: i64 version
  2: string plan_id
  3: list<string> part_hashes
  // Only the parts the puller did not list.
  4: list<ConfigPart> parts
}

// Exactly one field is set.
struct Message {
  1: optional Hello hello
  2: optional Heartbeat heartbeat
  3: optional Credit credit
  4: optional Cancel cancel
  5: optional Refusal refusal
  6: optional Place place
  7: optional Placed placed
  8: optional PlaceDone place_done
  9: optional Run run
  10: optional RunHead run_head
  11: optional Chunk chunk
  12: optional RunEnd run_end
  13: optional VoidAttempt void_attempt
  14: optional AttemptState attempt_state
  15: optional EnsureModel ensure_model
  16: optional ModelReady model_ready
  17: optional Subscribe subscribe
  18: optional EndpointReport endpoint_report
  19: optional Drain drain
  20: optional DrainState drain_state
  21: optional ConfigPull config_pull
  22: optional ConfigParts config_parts
  23: optional ReleaseEngine release_engine
  24: optional EngineReleased engine_released
}

struct Frame {
  // Call this frame belongs to, chosen by the opener; 0 is the link itself.
  1: i64 call
  // True if the sender of this frame opened the call.
  2: bool from_opener
  // Configuration version in force at the sender.
  3: i64 config_version
  4: Message message
}
