/** @file engine_leases.cc Leases that let only one process at a time give
 * orders to an engine. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "fleet/entry_message_func.h"
#include "orders/engine_leases_base.h"

namespace sapphire::orders {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using std::chrono::milliseconds;

namespace {

/**
 * The last order of the previous holder may have been sent just before its
 * lease ended and may have arrived this much later.
 */
constexpr milliseconds kHandoverMargin{500};

/** @return True if both are the same VM. A VM that replaces another may have
 * its address, but not its name. */
bool IsSameVm(const gen::EngineHolder& a, const gen::EngineHolder& b) {
  return a.vm == b.vm && a.address == b.address;
}

std::string KeyOf(const std::string& engine) {
  return std::string(fleet::kEngineLeasePrefix) + engine;
}

}  // namespace

EngineLeases::EngineLeases(LeaseOptions options, RequestRelease request_release,
                           external::KeyValueStore& store,
                           const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      request_release_(std::move(request_release)),
      store_(store),
      clock_(clock),
      log_(log) {}

core::Task<> EngineLeases::Run() {
  while (true) {
    const std::uint64_t seen = requests_changed_.epoch();
    std::string failure;
    bool all_held = false;
    try {
      all_held = co_await RenewOnce();
    } catch (const Error& e) {
      failure = e.what();
    }
    LogFailureChange(failure);
    co_await requests_changed_.Wait(
        seen, all_held ? options_.renew_pause : options_.retry_pause);
  }
}

core::Task<bool> EngineLeases::RenewOnce() {
  if (!renewing_) co_return true;
  if (engines_.empty()) {
    co_return co_await DeleteReleasedKeys();
  }
  co_await RenewStoreLease();
  bool all_held = true;
  for (const std::string& engine : RequestedEngines()) {
    const auto it = engines_.find(engine);
    const bool is_current = it != engines_.end() && it->second.revision != 0 &&
                            it->second.lease == lease_;
    if (is_current) continue;
    if (!co_await TryClaim(engine)) all_held = false;
  }
  co_await RecordHandovers();
  if (!co_await DeleteReleasedKeys()) all_held = false;
  co_return all_held;
}

/** Renews the lease of the store, or grants a new one if it has ended. */
core::Task<> EngineLeases::RenewStoreLease() {
  const core::SteadyTime began = clock_.Now();
  if (!lease_.empty()) {
    const bool alive = co_await store_.KeepAlive(lease_);
    if (alive) {
      valid_until_ = began + granted_duration_ - options_.margin;
      co_return;
    }
    RecordLeaseEnd();
  }
  const core::SteadyTime asked = clock_.Now();
  const external::KvLease lease =
      co_await store_.GrantLease(options_.time_to_live);
  lease_ = lease.id;
  granted_duration_ = lease.time_to_live;
  valid_until_ = asked + granted_duration_ - options_.margin;
}

void EngineLeases::RecordLeaseEnd() {
  for (auto& [engine, held] : engines_) {
    if (held.lease == lease_) held.ended_lease_until = valid_until_;
  }
  lease_.clear();
}

/**
 * Claims an engine's key. A failure is logged and does not stop the claims of
 * other keys.
 */
core::Task<bool> EngineLeases::TryClaim(std::string engine) {
  std::string failure;
  try {
    co_return co_await Claim(engine);
  } catch (const Error& e) {
    failure = e.what();
  }
  log_.Event(LogLevel::kWarning, LogCategory::kPlatform, "engine_lease_failed",
             {{"engine", engine}, {"error", failure}});
  co_return false;
}

/**
 * Records the handovers that are complete by now. Stops at the first failure,
 * as the lease has to be renewed in time: each write that the store doesn't
 * answer takes until its timeout.
 */
core::Task<> EngineLeases::RecordHandovers() {
  for (const std::string& engine : RequestedEngines()) {
    if (!MustRecordHandover(engine)) continue;
    std::string failure;
    try {
      co_await RecordHandover(engine);
    } catch (const Error& e) {
      failure = e.what();
    }
    if (failure.empty()) continue;
    log_.Event(LogLevel::kWarning, LogCategory::kPlatform,
               "engine_handover_unrecorded",
               {{"engine", engine}, {"error", failure}});
    co_return;
  }
}

bool EngineLeases::MustRecordHandover(const std::string& engine) const {
  if (!Holds(engine)) return false;
  const LeaseState& held = engines_.at(engine);
  return !held.handover_recorded && clock_.Now() >= held.orders_allowed_from;
}

/**
 * Writes to the key that the handover is complete. If the key has changed, as
 * after such a write whose response was lost, it is claimed anew.
 */
core::Task<> EngineLeases::RecordHandover(std::string engine) {
  const std::int64_t expected = engines_.at(engine).revision;
  const external::CasResult result = co_await WriteKey(engine, expected, true);
  if (!result.swapped) {
    co_await Claim(engine);
    co_return;
  }
  const auto it = engines_.find(engine);
  if (it == engines_.end()) {
    co_await Release(engine);
    co_return;
  }
  if (it->second.revision != expected) co_return;
  it->second.revision = result.revision;
  it->second.handover_recorded = true;
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_handover_recorded",
             {{"engine", engine},
              {"fence", it->second.fence},
              {"revision", result.revision}});
}

/** @return True if this process now holds the engine's key. */
core::Task<bool> EngineLeases::Claim(std::string engine) {
  external::CasResult result = co_await WriteKey(engine, 0, false);
  if (result.swapped) {
    co_return co_await CompleteClaim(engine, result.revision, std::nullopt);
  }
  if (!result.current) co_return false;
  const gen::EngineHolder holder =
      fleet::DecodeEngineHolder(result.current->value);
  if (IsSameVm(holder, options_.self)) {
    // Written by an earlier process of this VM, or by this process in a write
    // whose response was lost.
    const PreviousKey previous{holder, result.current->revision};
    result =
        co_await WriteKey(engine, previous.revision, holder.handover_complete);
    if (!result.swapped) co_return false;
    co_return co_await CompleteClaim(engine, result.revision, previous);
  }
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_lease_taken",
             {{"engine", engine},
              {"holder", holder.vm},
              {"fence", result.current->revision}});
  const auto it = engines_.find(engine);
  if (it != engines_.end()) {
    it->second.revision = 0;
    it->second.was_held_elsewhere = true;
  }
  co_await request_release_(holder, engine);
  result = co_await WriteKey(engine, 0, false);
  if (!result.swapped) co_return false;
  co_return co_await CompleteClaim(engine, result.revision, std::nullopt);
}

core::Task<external::CasResult> EngineLeases::WriteKey(std::string engine,
                                                       std::int64_t expected,
                                                       bool handover_complete) {
  gen::EngineHolder value = options_.self;
  value.handover_complete = handover_complete;
  return store_.CompareAndSwap(KeyOf(engine), expected, fleet::Encode(value),
                               lease_);
}

/**
 * Records a key that this process has written as held, or deletes it if the
 * engine's lease is no longer requested here.
 * @return True if it is held.
 */
core::Task<bool> EngineLeases::CompleteClaim(
    std::string engine, std::int64_t revision,
    std::optional<PreviousKey> replaced) {
  if (engines_.contains(engine)) {
    RecordHeld(engine, revision, replaced);
    co_return true;
  }
  co_await Release(engine);
  co_return false;
}

/**
 * @param replaced Nothing if the key is new. Else it named this VM: an earlier
 *   process here has written it and has ended, or this process has written it
 *   and the response was lost. That alone says nothing of the orders that
 *   another VM gave before, as the writer may have ended within its wait.
 */
void EngineLeases::RecordHeld(const std::string& engine, std::int64_t revision,
                              const std::optional<PreviousKey>& replaced) {
  const bool same_vm = replaced.has_value();
  const bool handover_complete = same_vm && replaced->holder.handover_complete;
  const core::SteadyTime now = clock_.Now();
  LeaseState& held = engines_.at(engine);
  const bool unbroken = held.revision != 0 && now < ValidUntil(held);
  if (!unbroken) {
    held.held_since = now;
    held.orders_allowed_from =
        handover_complete ? now : now + options_.handover_gap + kHandoverMargin;
  }
  held.revision = revision;
  held.fence = revision;
  held.handover_recorded = handover_complete;
  held.lease = lease_;
  const auto turn_left =
      std::chrono::duration_cast<milliseconds>(held.orders_allowed_from - now);
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_lease_held",
             {{"engine", engine},
              {"fence", revision},
              {"same_vm", same_vm},
              {"replaced_vm", same_vm ? replaced->holder.vm : ""},
              {"replaced_revision", same_vm ? replaced->revision : 0},
              {"handover_complete", handover_complete},
              {"held_elsewhere", held.was_held_elsewhere},
              {"unbroken", unbroken},
              {"turn_left_ms", std::max(turn_left, milliseconds(0))}});
}

void EngineLeases::LogFailureChange(const std::string& failure) {
  const bool failed = !failure.empty();
  if (failed == failing_) return;
  failing_ = failed;
  const auto left =
      std::chrono::duration_cast<milliseconds>(valid_until_ - clock_.Now());
  log_.Event(failed ? LogLevel::kWarning : LogLevel::kInfo,
             LogCategory::kPlatform,
             failed ? "engine_leases_lost" : "engine_leases_regained",
             {{"left_ms", left}, {"error", failure}});
}

void EngineLeases::RequestLease(const std::string& engine) {
  if (engines_.try_emplace(engine).second) requests_changed_.Notify();
}

core::Task<> EngineLeases::Release(std::string engine) {
  engines_.erase(engine);
  released_.insert(engine);
  co_await TryDeleteKey(engine);
}

/**
 * Deletes the keys of released leases. Stops at the first failure, like
 * RecordHandovers.
 * @return True if none is left.
 */
core::Task<bool> EngineLeases::DeleteReleasedKeys() {
  for (const std::string& engine : std::set(released_)) {
    if (!co_await TryDeleteKey(engine)) co_return false;
  }
  co_return true;
}

/**
 * Deletes the key of a released lease. If that fails, it stays among the
 * released ones, as the key would be renewed with those of other engines.
 * @return True if nothing is left to delete.
 */
core::Task<bool> EngineLeases::TryDeleteKey(std::string engine) {
  std::string failure;
  try {
    if (co_await DeleteKey(engine)) {
      released_.erase(engine);
      co_return true;
    }
    failure = "the key has changed";
  } catch (const Error& e) {
    failure = e.what();
  }
  log_.Event(LogLevel::kWarning, LogCategory::kPlatform,
             "engine_lease_undeleted",
             {{"engine", engine}, {"error", failure}});
  co_return false;
}

/**
 * Deletes the engine's key if it names this VM and the lease is not requested
 * again. The revision is read from the store: a write of this process whose
 * response was lost may have changed it.
 * @return False if the key has changed meanwhile.
 */
core::Task<bool> EngineLeases::DeleteKey(std::string engine) {
  const auto key = co_await store_.Get(KeyOf(engine));
  const bool is_own =
      key && IsSameVm(fleet::DecodeEngineHolder(key->value), options_.self);
  if (!is_own || engines_.contains(engine)) co_return true;
  if (!co_await store_.DeleteIf(KeyOf(engine), key->revision)) co_return false;
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_lease_released",
             {{"engine", engine}, {"revision", key->revision}});
  co_return true;
}

void EngineLeases::CancelRequest(const std::string& engine) {
  engines_.erase(engine);
}

std::vector<std::string> EngineLeases::RequestedEngines() const {
  std::vector<std::string> wanted;
  for (const auto& [engine, held] : engines_) wanted.push_back(engine);
  return wanted;
}

core::SteadyTime EngineLeases::ValidUntil(const LeaseState& held) const {
  return held.lease == lease_ ? valid_until_ : held.ended_lease_until;
}

bool EngineLeases::Holds(const std::string& engine) const {
  const auto it = engines_.find(engine);
  return it != engines_.end() && it->second.revision != 0 &&
         clock_.Now() < ValidUntil(it->second);
}

core::SteadyTime EngineLeases::HeldSince(const std::string& engine) const {
  return Holds(engine) ? engines_.at(engine).held_since
                       : core::SteadyTime::max();
}

const EngineLeases::LeaseState& EngineLeases::RequireHeld(
    const std::string& engine) const {
  if (!Holds(engine)) {
    throw Error(ErrorCode::kNotHolder, engine + ": its lease is not held here");
  }
  return engines_.at(engine);
}

milliseconds EngineLeases::HandoverDelay(const std::string& engine,
                                         bool no_foreign_orders) const {
  const LeaseState& held = RequireHeld(engine);
  if (no_foreign_orders && !held.was_held_elsewhere) return milliseconds(0);
  const auto left =
      std::chrono::ceil<milliseconds>(held.orders_allowed_from - clock_.Now());
  return std::max(left, milliseconds(0));
}

std::int64_t EngineLeases::FencingToken(const std::string& engine,
                                        bool no_foreign_orders) const {
  if (HandoverDelay(engine, no_foreign_orders) > milliseconds(0)) {
    throw Error(ErrorCode::kNotHolder,
                engine + ": the VM before may still have ordered");
  }
  return RequireHeld(engine).fence;
}

}  // namespace sapphire::orders
