/** @file directory.cc Polls the VM list and receives endpoint reports. */
#include <algorithm>
#include <exception>
#include <set>
#include <utility>

#include "core/random_func.h"
#include "core/task_func.h"
#include "entry/directory_base.h"

namespace sapphire::entry {

namespace {

using core::LogCategory;
using core::LogLevel;

/** Successful reads in a row that must miss a VM before it counts as removed.
 */
constexpr int kRemovalReads = 3;
constexpr core::Millis kFirstBackoff{100};
constexpr core::Millis kProbeTimeout{1000};

/** One VM of the list and its state as observed by this entry. */
struct TrackedVm {
  external::VmRecord record;
  int missed_reads = 0;
  core::SteadyTime missing_since;
  /** For entries: the last attempt to reach it failed. */
  bool unreachable = false;
  bool probing = false;
};

/** @return A random time from half of `backoff` up to all of it, which spreads
 * retries after a common failure. */
core::Millis Jittered(core::Millis backoff) {
  const auto half = std::max<std::int64_t>(backoff.count() / 2, 1);
  return core::Millis(half + core::RandomPositive() % half);
}

gen::Message SubscribeMessage() {
  gen::Message message;
  message.__set_subscribe(gen::Subscribe());
  return message;
}

}  // namespace

struct Directory::State : std::enable_shared_from_this<Directory::State> {
  State(const core::Executor& executor_arg, DirectoryOptions options_arg,
        external::VmList& vm_list_arg, link::LinkNode& links_arg,
        const core::Clock& clock_arg, const core::Logger& log_arg)
      : executor(executor_arg),
        options(std::move(options_arg)),
        vm_list(vm_list_arg),
        links(links_arg),
        clock(clock_arg),
        log(log_arg) {}

  core::Task<> FollowList();
  core::Task<> ReadListOnce();
  void ApplyList(const std::vector<external::VmRecord>& records);
  void ApplyRecord(const external::VmRecord& record);
  std::vector<core::VmId> CollectRemoved(const std::set<core::VmId>& shown);
  void StartFollowers();
  void StartProbes();

  core::Task<> FollowEndpoint(core::VmId vm);
  core::Task<> ReadReports(core::VmId vm, std::string address);
  void ApplyReport(const core::VmId& vm, const std::string& address,
                   gen::EndpointReport report);
  void MarkDisconnected(const core::VmId& vm);
  std::optional<std::string> AddressToFollow(const core::VmId& vm);

  core::Task<> Probe(core::VmId vm, std::string address);

  void Notify(const KnownEndpoint* changed);
  bool IsStopped() const;

  const core::Executor executor;
  const DirectoryOptions options;
  external::VmList& vm_list;
  link::LinkNode& links;
  const core::Clock& clock;
  const core::Logger& log;

  mutable std::mutex mutex;
  bool stopped = false;
  bool self_leaving = false;
  bool has_list = false;
  bool self_was_listed = false;
  std::uint64_t revision = 0;
  std::map<core::VmId, TrackedVm> vms;
  std::map<core::EndpointId, KnownEndpoint> endpoints;
  /** VMs with a running FollowEndpoint: at most one each, also if a VM returns.
   */
  std::set<core::VmId> followers;
  /** Endpoints that have reported or have failed to since the start. */
  std::set<core::VmId> contacted;
  std::map<core::VmId, std::shared_ptr<link::Call>> calls;
  std::vector<std::function<void()>> change_listeners;
  std::vector<std::function<void(const KnownEndpoint&)>> endpoint_listeners;
  std::vector<std::function<void(const core::VmId&)>> removed_listeners;
};

bool Directory::State::IsStopped() const {
  const std::lock_guard lock(mutex);
  return stopped;
}

void Directory::State::Notify(const KnownEndpoint* changed) {
  std::vector<std::function<void()>> on_change;
  std::vector<std::function<void(const KnownEndpoint&)>> on_endpoint;
  {
    const std::lock_guard lock(mutex);
    if (stopped) return;
    on_change = change_listeners;
    if (changed != nullptr) on_endpoint = endpoint_listeners;
  }
  for (const auto& listener : on_endpoint) listener(*changed);
  for (const auto& listener : on_change) listener();
}

core::Task<> Directory::State::FollowList() {
  while (!IsStopped()) {
    co_await ReadListOnce();
    co_await core::SleepFor(options.list_interval);
  }
}

core::Task<> Directory::State::ReadListOnce() {
  // Failure: the list's service is down, which shows as an error or an empty
  // list. The last list stays in use: lost links reveal lost VMs meanwhile, and
  // no VM counts as removed because of a failed read.
  std::vector<external::VmRecord> records;
  try {
    records = co_await vm_list.Read();
  } catch (const std::exception& e) {
    log.Event(LogLevel::kWarning, LogCategory::kPlatform, "vm_list_failed",
              {{"error", e.what()}});
  }
  if (!records.empty()) ApplyList(records);
  StartFollowers();
  StartProbes();
}

void Directory::State::ApplyRecord(const external::VmRecord& record) {
  TrackedVm& tracked = vms[record.vm];
  tracked.record = record;
  tracked.missed_reads = 0;
  const auto it = endpoints.find(core::EndpointId(record.vm.value()));
  if (it == endpoints.end()) return;
  KnownEndpoint& known = it->second;
  known.leaving =
      known.report.leaving || record.state == external::VmState::kLeaving;
}

std::vector<core::VmId> Directory::State::CollectRemoved(
    const std::set<core::VmId>& shown) {
  std::vector<core::VmId> gone;
  // Failure: a list service that has restarted or lags returns an incomplete
  // list. This entry itself is then missing from it, though it was listed
  // before. Such a list does not count as evidence that other VMs are gone.
  if (self_was_listed && !shown.contains(options.self)) return gone;
  for (auto& [vm, tracked] : vms) {
    if (shown.contains(vm)) continue;
    if (tracked.missed_reads++ == 0) tracked.missing_since = clock.Now();
    if (tracked.missed_reads < kRemovalReads) continue;
    if (clock.Now() - tracked.missing_since < options.removal_grace) continue;
    // Failure: the list drops a VM that still runs and may hold a replica. As
    // long as its link is up, the VM does not count as removed.
    const auto it = endpoints.find(core::EndpointId(vm.value()));
    if (it != endpoints.end() && it->second.connected) continue;
    gone.push_back(vm);
  }
  for (const core::VmId& vm : gone) {
    vms.erase(vm);
    contacted.erase(vm);
    endpoints.erase(core::EndpointId(vm.value()));
  }
  return gone;
}

void Directory::State::ApplyList(
    const std::vector<external::VmRecord>& records) {
  std::vector<core::VmId> gone;
  std::vector<KnownEndpoint> turned;
  std::vector<std::function<void(const core::VmId&)>> listeners;
  {
    const std::lock_guard lock(mutex);
    has_list = true;
    std::set<core::VmId> shown;
    for (const external::VmRecord& record : records) {
      shown.insert(record.vm);
      const auto it = endpoints.find(core::EndpointId(record.vm.value()));
      const bool was_leaving = it != endpoints.end() && it->second.leaving;
      ApplyRecord(record);
      if (it != endpoints.end() && it->second.leaving != was_leaving) {
        it->second.revision = ++revision;
        turned.push_back(it->second);
      }
    }
    gone = CollectRemoved(shown);
    self_was_listed = self_was_listed || shown.contains(options.self);
    listeners = removed_listeners;
  }
  for (const KnownEndpoint& endpoint : turned) Notify(&endpoint);
  for (const core::VmId& vm : gone) {
    log.Event(LogLevel::kInfo, LogCategory::kPlatform, "vm_gone", {{"vm", vm}});
    for (const auto& listener : listeners) listener(vm);
  }
  Notify(nullptr);
}

void Directory::State::StartFollowers() {
  std::vector<core::VmId> starting;
  {
    const std::lock_guard lock(mutex);
    for (auto& [vm, tracked] : vms) {
      if (stopped) break;
      if (tracked.record.role != external::VmRole::kEndpoint) continue;
      if (followers.insert(vm).second) starting.push_back(vm);
    }
  }
  for (const core::VmId& vm : starting) {
    core::Spawn(
        executor, log, "follow_endpoint",
        [self = shared_from_this(), vm] { return self->FollowEndpoint(vm); });
  }
}

std::optional<std::string> Directory::State::AddressToFollow(
    const core::VmId& vm) {
  const std::lock_guard lock(mutex);
  const auto it = vms.find(vm);
  if (stopped || it == vms.end()) {
    followers.erase(vm);
    return std::nullopt;
  }
  return it->second.record.link_address;
}

core::Task<> Directory::State::FollowEndpoint(core::VmId vm) {
  core::Millis backoff = kFirstBackoff;
  while (const auto address = AddressToFollow(vm)) {
    const core::SteadyTime started = clock.Now();
    try {
      co_await ReadReports(vm, *address);
    } catch (const core::Error& e) {
      log.Event(LogLevel::kInfo, LogCategory::kLink, "endpoint_lost",
                {{"endpoint", vm}, {"error", e.what()}});
    }
    MarkDisconnected(vm);
    if (clock.Now() - started > options.max_backoff) backoff = kFirstBackoff;
    co_await core::SleepFor(Jittered(backoff));
    backoff = std::min(backoff * 2, options.max_backoff);
  }
}

core::Task<> Directory::State::ReadReports(core::VmId vm, std::string address) {
  const std::shared_ptr<link::Call> call =
      co_await links.Open(address, SubscribeMessage());
  {
    const std::lock_guard lock(mutex);
    calls[vm] = call;
  }
  while (!IsStopped()) {
    gen::Message message = co_await call->Receive(options.report_timeout);
    if (!message.__isset.endpoint_report) continue;
    // Failure: a VM was replaced and its address reused, but the list still
    // shows the old one. The report then carries another name. Orders for the
    // old VM must not reach the new one.
    if (message.endpoint_report.endpoint != vm.value()) {
      throw core::Error(
          core::ErrorCode::kLinkLost,
          "the address belongs to " + message.endpoint_report.endpoint);
    }
    ApplyReport(vm, address, std::move(message.endpoint_report));
  }
}

void Directory::State::ApplyReport(const core::VmId& vm,
                                   const std::string& address,
                                   gen::EndpointReport report) {
  KnownEndpoint copy;
  {
    const std::lock_guard lock(mutex);
    const auto listed = vms.find(vm);
    if (listed == vms.end()) return;
    const bool list_says =
        listed->second.record.state == external::VmState::kLeaving;
    contacted.insert(vm);
    const core::EndpointId id(vm.value());
    KnownEndpoint& known = endpoints[id];
    known.id = id;
    known.address = address;
    known.leaving = report.leaving || list_says;
    known.report = std::move(report);
    known.reported_at = clock.Now();
    known.connected = true;
    known.revision = ++revision;
    copy = known;
  }
  Notify(&copy);
}

void Directory::State::MarkDisconnected(const core::VmId& vm) {
  KnownEndpoint copy;
  {
    const std::lock_guard lock(mutex);
    calls.erase(vm);
    contacted.insert(vm);
    const auto it = endpoints.find(core::EndpointId(vm.value()));
    if (it == endpoints.end() || !it->second.connected) return;
    it->second.connected = false;
    it->second.revision = ++revision;
    copy = it->second;
  }
  Notify(&copy);
}

void Directory::State::StartProbes() {
  std::vector<external::VmRecord> targets;
  {
    const std::lock_guard lock(mutex);
    const auto is_entry = [](const auto& item) {
      return item.second.record.role == external::VmRole::kEntry;
    };
    const auto entries = std::count_if(vms.begin(), vms.end(), is_entry);
    const bool all =
        static_cast<std::size_t>(entries) <= options.max_probed_entries;
    for (auto& [vm, tracked] : vms) {
      if (tracked.record.role != external::VmRole::kEntry) continue;
      if (vm == options.self || tracked.probing || stopped) continue;
      if (!all && !tracked.unreachable) continue;
      tracked.probing = true;
      targets.push_back(tracked.record);
    }
  }
  for (const external::VmRecord& record : targets) {
    core::Spawn(
        executor, log, "probe_entry",
        [self = shared_from_this(), vm = record.vm,
         address = record.link_address] { return self->Probe(vm, address); });
  }
}

core::Task<> Directory::State::Probe(core::VmId vm, std::string address) {
  // Any answer shows that the process runs, even a refusal: entries have no
  // reports to send.
  bool up = true;
  try {
    const auto call = co_await links.Open(address, SubscribeMessage());
    co_await call->Receive(kProbeTimeout);
  } catch (const core::Error& e) {
    up = e.code() != core::ErrorCode::kLinkLost &&
         e.code() != core::ErrorCode::kTimedOut &&
         e.code() != core::ErrorCode::kLeaving;
  }
  bool changed = false;
  {
    const std::lock_guard lock(mutex);
    const auto it = vms.find(vm);
    if (it == vms.end()) co_return;
    changed = it->second.unreachable == up;
    it->second.probing = false;
    it->second.unreachable = !up;
  }
  if (changed) Notify(nullptr);
}

Directory::Directory(const core::Executor& executor, DirectoryOptions options,
                     external::VmList& vm_list, link::LinkNode& links,
                     const core::Clock& clock, const core::Logger& log)
    : state_(std::make_shared<State>(executor, std::move(options), vm_list,
                                     links, clock, log)) {}

Directory::~Directory() { Stop(); }

void Directory::Start() {
  core::Spawn(state_->executor, state_->log, "follow_vm_list",
              [state = state_] { return state->FollowList(); });
}

void Directory::Stop() {
  std::map<core::VmId, std::shared_ptr<link::Call>> calls;
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopped = true;
    calls.swap(state_->calls);
  }
  for (const auto& [vm, call] : calls) call->Cancel();
}

std::vector<KnownEndpoint> Directory::Endpoints() const {
  const std::lock_guard lock(state_->mutex);
  std::vector<KnownEndpoint> all;
  all.reserve(state_->endpoints.size());
  for (const auto& [id, known] : state_->endpoints) all.push_back(known);
  return all;
}

std::optional<KnownEndpoint> Directory::Find(const core::EndpointId& id) const {
  const std::lock_guard lock(state_->mutex);
  const auto it = state_->endpoints.find(id);
  if (it == state_->endpoints.end()) return std::nullopt;
  return it->second;
}

std::vector<KnownEntry> Directory::Entries() const {
  const std::lock_guard lock(state_->mutex);
  std::vector<KnownEntry> entries;
  bool self_listed = false;
  for (const auto& [vm, tracked] : state_->vms) {
    const external::VmRecord& record = tracked.record;
    if (record.role != external::VmRole::kEntry) continue;
    const bool self = vm == state_->options.self;
    self_listed = self_listed || self;
    if (record.state == external::VmState::kLeaving) continue;
    if (self ? state_->self_leaving : tracked.unreachable) continue;
    entries.push_back({vm, record.zone, record.link_address});
  }
  // Failure: the list lags behind this entry's own start, or is down. Without
  // itself in the list, the entry could serve nothing.
  if (!self_listed && !state_->self_leaving) {
    entries.push_back({state_->options.self, core::ZoneId(), ""});
  }
  return entries;
}

void Directory::MarkUnreachable(const core::VmId& entry) {
  const std::lock_guard lock(state_->mutex);
  const auto it = state_->vms.find(entry);
  if (it != state_->vms.end()) it->second.unreachable = true;
}

void Directory::MarkSelfLeaving() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->self_leaving = true;
  }
  state_->Notify(nullptr);
}

void Directory::OnChange(std::function<void()> listener) {
  const std::lock_guard lock(state_->mutex);
  state_->change_listeners.push_back(std::move(listener));
}

void Directory::OnEndpointChange(
    std::function<void(const KnownEndpoint&)> listener) {
  const std::lock_guard lock(state_->mutex);
  state_->endpoint_listeners.push_back(std::move(listener));
}

bool Directory::initial_reports_done() const {
  const std::lock_guard lock(state_->mutex);
  const auto is_known = [this](const auto& item) {
    return item.second.record.role != external::VmRole::kEndpoint ||
           state_->contacted.contains(item.first);
  };
  return state_->has_list &&
         std::all_of(state_->vms.begin(), state_->vms.end(), is_known);
}

std::vector<external::VmRecord> Directory::ListedVms() const {
  const std::lock_guard lock(state_->mutex);
  std::vector<external::VmRecord> records;
  records.reserve(state_->vms.size());
  for (const auto& [vm, tracked] : state_->vms) {
    records.push_back(tracked.record);
  }
  return records;
}

bool Directory::has_list() const {
  const std::lock_guard lock(state_->mutex);
  return state_->has_list;
}

bool Directory::IsListed(const core::VmId& vm) const {
  const std::lock_guard lock(state_->mutex);
  return state_->vms.contains(vm);
}

void Directory::OnVmRemoved(std::function<void(const core::VmId&)> listener) {
  const std::lock_guard lock(state_->mutex);
  state_->removed_listeners.push_back(std::move(listener));
}

}  // namespace sapphire::entry
