/** @file attempt_table.cc Ensures that each attempt runs at most once. */
#include "core/error_type.h"
#include "core/random_func.h"
#include "endpoint/attempt_table_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::ErrorCode;

namespace {
constexpr std::chrono::milliseconds kFullRetryAfter{5000};
}  // namespace

AttemptTable::AttemptTable(AttemptTableOptions options,
                           const core::Clock& clock)
    : options_(options), clock_(clock) {
  for (std::size_t i = 0; i < options_.shards; ++i) {
    shards_.push_back(std::make_unique<Shard>());
  }
}

AttemptTable::Shard& AttemptTable::ShardOf(const core::AttemptId& attempt) {
  return *shards_[core::HashOf(attempt.value()) % shards_.size()];
}

void AttemptTable::Insert(Shard& shard, const core::AttemptId& attempt,
                          State state) {
  const core::SteadyTime now = clock_.Now();
  while (!shard.by_age.empty() &&
         now - shard.by_age.front().first > options_.retention) {
    shard.states.erase(shard.by_age.front().second);
    shard.by_age.pop_front();
  }
  // Evicting a younger attempt to make room would let a late copy of it run a
  // second time, so the new one is refused instead.
  if (shard.states.size() >= options_.max_attempts / options_.shards) {
    throw Error(ErrorCode::kQueueFull, "too many attempts are remembered",
                kFullRetryAfter);
  }
  shard.states.emplace(attempt, state);
  shard.by_age.emplace_back(now, attempt);
}

void AttemptTable::Start(const core::AttemptId& attempt) {
  Shard& shard = ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  const auto it = shard.states.find(attempt);
  if (it == shard.states.end()) {
    Insert(shard, attempt, State::kStarted);
    return;
  }
  if (it->second == State::kVoided) {
    throw Error(ErrorCode::kAttemptVoided, attempt.value());
  }
  throw Error(ErrorCode::kAlreadyRan, attempt.value());
}

void AttemptTable::RevertStart(const core::AttemptId& attempt) {
  Shard& shard = ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  const auto it = shard.states.find(attempt);
  if (it != shard.states.end()) it->second = State::kVoided;
}

bool AttemptTable::Void(const core::AttemptId& attempt) {
  Shard& shard = ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  const auto it = shard.states.find(attempt);
  if (it != shard.states.end()) return it->second == State::kStarted;
  Insert(shard, attempt, State::kVoided);
  return false;
}

std::size_t AttemptTable::size() const {
  std::size_t n = 0;
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard->mutex);
    n += shard->states.size();
  }
  return n;
}

}  // namespace sapphire::endpoint
