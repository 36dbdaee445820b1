/** @file engine_base.h Client interface of a model engine or plain service. */
#ifndef SAPPHIRE_EXTERNAL_ENGINE_BASE_H_
#define SAPPHIRE_EXTERNAL_ENGINE_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/task_type.h"
#include "http/client_base.h"
#include "http/http_type.h"

namespace sapphire::external {

enum class EngineModelState { kLoading, kReady, kUnloading };

struct EngineAdapter {
  core::AdapterId adapter;
  std::int64_t bytes = 0;
};

struct EngineModel {
  core::ModelId model;
  std::string version;
  EngineModelState state = EngineModelState::kLoading;
  std::int64_t weight_bytes = 0;
  /** Limit for the KV cache of requests and cached prefixes. */
  std::int64_t kv_budget_bytes = 0;
  int running = 0;
  std::vector<EngineAdapter> adapters;
};

struct EngineStatus {
  /** Random per start of the engine; a change means that all loaded models are
   * lost. */
  std::int64_t incarnation = 0;
  std::int64_t memory_bytes = 0;
  bool honours_fencing = false;
  /** Largest fencing number that the engine has received. */
  std::int64_t fence = 0;
  bool order_in_progress = false;
  std::vector<EngineModel> models;
  /** Models whose checkpoints are cached on the engine's VM, by tier. */
  std::vector<core::ModelId> memory_tier;
  std::vector<core::ModelId> disk_tier;
};

enum class OrderKind { kLoadModel, kUnloadModel, kLoadAdapter, kUnloadAdapter };

struct EngineOrder {
  OrderKind kind = OrderKind::kLoadModel;
  core::ModelId model;
  std::string version;
  core::AdapterId adapter;
  std::int64_t bytes = 0;
  std::int64_t kv_budget_bytes = 0;
  /** Fencing number; an engine that supports fencing refuses an order with a
   * smaller one than it has received. */
  std::int64_t fence = 0;
};

class Engine {
 public:
  virtual ~Engine() = default;

  /** @throws core::Error kEngineUnavailable. */
  virtual core::Task<EngineStatus> Status() = 0;

  /**
   * Sends an order and waits until it is completed.
   * @throws core::Error kEngineRefusedOrder (certainly not executed),
   *   kLoadFailed (tried, but nothing is loaded), kEngineUnavailable (not
   *   sent), or kOutcomeUnknown.
   */
  virtual core::Task<> Order(EngineOrder order,
                             std::chrono::milliseconds timeout) = 0;

  /**
   * Sends a caller's request unchanged and reads the head of the answer.
   * Destroying the stream cancels the request at the engine.
   * @throws http::TransportError
   */
  virtual core::Task<std::unique_ptr<http::ResponseStream>> Run(
      http::Request request, std::chrono::milliseconds timeout) = 0;
};

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_ENGINE_BASE_H_
