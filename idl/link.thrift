// The messages between sapphireyoke's processes. Each Frame is sent with a
// length prefix, in TCompactProtocol, over one multiplexed TCP link per pair of
// processes.
// Regenerate with scripts/gen.sh; the generated code in gen/ is committed.
namespace cpp sapphire.gen

enum Role { ENTRY = 1, ENDPOINT = 2 }

// First frame in each direction of a link.
struct Hello {
  1: string vm
  2: string zone
  3: Role role
  // Random per process start; distinguishes a restarted process from the
  // previous one.
  4: i64 incarnation
  // Address at which the sender accepts links, "ip:port".
  5: string listen_address
}

struct Heartbeat {}

// Allows the peer to send `messages` more messages on this call (flow control).
struct Credit { 1: i32 messages }

// The sender has ended this call.
struct Cancel {}

// Last message of a call that failed.
struct Refusal {
  // Stable name of the core::ErrorCode.
  1: string code
  2: string detail
  3: i64 retry_after_ms
  // True only if the request certainly did not run.
  4: bool not_run
}

// Requests an endpoint that has the model loaded. Sent by an entry to the
// model's home entry, which places the requests for it. Answered by Placed or
// Refusal. After Placed, the call stays open and occupies the slot until
// PlaceDone arrives or the link is lost.
struct Place {
  1: string request_id
  2: string model
  3: string adapter
  4: i64 remaining_ms
  5: i32 priority
  6: string owner
  7: i64 fingerprint
  8: i64 prefix_hash
  // Endpoints on which this request must not be placed again.
  9: list<string> avoid
}

struct Placed {
  1: string endpoint
  2: string address
  // How long the endpoint keeps the replica loaded once it is idle.
  3: i64 keep_alive_ms
}

enum RunResult {
  COMPLETED = 1,
  // The endpoint reported that it did not start the request.
  NOT_STARTED = 2,
  // The engine crashed while the request ran on it.
  ENGINE_CRASHED = 3,
  ABANDONED = 4
}

struct PlaceDone { 1: RunResult result }

// Runs one request on an endpoint. Non-idempotent requests are sent to a home
// entry, which runs them for the caller. Answered by RunHead, any number of
// Chunks and RunEnd; a Refusal may come at any point.
struct Run {
  1: string request_id
  // New for each dispatch; the endpoint runs an attempt at most once.
  2: string attempt_id
  // The service that the request is for, and the model ("" for a plain
  // service).
  3: string service_id
  4: string model
  5: string adapter
  6: i64 remaining_ms
  7: i32 priority
  8: string owner
  9: i64 fingerprint
  10: bool non_idempotent
  // The caller's key; set on non-idempotent requests.
  11: string idempotency_key
  12: string method
  13: string path
  14: string content_type
  15: binary body
  // Negative: the endpoint uses its own setting.
  16: i64 keep_alive_ms = -1
  17: i64 prefix_hash
}

struct RunHead { 1: i32 status, 2: string content_type }

// One part of the answer's body. `sequence` counts from 0; a gap means that a
// part was lost and ends the call with an error.
struct Chunk { 1: i64 sequence, 2: binary data }

// Ends an answer. The receiver checks by the totals that it is complete.
struct RunEnd { 1: i64 chunks, 2: i64 bytes }

// Asks an endpoint whether an attempt was started. If not, the endpoint marks
// the attempt with a tombstone, so that it refuses a copy that arrives late.
struct VoidAttempt { 1: string attempt_id }
struct AttemptState { 1: bool started, 2: i64 incarnation }

// Use of a model or adapter that is loaded on an engine, as far as the sending
// entry knows it.
struct ResidentUse {
  1: string model
  // Empty: the model itself.
  2: string adapter
  // Requests in progress from all entries.
  3: i32 running
  // Recent rate of request starts, per 1000 seconds.
  4: i64 demand_per_1000_s
  // Time since the last request began; negative: none is known.
  5: i64 idle_ms
}

// Asks an endpoint to load the model (and adapter) unless it is loaded.
// Answered by ModelReady or Refusal.
struct EnsureModel {
  1: string service_id
  2: string model
  3: string adapter
  4: i64 remaining_ms
  // Negative: the endpoint uses its own setting.
  5: i64 keep_alive_ms = -1
  // Idle models that the endpoint may unload to free memory.
  6: list<string> evict
  // Identifies one start of the engine; the order is not valid for any other.
  7: string engine_instance
  // Use of all that the engine has loaded, as far as the sender knows it.
  8: list<ResidentUse> resident_use
}
struct ModelReady { 1: string model, 2: string adapter }

// The process that may send orders to an engine. Stored in the key-value
// service under the lease of that process.
struct EngineHolder {
  1: string vm
  // Link address at which it accepts EnsureModel, "ip:port".
  2: string address
  // True once no other VM can have sent the engine an order within the minimum
  // time between orders of two VMs. Not set by earlier versions: not known.
  3: bool handover_complete = false
}

// Asks the holder of an engine to release it. Sent by the process on the
// engine's VM to a holder on another VM. Answered by EngineReleased once no
// order of the holder is in progress.
struct ReleaseEngine { 1: string engine_address }
struct EngineReleased {}

enum ReplicaState { LOADING = 1, READY = 2, DRAINING = 3, UNLOADING = 4 }

struct ReplicaReport {
  1: string model
  2: ReplicaState state
  3: i32 running
  4: i64 idle_ms
  5: list<string> adapters
  // Sum of weights, adapters and KV cache budget.
  6: i64 bytes
  // Recent rate of request starts for the model here, per 1000 seconds.
  7: i64 demand_per_1000_s
}

// Opened by each entry to each endpoint. The endpoint sends an EndpointReport
// immediately, on every change, and once per report interval.
struct Subscribe {}

struct EndpointReport {
  1: string endpoint
  2: string zone
  3: i64 incarnation
  4: bool leaving
  // "model", or the name of the plain service that this endpoint serves.
  5: string kind
  6: i64 memory_bytes
  7: i64 reserved_bytes
  8: i32 running
  9: i32 max_running
  10: list<ReplicaReport> replicas
  // Models whose checkpoints are cached on this VM, by tier.
  11: list<string> memory_tier
  12: list<string> disk_tier
  13: bool engine_up
}

// A running entry and the address to which others send it datagrams. Stored in
// the key-value service under the entry's lease.
struct EntryPresence { 1: string vm, 2: string zone, 3: string address }

// One datagram to another entry: the requests that the sender has on engines
// and the loads that it has requested. It holds totals, not changes, so the
// loss of a datagram does no harm.
struct EngineUse { 1: string engine_instance, 2: list<ResidentUse> parts }
struct ComingLoad {
  1: string engine_instance
  2: string model
  3: i64 ready_in_ms
  4: bool from_weight_store
}
struct EngineLimit { 1: string engine_instance, 2: double per_second }
struct EntryRecord {
  // The key of the sender's EntryPresence; identifies one start of an entry.
  1: string entry
  // Counts the sender's datagrams; the receiver ignores one that arrives after
  // a higher number.
  2: i64 number
  3: list<EngineUse> uses
  4: list<ComingLoad> loads
  // Duration of the latest load from the weight store that this entry
  // requested; 0: no recent one.
  5: i64 store_load_ms
  // The request limits that engines have recently named to this entry.
  6: list<EngineLimit> limits
}

// The units of a quota that one entry has granted within the quota's window.
struct QuotaUsage {
  // The key of the entry's EntryPresence.
  1: string entry
  // Counts the entry's grants and returns; a lower number is out of date and
  // ignored.
  2: i64 number
  // Units by age, newest first; each step covers a fraction of the window.
  3: list<i64> steps
}

// Requests units of a quota from its coordinator. Answered by QuotaAnswer. A
// resent request has the same number and is charged once.
struct QuotaAsk {
  // The key of the sender's EntryPresence.
  1: string entry
  2: i64 number
  // Name of the quota, the same on all entries.
  3: string quota
  // 0: only checks that the receiver is alive and asks for the quota's use.
  // Negative: returns units, and is not answered.
  4: double units
  // The limit as the sender knows it; the one with the highest version applies.
  5: i64 version
  6: double units_per_second
  7: double burst
  // The longest delay that the request accepts.
  8: i64 wait_ms
  // The quota's use as far as the sender knows it.
  9: list<QuotaUsage> usage
}
enum QuotaVerdict { GRANTED = 1, DENIED = 2, NOT_COORDINATOR = 3 }
struct QuotaAnswer {
  1: string entry
  2: i64 number
  3: QuotaVerdict verdict
  // GRANTED: how long to delay the request; DENIED: when to try again.
  4: i64 delay_ms
  // NOT_COORDINATOR: the coordinating entry according to the sender.
  5: string coordinator
  6: string coordinator_address
  // Set if 0 units were asked for: the quota, and its use as far as the sender
  // knows it.
  7: string quota
  8: list<QuotaUsage> usage
}

// The software version of the engine that began a stream.
struct StreamOrigin {
  // The caller's attempt that received the stream's first event.
  1: string request_id
  2: string service_id
  3: string software_version
  // Time since the stream began or was last taken up.
  4: i64 age_ms
}

// Origins that the receiver is to keep for entries that ask for them.
struct StreamOrigins {
  // The key of the sender's EntryPresence.
  1: string entry
  2: list<StreamOrigin> origins
}

// Asks for a stream's origin. Always answered by StreamAnswer.
struct StreamAsk {
  // The key of the sender's EntryPresence.
  1: string entry
  2: i64 number
  3: string request_id
  4: string service_id
}
struct StreamAnswer {
  // The key of the answering entry's EntryPresence.
  1: string entry
  2: i64 number
  // Not set if the entry does not know it.
  3: optional StreamOrigin origin
  // Software versions that have lately served the service, as far as the
  // answering entry itself has seen them.
  4: list<string> versions
  // All versions that have lately served the service, as of the answering
  // entry's view. Not set unless its knowledge is complete.
  5: optional list<string> all_versions
}

// Software versions that have lately served a service, under a key per service.
struct ServiceVersions {
  // Empty if there is only one.
  1: list<string> versions
  // The only version. Not in the list, as former entries delete a key that
  // lists one version.
  2: optional string only_version
}

// A property of a request that may crash engines.
struct RequestTrait {
  // True for the request as a whole, false for a part of its prompt.
  1: bool whole_request
  2: i64 hash
}

// The traits of the requests that were beginning in an engine as it crashed.
struct CrashSeen {
  1: string engine_instance
  // Time since the crash.
  2: i64 age_ms
  3: list<RequestTrait> traits
}

// A request with the trait was answered.
struct TraitSurvived {
  1: RequestTrait trait
  // Time since the answer.
  2: i64 age_ms
}

// What an entry has seen of engines' crashes and their causes.
struct CrashEvidence {
  // The key of the sender's EntryPresence.
  1: string entry
  2: list<CrashSeen> crashes
  3: list<TraitSurvived> survivals
}

// One datagram between two entries. Exactly one field is set.
struct EntryDatagram {
  1: optional EntryRecord record
  2: optional QuotaAsk quota_ask
  3: optional QuotaAnswer quota_answer
  // The same for the request limits that engines name.
  4: optional QuotaAsk engine_ask
  5: optional QuotaAnswer engine_answer
  6: optional StreamOrigins stream_origins
  7: optional StreamAsk stream_ask
  8: optional StreamAnswer stream_answer
  9: optional CrashEvidence crash_evidence
}

// Drains one endpoint, on an operator's command. Answered by DrainState.
struct Drain {}
struct DrainState { 1: i32 running }

// Requests a newer configuration; sent by the side of a link that has the lower
// version. Answered by ConfigParts or Refusal.
struct ConfigPull { 1: i64 have_version, 2: list<string> have_parts }
struct ConfigPart { 1: string hash, 2: binary data }
struct ConfigParts {
  1: i64 version
  2: string plan_id
  3: list<string> part_hashes
  // Only the parts that ConfigPull did not list.
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
  // Id of the frame's call, chosen by the side that opened it; 0: the frame
  // belongs to the link itself.
  1: i64 call
  // True if the sender of this frame opened the call.
  2: bool from_opener
  // Configuration version that the sender uses.
  3: i64 config_version
  4: Message message
}
