/** @file engine_state_base.h State of the model engine's stand-in. */
#ifndef SAPPHIRE_STANDIN_ENGINE_STATE_BASE_H_
#define SAPPHIRE_STANDIN_ENGINE_STATE_BASE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "core/clock_base.h"
#include "external/engine_base.h"
#include "standin/engine_type.h"
#include "standin/prefix_cache_base.h"

namespace sapphire::standin {

/** Whether an order is carried out, and why not. */
enum class OrderVerdict {
  kAccepted,
  kNothingToDo,  ///< The state it asks for is already reached.
  kStaleFence,
  kBusy,
  kNotReady,  ///< The adapter's model isn't ready.
  kNoMemory,
};

/** Result of EngineState::BeginOrder. */
struct OrderStart {
  OrderVerdict verdict = OrderVerdict::kAccepted;
  /** Incarnation of the engine that decided. */
  std::int64_t incarnation = 0;
};

/** Where a checkpoint is cached. */
enum class CheckpointTier { kMemory, kDisk, kRemote };

enum class AdmissionVerdict { kAdmitted, kNotReady, kNoRoom };

/** Result of EngineState::Admit. */
struct Admission {
  AdmissionVerdict verdict = AdmissionVerdict::kNotReady;
  /** Identifies the running request. */
  std::int64_t ticket = 0;
  /** Leading characters of the prompt that needn't be prefilled. */
  std::size_t cached_chars = 0;
};

/**
 * The models, adapters, KV cache and running requests of one engine, and the
 * record of them. Counts the memory in use independently of the sender of the
 * orders: an order that exceeds it is recorded as an overcommit. Thread-safe.
 */
class EngineState {
 public:
  /** @pre `clock` outlives the state. */
  EngineState(EngineOptions options, const core::Clock& clock);

  [[nodiscard]] std::int64_t incarnation() const;
  [[nodiscard]] external::EngineStatus Status() const;
  [[nodiscard]] EngineRecord Record() const;

  /** Decides on an order; an accepted one is in progress until EndOrder. */
  OrderStart BeginOrder(const external::EngineOrder& order);

  /** Ends an order in progress.
   * @param incarnation From BeginOrder; does nothing if the engine has crashed
   *   since. */
  void EndOrder(const external::EngineOrder& order, std::int64_t incarnation,
                bool carried_out);

  [[nodiscard]] CheckpointTier TierOf(const std::string& checkpoint) const;
  /** Caches a checkpoint in memory and on disk. */
  void CacheCheckpoint(const std::string& checkpoint);

  /** Starts a request if its model is ready and its KV budget has room. */
  Admission Admit(const GenerateCall& call);
  /** @return False once a crash or an unload has ended the request. */
  [[nodiscard]] bool IsRunning(std::int64_t ticket) const;
  /** Ends a request; does nothing if it has already ended. */
  void EndRequest(std::int64_t ticket, RunOutcome outcome);
  [[nodiscard]] int running() const;

  /** Drops everything but the checkpoints on disk; the largest fence too. */
  void Crash();

 private:
  struct LoadedModel {
    external::EngineModel model;
    std::size_t replica_index = 0;  ///< Index in the record's replicas.
    std::int64_t running_kv_bytes = 0;
    PrefixCache prefixes;
    /** Adapters that are still loading and can't be used yet. */
    std::set<std::string> loading_adapters;
  };
  struct Running {
    std::string model;
    std::string prompt;
    std::int64_t kv_bytes = 0;
    std::size_t run = 0;  ///< Index in the record's requests.
  };

  // The functions below are called with the lock held.
  OrderVerdict DecideOrder(const external::EngineOrder& order) const;
  OrderVerdict DecideLoad(const external::EngineOrder& order) const;
  OrderVerdict DecideUnload(const external::EngineOrder& order) const;
  OrderVerdict DecideAdapterOrder(const external::EngineOrder& order) const;
  void Apply(const external::EngineOrder& order);
  void BeginLoad(const external::EngineOrder& order);
  void BeginUnload(const std::string& model);
  void EndLoad(const external::EngineOrder& order, bool carried_out);
  void RemoveModel(const std::string& model, ReplicaEnd end);
  void BeginAdapterLoad(const external::EngineOrder& order);
  void EndAdapterLoad(const external::EngineOrder& order, bool carried_out);
  void RemoveAdapter(const external::EngineOrder& order);
  LoadedModel* FindUsable(const GenerateCall& call);
  [[nodiscard]] std::int64_t KvBytesOf(const GenerateCall& call) const;
  Admission StartRun(const GenerateCall& call, LoadedModel& held,
                     std::int64_t kv_bytes);
  void StopRequest(std::int64_t ticket, RunOutcome outcome);
  void StopRequestsOf(const std::string& model, RunOutcome outcome);
  void RecordRefusal(const external::EngineOrder& order, OrderVerdict verdict);
  void RecordMemoryUse(const std::string& cause);
  [[nodiscard]] std::int64_t UsedBytes() const;
  [[nodiscard]] bool IsUsable(const LoadedModel& held,
                              const std::string& id) const;
  [[nodiscard]] bool HasAdapter(const LoadedModel& held,
                                const std::string& id) const;

  const EngineOptions options_;
  const core::Clock& clock_;
  mutable std::mutex mutex_;
  std::int64_t incarnation_;
  std::int64_t fence_ = 0;
  int orders_in_progress_ = 0;
  std::map<std::string, LoadedModel> models_;
  std::set<std::string> memory_tier_;
  std::set<std::string> disk_tier_;
  std::int64_t last_ticket_ = 0;
  std::map<std::int64_t, Running> running_;
  EngineRecord record_;
};

/** @return The verdict's name on the wire; empty if the order is accepted. */
std::string_view NameOf(OrderVerdict verdict);

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_ENGINE_STATE_BASE_H_
