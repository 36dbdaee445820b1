/** @file attempt_table_base.h Ensures that each attempt runs at most once. */
#ifndef SAPPHIRE_ENDPOINT_ATTEMPT_TABLE_BASE_H_
#define SAPPHIRE_ENDPOINT_ATTEMPT_TABLE_BASE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock_base.h"
#include "core/id_type.h"

namespace sapphire::endpoint {

struct AttemptTableOptions {
  /** How long an attempt is remembered; longer than any copy of it can be in
   * transit. */
  std::chrono::milliseconds retention{900'000};
  /** Most attempts remembered at a time; further ones are refused. */
  std::size_t max_attempts = 65'536;
  std::size_t shards = 8;
};

/** The attempts that this process started or promised never to start.
 * Thread-safe; each shard has its own lock. */
class AttemptTable {
 public:
  /** @pre `clock` outlives the table. */
  AttemptTable(AttemptTableOptions options, const core::Clock& clock);

  /**
   * Records that an attempt starts now.
   * @throws core::Error kAttemptVoided if it was voided; kAlreadyRan if it
   *   started before; kQueueFull if the table is full, so that a later copy of
   *   it could not be recognised.
   */
  void Start(const core::AttemptId& attempt);

  /** Reverts the Start of an attempt that reached no engine; it counts as
   * voided, so copies stay refused. */
  void RevertStart(const core::AttemptId& attempt);

  /**
   * Voids an attempt unless it has started.
   * @return True if it has started.
   * @throws core::Error kQueueFull if the table is full, so that the void could
   *   not be remembered.
   */
  bool Void(const core::AttemptId& attempt);

  [[nodiscard]] std::size_t size() const;

 private:
  enum class State { kStarted, kVoided };
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<core::AttemptId, State> states;
    std::deque<std::pair<core::SteadyTime, core::AttemptId>> by_age;
  };

  Shard& ShardOf(const core::AttemptId& attempt);
  /** @pre The shard's lock is held. */
  void Insert(Shard& shard, const core::AttemptId& attempt, State state);

  const AttemptTableOptions options_;
  const core::Clock& clock_;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_ATTEMPT_TABLE_BASE_H_
