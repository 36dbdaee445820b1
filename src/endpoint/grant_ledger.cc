/** @file grant_ledger.cc Takes and releases this VM's replica grants. */
#include <algorithm>
#include <exception>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "endpoint/grant_func.h"
#include "endpoint/grant_ledger_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using core::Task;

namespace {

constexpr std::chrono::milliseconds kOutageRetryAfter{3000};
/** Swaps tried before the ledger counts as too contended. */
constexpr int kMaxSwaps = 32;
/** Time between two checks whether an earlier grant has ended. */
constexpr std::chrono::milliseconds kReleaseCheckInterval{5};
/** Upper bound of the wait after a swap that lost a race. */
constexpr int kMaxBackoffMillis = 16;

Error OutageError(const std::string& detail) {
  return Error(ErrorCode::kPlatformUnavailable, detail, kOutageRetryAfter);
}

LedgerValue LedgerOf(const std::optional<external::KvEntry>& entry) {
  return entry ? DecodeLedger(entry->value) : LedgerValue{};
}

std::int64_t RevisionOf(const std::optional<external::KvEntry>& entry) {
  return entry ? entry->revision : 0;
}

/** Waits for a short random time, so that racing endpoints don't retry at the
 * same moment. */
Task<> BackOff(int lost_races) {
  const int most = std::min(kMaxBackoffMillis, 1 << std::min(lost_races, 8));
  co_await core::SleepFor(core::Millis(core::RandomPositive() % most));
}

}  // namespace

GrantLedger::GrantLedger(core::VmId vm, external::KeyValueStore& store,
                         const core::Clock& clock, const core::Logger& log)
    : vm_(std::move(vm)), store_(store), clock_(clock), log_(log) {}

Task<std::optional<external::KvEntry>> GrantLedger::ReadEntry(std::string key) {
  try {
    auto entry = co_await store_.Get(std::move(key));
    SetReachable(true);
    co_return entry;
  } catch (const Error&) {
    SetReachable(false);
    throw;
  }
}

/** @return Nothing if the write's outcome is unknown. */
Task<std::optional<external::CasResult>> GrantLedger::Swap(
    std::string key, std::int64_t expected, std::string value) {
  try {
    auto result = co_await store_.CompareAndSwap(std::move(key), expected,
                                                 std::move(value), "");
    SetReachable(true);
    co_return result;
  } catch (const Error& e) {
    SetReachable(false);
    if (e.code() != ErrorCode::kPlatformUnknownOutcome) throw;
  }
  co_return std::nullopt;
}

Task<Grant> GrantLedger::Take(std::shared_ptr<const contract::Config> config,
                              core::ModelId model, std::int64_t min_fence,
                              core::SteadyTime deadline) {
  const auto known = config->intent.models.find(model);
  if (known == config->intent.models.end()) {
    throw Error(ErrorCode::kUnknownModel, model.value());
  }
  co_await WaitForPendingRelease(known->second.service, model, deadline);
  if (auto held = Reclaim(known->second.service, model)) co_return *held;
  auto attempt = std::make_shared<TakeAttempt>();
  attempt->service = known->second.service;
  attempt->grant = {model, vm_, 0};
  std::optional<Error> failure;
  try {
    co_return co_await TakeNewGrant(config, min_fence, deadline, attempt);
  } catch (const Error& e) {
    failure = e;
  }
  if (attempt->pending_swap) {
    // The swap may still take effect after this call has failed. Its grant
    // would hold capacity that nobody uses, so another swap of the key voids
    // it.
    const std::lock_guard lock(mutex_);
    pending_releases_.push_back(std::make_shared<PendingRelease>(PendingRelease{
        attempt->service, attempt->grant, attempt->pending_swap}));
  }
  log_.Event(LogLevel::kInfo, LogCategory::kLedger, "grant_refused",
             {{"model", model}, {"error", failure->what()}});
  throw *failure;
}

bool GrantLedger::IsReleaseInProgress(const core::ServiceId& service,
                                      const core::ModelId& model) const {
  const std::lock_guard lock(mutex_);
  return std::ranges::any_of(pending_releases_, [&](const auto& it) {
    return it->service == service && it->grant.model == model &&
           (it->sent || it->busy || it->pending_swap);
  });
}

/** Waits while the release of an earlier grant of the model is in progress.
 * @throws Error kPlatformUnavailable in an outage, when the wait would be long,
 *   and at the deadline. */
Task<> GrantLedger::WaitForPendingRelease(core::ServiceId service,
                                          core::ModelId model,
                                          core::SteadyTime deadline) {
  while (IsReleaseInProgress(service, model)) {
    co_await FlushPending();
    if (!IsReleaseInProgress(service, model)) co_return;
    if (!reachable() || clock_.Now() >= deadline) {
      throw OutageError("an earlier grant of " + model.value() +
                        " isn't settled");
    }
    co_await core::SleepFor(kReleaseCheckInterval);
  }
}

/**
 * Takes back a grant whose release was not sent yet: it is still held. This
 * allows the endpoint that held a model to load it again while the key-value
 * service is down.
 * @return Nothing if no release of a grant of the model is pending.
 * @throws Error kPlatformUnavailable if the release was sent and its outcome is
 *   unknown: that write could end a grant taken now.
 */
std::optional<Grant> GrantLedger::Reclaim(const core::ServiceId& service,
                                          const core::ModelId& model) {
  const std::lock_guard lock(mutex_);
  const auto it =
      std::ranges::find_if(pending_releases_, [&](const auto& release) {
        return release->service == service && release->grant.model == model;
      });
  if (it == pending_releases_.end()) return std::nullopt;
  const PendingRelease& release = **it;
  if (release.sent || release.busy || release.pending_swap) {
    throw OutageError("an earlier grant of " + model.value() +
                      " isn't settled");
  }
  const Grant grant = release.grant;
  pending_releases_.erase(it);
  return grant;
}

Task<Grant> GrantLedger::TakeNewGrant(
    std::shared_ptr<const contract::Config> config, std::int64_t min_fence,
    core::SteadyTime deadline, std::shared_ptr<TakeAttempt> attempt) {
  const std::string key = LedgerKey(attempt->service);
  Grant& grant = attempt->grant;
  auto entry = co_await ReadEntry(key);
  for (int i = 0; i < kMaxSwaps; ++i) {
    LedgerValue ledger = LedgerOf(entry);
    if (const Grant* ours = FindGrant(ledger, vm_, grant.model)) {
      // This grant is from a swap whose answer was lost, or from a predecessor
      // of this process on the VM.
      attempt->pending_swap.reset();
      co_return *ours;
    }
    const std::int64_t revision = RevisionOf(entry);
    // Revisions only grow: a swap against an older one can't succeed any more.
    if (attempt->pending_swap != revision) attempt->pending_swap.reset();
    CheckLimits(ledger, *config, grant.model);
    if (clock_.Now() >= deadline) throw OutageError("no grant in time");
    grant.fence = std::max(ledger.next_fence, min_fence);
    ledger.grants.push_back(grant);
    ledger.next_fence = grant.fence + 1;
    ledger.config_version = config->version;
    // At most one of all swaps against the same revision takes effect, so a
    // retry after an unknown outcome can't take two grants.
    const auto result = co_await Swap(key, revision, EncodeLedger(ledger));
    if (!result) {
      attempt->pending_swap = revision;
      entry = co_await ReadEntry(key);
      continue;
    }
    if (result->swapped) {
      attempt->pending_swap.reset();
      log_.Event(
          LogLevel::kInfo, LogCategory::kLedger, "grant_taken",
          {{"model", grant.model}, {"fence", grant.fence}, {"tries", i + 1}});
      co_return grant;
    }
    entry = result->current;
    co_await BackOff(i);
  }
  throw OutageError("the ledger of " + attempt->service.value() +
                    " is contended");
}

void GrantLedger::Release(const core::ServiceId& service, const Grant& grant) {
  const std::lock_guard lock(mutex_);
  for (const auto& it : pending_releases_) {
    if (it->grant == grant) return;
  }
  pending_releases_.push_back(std::make_shared<PendingRelease>(
      PendingRelease{service, grant, std::nullopt, false, false}));
}

std::vector<std::shared_ptr<GrantLedger::PendingRelease>>
GrantLedger::ClaimPendingReleases() {
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<PendingRelease>> claimed;
  for (const auto& it : pending_releases_) {
    if (std::exchange(it->busy, true)) continue;
    claimed.push_back(it);
  }
  return claimed;
}

void GrantLedger::FinishRelease(const std::shared_ptr<PendingRelease>& release,
                                bool done) {
  const std::lock_guard lock(mutex_);
  release->busy = false;
  if (done) std::erase(pending_releases_, release);
}

Task<bool> GrantLedger::FlushPending() {
  for (const auto& it : ClaimPendingReleases()) {
    bool done = false;
    try {
      co_await EndGrant(it);
      done = true;
    } catch (const Error& e) {
      log_.Event(
          LogLevel::kWarning, LogCategory::kLedger, "grant_end_delayed",
          {{"model", it->grant.model}, {"error", std::string(e.what())}});
    }
    FinishRelease(it, done);
  }
  co_return pending() == 0;
}

/** Returns once the grant isn't in the ledger and no write can put it there. */
Task<> GrantLedger::EndGrant(std::shared_ptr<PendingRelease> release) {
  const std::string key = LedgerKey(release->service);
  auto entry = co_await ReadEntry(key);
  for (int i = 0; i < kMaxSwaps; ++i) {
    LedgerValue ledger = LedgerOf(entry);
    const bool held = std::erase(ledger.grants, release->grant) > 0;
    const std::int64_t revision = RevisionOf(entry);
    if (!held && release->pending_swap != revision) {
      log_.Event(
          LogLevel::kInfo, LogCategory::kLedger, "grant_ended",
          {{"model", release->grant.model}, {"fence", release->grant.fence}});
      co_return;
    }
    // The late write could still succeed against this revision; any swap that
    // changes the revision prevents that.
    ledger.next_fence = std::max(ledger.next_fence, release->grant.fence + 1);
    const auto result = co_await Swap(key, revision, EncodeLedger(ledger));
    if (!result) {
      release->sent = true;
      entry = co_await ReadEntry(key);
      continue;
    }
    if (result->swapped) {
      entry = external::KvEntry{key, EncodeLedger(ledger), result->revision};
      continue;
    }
    entry = result->current;
    co_await BackOff(i);
  }
  throw OutageError("the ledger of " + release->service.value() +
                    " is contended");
}

Task<> GrantLedger::RecordConfigVersion(core::ServiceId service,
                                        std::int64_t version) {
  const std::string key = LedgerKey(service);
  auto entry = co_await ReadEntry(key);
  for (int i = 0; i < kMaxSwaps; ++i) {
    LedgerValue ledger = LedgerOf(entry);
    if (ledger.config_version >= version) co_return;
    ledger.config_version = version;
    // An unanswered swap is harmless whether and whenever it takes effect: it
    // doesn't change the grants of its revision.
    const auto result =
        co_await Swap(key, RevisionOf(entry), EncodeLedger(ledger));
    if (result && result->swapped) co_return;
    if (result) {
      entry = result->current;
    } else {
      entry = co_await ReadEntry(key);
    }
    co_await BackOff(i);
  }
  throw OutageError("the ledger of " + service.value() + " is contended");
}

Task<std::map<core::ServiceId, LedgerValue>> GrantLedger::ReadAll() {
  std::map<core::ServiceId, LedgerValue> ledgers;
  std::vector<external::KvEntry> entries;
  try {
    entries = co_await store_.List(std::string(kLedgerPrefix));
    SetReachable(true);
  } catch (const Error&) {
    SetReachable(false);
    throw;
  }
  for (const external::KvEntry& it : entries) {
    ledgers.emplace(ServiceOfLedgerKey(it.key), DecodeLedger(it.value));
  }
  co_return ledgers;
}

int GrantLedger::pending() const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(pending_releases_.size());
}

bool GrantLedger::reachable() const {
  const std::lock_guard lock(mutex_);
  return reachable_;
}

void GrantLedger::SetReachable(bool reachable) {
  const std::lock_guard lock(mutex_);
  reachable_ = reachable;
}

}  // namespace sapphire::endpoint
