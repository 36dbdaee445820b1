/** @file memory_limits_func.h Divides the memory and the descriptors of a VM
 * among the uses whose size callers and peers decide. */
#ifndef SAPPHIRE_SERVING_MEMORY_LIMITS_FUNC_H_
#define SAPPHIRE_SERVING_MEMORY_LIMITS_FUNC_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "serving/answer_budget_base.h"

namespace sapphire::serving {

/** The most that each use may occupy, in bytes. */
struct MemoryLimits {
  /** Requests, from their first byte until their answer is over. */
  std::size_t requests = 0;
  /** Engines' answers that are held. */
  std::size_t answers = 0;
};

/** @return The limits on a VM with `memory` bytes; what is left is for the
 * program itself, its tables and the sockets' buffers. */
inline MemoryLimits DivideMemory(std::size_t memory) {
  MemoryLimits limits;
  limits.requests = memory / 10 * 3;
  limits.answers = std::min(kMaxHeldBytes, memory / 10 * 3);
  return limits;
}

/** The most connections that others may hold open. */
struct ConnectionLimits {
  std::size_t callers = SIZE_MAX;
  std::size_t links = SIZE_MAX;
};

/** Receive buffer of a caller's connection. What its caller sends behind a
 * request that waits stays there, and counts as memory of the VM. */
inline constexpr int kReceiveBufferBytes = 16 * 1024;

/** @return The limits for a program with so many descriptors; what is left is
 * for its own connections to engines, peers and the store, and for files. The
 * receive buffers may occupy a quarter of the VM's memory. */
inline ConnectionLimits DivideDescriptors(std::size_t descriptors,
                                          std::size_t memory) {
  constexpr std::size_t kKernelBytes = std::size_t{2} * kReceiveBufferBytes;
  return {std::min(descriptors / 8 * 5, memory / 4 / kKernelBytes),
          descriptors / 8};
}

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_MEMORY_LIMITS_FUNC_H_
