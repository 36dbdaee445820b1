/** @file queue_wait.cc Estimates the waiting time in a queue. */
#include <algorithm>

#include "policy/queue_wait_func.h"

namespace sapphire::policy {

namespace {

/** Upper limit of the estimate; a longer wait counts as no service at all. */
constexpr Millis kMaxWait = std::chrono::hours(1);

/** @return The number of requests that a server starts within `wait` from
 * now. */
std::int64_t StartsBy(const QueueServer& server, Millis service_time,
                      Millis wait) {
  const std::int64_t service = std::max<std::int64_t>(1, service_time.count());
  // Slots in use become free evenly over one service time; all slots of a
  // loading replica become free when it is ready.
  if (!server.loading) return server.slots * wait.count() / service;
  const Millis after = wait - server.ready_in;
  if (after < Millis(0)) return 0;
  return server.slots * (1 + after.count() / service);
}

}  // namespace

std::optional<Millis> QueueWait(std::span<const QueueServer> servers,
                                Millis service_time, int ahead) {
  const auto starts_next = [&](Millis wait) {
    std::int64_t starts = 0;
    for (const QueueServer& server : servers) {
      starts += StartsBy(server, service_time, wait);
    }
    return starts > ahead;
  };
  if (!starts_next(kMaxWait)) return std::nullopt;
  Millis low{0};
  Millis high = kMaxWait;
  while (low < high) {
    const Millis middle = (low + high) / 2;
    if (starts_next(middle)) {
      high = middle;
    } else {
      low = middle + Millis(1);
    }
  }
  return low;
}

}  // namespace sapphire::policy
