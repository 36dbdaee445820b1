/** @file ledger_cleanup.cc Removes the grants of removed VMs. */
#include <algorithm>
#include <boost/json.hpp>

#include "core/error_type.h"
#include "core/task_func.h"
#include "entry/ledger_cleanup_base.h"
#include "policy/placement_func.h"

namespace sapphire::entry {

namespace json = boost::json;

namespace {

constexpr int kMaxSwapAttempts = 8;
constexpr core::Millis kPollInterval{200};

core::VmId HolderOf(const json::value& grant) {
  return core::VmId(json::value_to<std::string>(grant.at("vm")));
}

}  // namespace

std::set<core::VmId> GrantHolders(const std::string& ledger) {
  std::set<core::VmId> holders;
  const json::value value = json::parse(ledger);
  for (const json::value& grant : value.at("grants").as_array()) {
    holders.insert(HolderOf(grant));
  }
  return holders;
}

std::optional<std::string> WithoutGrantsOf(const std::string& ledger,
                                           const core::VmId& vm) {
  json::value value = json::parse(ledger);
  json::array& grants = value.at("grants").as_array();
  json::array kept;
  for (const json::value& grant : grants) {
    if (HolderOf(grant) != vm) kept.push_back(grant);
  }
  if (kept.size() == grants.size()) return std::nullopt;
  grants = std::move(kept);
  return json::serialize(value);
}

LedgerCleanup::LedgerCleanup(const core::Executor& executor,
                             LedgerCleanupOptions options,
                             contract::ConfigHolder& config,
                             Directory& directory,
                             external::KeyValueStore& store,
                             const core::Clock& clock, const core::Logger& log)
    : executor_(executor),
      options_(std::move(options)),
      config_(config),
      directory_(directory),
      store_(store),
      clock_(clock),
      log_(log) {}

void LedgerCleanup::Start() {
  directory_.OnVmRemoved([weak = weak_from_this()](const core::VmId& vm) {
    const auto self = weak.lock();
    if (!self) return;
    const std::lock_guard lock(self->mutex_);
    self->removed_.insert(vm);
  });
  core::Spawn(executor_, log_, "ledger_cleanup",
              [self = shared_from_this()] { return self->RunLoop(); });
}

core::Task<> LedgerCleanup::RunLoop() {
  core::SteadyTime next = clock_.Now() + options_.interval;
  std::size_t handled = 0;
  while (!stopped_) {
    co_await core::SleepFor(kPollInterval);
    std::size_t known = 0;
    {
      const std::lock_guard lock(mutex_);
      known = removed_.size();
    }
    if (known == handled && clock_.Now() < next) continue;
    co_await Sweep();
    handled = known;
    next = clock_.Now() + options_.interval;
  }
}

std::vector<core::ServiceId> LedgerCleanup::PrimaryServices() const {
  std::vector<core::ServiceId> own;
  const auto current = config_.Current();
  if (!current) return own;
  std::vector<core::VmId> entries;
  for (const KnownEntry& entry : directory_.Entries()) {
    entries.push_back(entry.vm);
  }
  for (const auto& [id, service] : current->intent.services) {
    if (service.kind != contract::ServiceKind::kModel) continue;
    const auto ranked = policy::RankByRendezvousHash(id.value(), entries);
    if (!ranked.empty() && ranked.front() == options_.self) own.push_back(id);
  }
  return own;
}

bool LedgerCleanup::IsRemoved(const core::VmId& vm) {
  if (!directory_.has_list() || directory_.IsListed(vm)) {
    const std::lock_guard lock(mutex_);
    missing_since_.erase(vm);
    removed_.erase(vm);
    return false;
  }
  const std::lock_guard lock(mutex_);
  if (removed_.contains(vm)) return true;
  // This entry never saw the holder listed: the VM was removed while this entry
  // did not run. Only a listed VM takes a grant, so the VM counts as removed
  // once the list has had time to catch up.
  const auto it = missing_since_.try_emplace(vm, clock_.Now()).first;
  return clock_.Now() - it->second >= options_.removal_grace;
}

core::Task<> LedgerCleanup::Sweep() {
  for (const core::ServiceId& service : PrimaryServices()) {
    bool failed = false;
    try {
      co_await SweepService(service);
    } catch (const std::exception& e) {
      failed = true;
      log_.Event(core::LogLevel::kWarning, core::LogCategory::kLedger,
                 "ledger_cleanup_failed",
                 {{"service", service}, {"error", e.what()}});
    }
    // The next sweep retries. The sweep ends here, so that a key-value service
    // that is down is not called for every ledger.
    if (failed) co_return;
  }
}

core::Task<> LedgerCleanup::SweepService(core::ServiceId service) {
  const std::string key = "ledger/" + service.value();
  const auto ledger = co_await store_.Get(key);
  if (!ledger) co_return;
  for (const core::VmId& vm : GrantHolders(ledger->value)) {
    if (!IsRemoved(vm)) continue;
    co_await RemoveGrants(key, vm);
  }
}

core::Task<> LedgerCleanup::RemoveGrants(std::string key, core::VmId vm) {
  for (int i = 0; i < kMaxSwapAttempts; ++i) {
    const auto ledger = co_await store_.Get(key);
    if (!ledger) co_return;
    const auto without = WithoutGrantsOf(ledger->value, vm);
    if (!without) co_return;
    const external::CasResult swap =
        co_await store_.CompareAndSwap(key, ledger->revision, *without, "");
    if (!swap.swapped) continue;
    log_.Event(core::LogLevel::kInfo, core::LogCategory::kLedger,
               "grants_of_gone_vm_ended", {{"key", key}, {"vm", vm}});
    co_return;
  }
}

}  // namespace sapphire::entry
