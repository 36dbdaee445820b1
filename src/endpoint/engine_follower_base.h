/** @file engine_follower_base.h Follows the engine by reading its status. */
#ifndef SAPPHIRE_ENDPOINT_ENGINE_FOLLOWER_BASE_H_
#define SAPPHIRE_ENDPOINT_ENGINE_FOLLOWER_BASE_H_

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
 * The one reader of the engine's status. Because nobody else reads it, what it
 * shows never goes back in time. Safe on several threads.
 */
class EngineFollower {
 public:
  using StatusPtr = std::shared_ptr<const external::EngineStatus>;
  /** Gives a number at the start of a read; it comes back with the status. */
  using Marker = std::function<std::uint64_t()>;
  using Listener =
      std::function<void(const external::EngineStatus&, std::uint64_t mark)>;

  /** @pre All references outlive the follower. */
  EngineFollower(external::Engine& engine, std::chrono::milliseconds interval,
                 const core::Logger& log);

  /** @pre Called before Start. */
  void Listen(Marker marker, Listener listener);

  /** Reads the status now and then, until Stop. */
  void Start(const core::Executor& executor);
  void Stop();

  /** @return What was shown last; null before the first. */
  [[nodiscard]] StatusPtr Latest() const;

  /** @return True if the last read was answered. */
  [[nodiscard]] bool up() const;

  /**
   * Waits for a status whose read began after this call.
   * @return Null if there was none within `timeout`.
   * @pre The calling coroutine runs on a strand.
   */
  core::Task<StatusPtr> Fresh(std::chrono::milliseconds timeout);

  /** Notified whenever the engine comes up or goes down. */
  [[nodiscard]] core::Signal& changed() { return changed_; }

 private:
  core::Task<> Follow();
  core::Task<> ReadOnce();
  void Note(StatusPtr status, std::uint64_t number);

  external::Engine& engine_;
  const std::chrono::milliseconds interval_;
  const core::Logger& log_;
  Marker marker_;
  Listener listener_;
  /** Somebody waits for a fresh status. */
  core::Signal asked_;
  core::Signal answered_;
  core::Signal changed_;
  mutable std::mutex mutex_;
  StatusPtr latest_;
  std::uint64_t begun_ = 0;
  std::uint64_t seen_ = 0;
  bool up_ = false;
  bool stopped_ = false;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_ENGINE_FOLLOWER_BASE_H_
