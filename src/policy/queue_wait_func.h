/** @file queue_wait_func.h How long a queue takes on the replicas it has. */
#ifndef SAPPHIRE_POLICY_QUEUE_WAIT_FUNC_H_
#define SAPPHIRE_POLICY_QUEUE_WAIT_FUNC_H_

#include <optional>
#include <span>

#include "policy/placement_type.h"

namespace sapphire::policy {

/** One replica that serves a queue, reduced to what the wait depends on. */
struct QueueServer {
  /** Zero if it is ready and all its slots are taken. */
  Millis ready_in{0};
  bool loading = false;
  int slots = 1;
};

/**
 * @param ahead Requests that start before the one asked for.
 * @return Until the next one after them starts; nothing if it never does.
 */
std::optional<Millis> QueueWait(std::span<const QueueServer> servers,
                                Millis service_time, int ahead);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_QUEUE_WAIT_FUNC_H_
