/** @file engine_status_poller_base.h Polls the engine's status. */
#ifndef SAPPHIRE_ENDPOINT_ENGINE_STATUS_POLLER_BASE_H_
#define SAPPHIRE_ENDPOINT_ENGINE_STATUS_POLLER_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "external/engine_base.h"

namespace sapphire::endpoint {

/**
 * The only reader of the engine's status. As there is no other reader, the
 * status it returns never goes back in time. Thread-safe.
 */
class EngineStatusPoller {
 public:
  using StatusPtr = std::shared_ptr<const external::EngineStatus>;
  /** Called at the start of a read; the listener gets its result along with the
   * status. */
  using SequenceSource = std::function<std::uint64_t()>;
  using Listener = std::function<void(const external::EngineStatus&,
                                      std::uint64_t sequence)>;

  /** @pre All references outlive the object. */
  EngineStatusPoller(external::Engine& engine,
                     std::chrono::milliseconds interval,
                     const core::Logger& log);

  /** Sets the callbacks of every read. @pre Called before Start. */
  void Listen(SequenceSource sequence_source, Listener listener);

  /** Starts reading the status periodically, until Stop. */
  void Start(const core::Executor& executor);
  void Stop();

  /** @return The latest status; null before the first. */
  [[nodiscard]] StatusPtr Latest() const;

  /** @return True if the last read was answered. */
  [[nodiscard]] bool up() const;

  /**
   * Waits for a status whose read began after this call.
   * @return Null if there was none within `timeout`.
   * @pre The calling coroutine runs on a strand.
   */
  core::Task<StatusPtr> WaitForNewStatus(std::chrono::milliseconds timeout);

  /** Notified whenever the engine comes up, goes down or restarts. */
  [[nodiscard]] core::Signal& changed() { return changed_; }

 private:
  core::Task<> PollStatus();
  core::Task<> ReadOnce();
  void StoreStatus(StatusPtr status, std::uint64_t number);

  external::Engine& engine_;
  const std::chrono::milliseconds interval_;
  const core::Logger& log_;
  SequenceSource sequence_source_;
  Listener listener_;
  /** Notified when a caller waits for a new status. */
  core::Signal read_requested_;
  core::Signal read_done_;
  core::Signal changed_;
  mutable std::mutex mutex_;
  StatusPtr latest_;
  std::uint64_t reads_started_ = 0;
  std::uint64_t latest_read_ = 0;
  bool up_ = false;
  bool stopped_ = false;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_ENGINE_STATUS_POLLER_BASE_H_
