/** @file notifier_base.h Wakes coroutines that wait for a change. */
#ifndef SAPPHIRE_STANDIN_NOTIFIER_BASE_H_
#define SAPPHIRE_STANDIN_NOTIFIER_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>

#include "core/task_type.h"

namespace sapphire::standin {

/** Counts changes and wakes all who wait for the next. Safe on many threads. */
class Notifier {
 public:
  Notifier();
  ~Notifier();

  Notifier(const Notifier&) = delete;
  Notifier& operator=(const Notifier&) = delete;

  /** @return How many changes there were; read it before looking at the state.
   */
  [[nodiscard]] std::int64_t changes() const;

  /** Counts a change and wakes everyone. */
  void Notify();

  /** Waits until there are more than `seen` changes, or `timeout` passes. */
  core::Task<> Wait(std::int64_t seen, std::chrono::milliseconds timeout);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_NOTIFIER_BASE_H_
