/** @file queue_wait_func.h Estimates the waiting time in a queue. */
#ifndef SAPPHIRE_POLICY_QUEUE_WAIT_FUNC_H_
#define SAPPHIRE_POLICY_QUEUE_WAIT_FUNC_H_

#include <optional>
#include <span>

#include "policy/placement_type.h"

namespace sapphire::policy {

/** A replica that serves the queue, with the values the wait depends on. */
struct QueueServer {
  /** Time until it is ready; zero if it is ready and all its slots are in
   * use. */
  Millis ready_in{0};
  bool loading = false;
  int slots = 1;
};

/**
 * @param ahead Number of requests that start before this one.
 * @return Time until the request starts, or nothing if it never does.
 */
std::optional<Millis> QueueWait(std::span<const QueueServer> servers,
                                Millis service_time, int ahead);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_QUEUE_WAIT_FUNC_H_
