/** @file engine_state.cc State of the model engine's stand-in. */
#include <algorithm>
#include <utility>

#include "core/random_func.h"
#include "standin/engine_state_base.h"
#include "standin/stand_in_base.h"

namespace sapphire::standin {

using external::EngineAdapter;
using external::EngineModel;
using external::EngineModelState;
using external::EngineOrder;
using external::OrderKind;

namespace {

/** A generated token takes as much KV cache as this many characters. */
constexpr std::int64_t kCharsPerToken = 4;

bool IsLoad(OrderKind kind) {
  return kind == OrderKind::kLoadModel || kind == OrderKind::kLoadAdapter;
}

std::vector<core::ModelId> ToIds(const std::set<std::string>& names) {
  std::vector<core::ModelId> ids;
  ids.reserve(names.size());
  for (const std::string& it : names) ids.emplace_back(it);
  return ids;
}

/** @return How many bytes an order adds to the memory in use. */
std::int64_t AddedBytes(const EngineOrder& order) {
  return IsLoad(order.kind) ? order.bytes + order.kv_budget_bytes : 0;
}

}  // namespace

std::string_view NameOf(OrderVerdict verdict) {
  switch (verdict) {
    case OrderVerdict::kStaleFence:
      return "stale_fence";
    case OrderVerdict::kBusy:
      return "busy";
    case OrderVerdict::kNotReady:
      return "not_ready";
    case OrderVerdict::kNoMemory:
      return "no_memory";
    case OrderVerdict::kAccepted:
    case OrderVerdict::kNothingToDo:
      break;
  }
  return "";
}

EngineState::EngineState(EngineOptions options, const core::Clock& clock)
    : options_(std::move(options)),
      clock_(clock),
      incarnation_(core::RandomPositive()),
      memory_tier_(options_.memory_tier.begin(), options_.memory_tier.end()),
      disk_tier_(options_.disk_tier.begin(), options_.disk_tier.end()) {
  record_.memory_bytes = options_.memory_bytes;
}

std::int64_t EngineState::incarnation() const {
  const std::lock_guard lock(mutex_);
  return incarnation_;
}

external::EngineStatus EngineState::Status() const {
  const std::lock_guard lock(mutex_);
  external::EngineStatus status;
  status.incarnation = incarnation_;
  status.memory_bytes = options_.memory_bytes;
  status.honours_fencing = options_.honours_fencing;
  status.fence = fence_;
  status.order_in_progress = orders_in_progress_ > 0;
  for (const auto& [name, held] : models_) status.models.push_back(held.model);
  status.memory_tier = ToIds(memory_tier_);
  status.disk_tier = ToIds(disk_tier_);
  return status;
}

EngineRecord EngineState::Record() const {
  const std::lock_guard lock(mutex_);
  EngineRecord record = record_;
  record.used_bytes = UsedBytes();
  return record;
}

OrderStart EngineState::BeginOrder(const EngineOrder& order) {
  const std::lock_guard lock(mutex_);
  const OrderVerdict verdict = DecideOrder(order);
  fence_ = std::max(fence_, order.fence);
  if (verdict == OrderVerdict::kAccepted) {
    ++orders_in_progress_;
    Apply(order);
  } else if (verdict != OrderVerdict::kNothingToDo) {
    RecordRefusal(order, verdict);
  }
  return {verdict, incarnation_};
}

void EngineState::EndOrder(const EngineOrder& order, std::int64_t incarnation,
                           bool carried_out) {
  const std::lock_guard lock(mutex_);
  if (incarnation != incarnation_) return;
  --orders_in_progress_;
  const std::string& model = order.model.value();
  switch (order.kind) {
    case OrderKind::kLoadModel:
      EndLoad(order, carried_out);
      break;
    case OrderKind::kUnloadModel:
      RemoveModel(model, ReplicaEnd::kUnloaded);
      break;
    case OrderKind::kLoadAdapter:
      EndAdapterLoad(order, carried_out);
      break;
    case OrderKind::kUnloadAdapter:
      RemoveAdapter(order);
      break;
  }
}

CheckpointTier EngineState::TierOf(const std::string& checkpoint) const {
  const std::lock_guard lock(mutex_);
  if (memory_tier_.contains(checkpoint)) return CheckpointTier::kMemory;
  if (disk_tier_.contains(checkpoint)) return CheckpointTier::kDisk;
  return CheckpointTier::kRemote;
}

void EngineState::CacheCheckpoint(const std::string& checkpoint) {
  const std::lock_guard lock(mutex_);
  memory_tier_.insert(checkpoint);
  disk_tier_.insert(checkpoint);
}

Admission EngineState::Admit(const GenerateCall& call) {
  const std::lock_guard lock(mutex_);
  LoadedModel* held = FindUsable(call);
  if (held == nullptr) return {};
  const std::int64_t kv_bytes = KvBytesOf(call);
  const std::int64_t budget = held->model.kv_budget_bytes;
  const bool fits = held->running_kv_bytes + kv_bytes <= budget;
  // A model without a budget has no limit; a request that is larger than the
  // whole budget runs alone.
  if (budget > 0 && !fits && held->model.running > 0) {
    return {.verdict = AdmissionVerdict::kNoRoom};
  }
  return StartRun(call, *held, kv_bytes);
}

EngineState::LoadedModel* EngineState::FindUsable(const GenerateCall& call) {
  const auto it = models_.find(call.model);
  if (it == models_.end()) return nullptr;
  LoadedModel& held = it->second;
  if (held.model.state != EngineModelState::kReady) return nullptr;
  const bool usable = call.adapter.empty() || IsUsable(held, call.adapter);
  return usable ? &held : nullptr;
}

std::int64_t EngineState::KvBytesOf(const GenerateCall& call) const {
  const std::int64_t chars = static_cast<std::int64_t>(call.prompt.size()) +
                             call.max_tokens * kCharsPerToken;
  return chars * options_.kv_bytes_per_char;
}

Admission EngineState::StartRun(const GenerateCall& call, LoadedModel& held,
                                std::int64_t kv_bytes) {
  const std::int64_t used_before = UsedBytes();
  Admission admission;
  admission.verdict = AdmissionVerdict::kAdmitted;
  admission.ticket = ++last_ticket_;
  admission.cached_chars = held.prefixes.Match(call.prompt);
  held.running_kv_bytes += kv_bytes;
  held.prefixes.EvictTo(held.model.kv_budget_bytes - held.running_kv_bytes);
  ++held.model.running;
  running_[admission.ticket] = {call.model, call.prompt, kv_bytes,
                                record_.requests.size()};
  RequestRecord run;
  run.request_id = call.request_id;
  run.model = call.model;
  run.started_ms = WallMillis(clock_);
  record_.requests.push_back(std::move(run));
  if (UsedBytes() > used_before) RecordMemoryUse("request " + call.request_id);
  return admission;
}

bool EngineState::IsRunning(std::int64_t ticket) const {
  const std::lock_guard lock(mutex_);
  return running_.contains(ticket);
}

void EngineState::EndRequest(std::int64_t ticket, RunOutcome outcome) {
  const std::lock_guard lock(mutex_);
  if (running_.contains(ticket)) StopRequest(ticket, outcome);
}

int EngineState::running() const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(running_.size());
}

void EngineState::Crash() {
  const std::lock_guard lock(mutex_);
  while (!models_.empty()) {
    const std::string model = models_.begin()->first;
    StopRequestsOf(model, RunOutcome::kCrashed);
    RemoveModel(model, ReplicaEnd::kCrashed);
  }
  incarnation_ = core::RandomPositive();
  orders_in_progress_ = 0;
  fence_ = 0;
  memory_tier_.clear();
  record_.crashes_ms.push_back(WallMillis(clock_));
}

OrderVerdict EngineState::DecideOrder(const EngineOrder& order) const {
  if (options_.honours_fencing) {
    if (order.fence < fence_) return OrderVerdict::kStaleFence;
    if (orders_in_progress_ > 0) return OrderVerdict::kBusy;
  }
  OrderVerdict verdict = OrderVerdict::kAccepted;
  switch (order.kind) {
    case OrderKind::kLoadModel:
      verdict = DecideLoad(order);
      break;
    case OrderKind::kUnloadModel:
      verdict = DecideUnload(order);
      break;
    case OrderKind::kLoadAdapter:
    case OrderKind::kUnloadAdapter:
      verdict = DecideAdapterOrder(order);
      break;
  }
  const bool fits = UsedBytes() + AddedBytes(order) <= options_.memory_bytes;
  if (verdict == OrderVerdict::kAccepted && options_.refuses_overcommit &&
      IsLoad(order.kind) && !fits) {
    return OrderVerdict::kNoMemory;
  }
  return verdict;
}

/** Another version of a loaded model must be unloaded first. */
OrderVerdict EngineState::DecideLoad(const EngineOrder& order) const {
  const auto it = models_.find(order.model.value());
  if (it == models_.end()) return OrderVerdict::kAccepted;
  const EngineModel& model = it->second.model;
  const bool same =
      model.state == EngineModelState::kReady && model.version == order.version;
  return same ? OrderVerdict::kNothingToDo : OrderVerdict::kBusy;
}

OrderVerdict EngineState::DecideUnload(const EngineOrder& order) const {
  const auto it = models_.find(order.model.value());
  if (it == models_.end()) return OrderVerdict::kNothingToDo;
  const bool ready = it->second.model.state == EngineModelState::kReady;
  return ready ? OrderVerdict::kAccepted : OrderVerdict::kBusy;
}

OrderVerdict EngineState::DecideAdapterOrder(const EngineOrder& order) const {
  const bool is_load = order.kind == OrderKind::kLoadAdapter;
  const auto it = models_.find(order.model.value());
  if (it == models_.end() ||
      it->second.model.state != EngineModelState::kReady) {
    return is_load ? OrderVerdict::kNotReady : OrderVerdict::kNothingToDo;
  }
  const bool has = HasAdapter(it->second, order.adapter.value());
  return has == is_load ? OrderVerdict::kNothingToDo : OrderVerdict::kAccepted;
}

/** Memory counts as used from the start of a load to the end of an unload. */
void EngineState::Apply(const EngineOrder& order) {
  switch (order.kind) {
    case OrderKind::kLoadModel:
      BeginLoad(order);
      break;
    case OrderKind::kUnloadModel:
      BeginUnload(order.model.value());
      break;
    case OrderKind::kLoadAdapter:
      BeginAdapterLoad(order);
      break;
    case OrderKind::kUnloadAdapter:
      break;
  }
}

void EngineState::BeginLoad(const EngineOrder& order) {
  EngineModel model;
  model.model = order.model;
  model.version = order.version;
  model.weight_bytes = order.bytes;
  model.kv_budget_bytes = order.kv_budget_bytes;
  ReplicaRecord replica;
  replica.model = order.model.value();
  replica.version = order.version;
  replica.fence = order.fence;
  replica.load_began_ms = WallMillis(clock_);
  models_.emplace(replica.model,
                  LoadedModel{std::move(model),
                              record_.replicas.size(),
                              0,
                              PrefixCache(options_.kv_bytes_per_char),
                              {}});
  record_.replicas.push_back(std::move(replica));
  RecordMemoryUse("load of model " + order.model.value());
}

void EngineState::BeginAdapterLoad(const EngineOrder& order) {
  LoadedModel& held = models_.at(order.model.value());
  held.model.adapters.push_back({order.adapter, order.bytes});
  held.loading_adapters.insert(order.adapter.value());
  RecordMemoryUse("load of adapter " + order.adapter.value());
}

/** The engine doesn't wait for running requests before it unloads. */
void EngineState::BeginUnload(const std::string& model) {
  models_.at(model).model.state = EngineModelState::kUnloading;
  StopRequestsOf(model, RunOutcome::kUnloaded);
}

void EngineState::EndLoad(const EngineOrder& order, bool carried_out) {
  const std::string& model = order.model.value();
  if (!carried_out) {
    RemoveModel(model, ReplicaEnd::kLoadFailed);
    return;
  }
  LoadedModel& held = models_.at(model);
  held.model.state = EngineModelState::kReady;
  record_.replicas[held.replica_index].ready_ms = WallMillis(clock_);
}

void EngineState::RemoveModel(const std::string& model, ReplicaEnd end) {
  const auto it = models_.find(model);
  if (it == models_.end()) return;
  ReplicaRecord& replica = record_.replicas[it->second.replica_index];
  replica.ended_ms = WallMillis(clock_);
  replica.end = end;
  models_.erase(it);
}

void EngineState::EndAdapterLoad(const EngineOrder& order, bool carried_out) {
  const auto it = models_.find(order.model.value());
  if (it == models_.end()) return;
  it->second.loading_adapters.erase(order.adapter.value());
  if (!carried_out) RemoveAdapter(order);
}

void EngineState::RemoveAdapter(const EngineOrder& order) {
  const auto it = models_.find(order.model.value());
  if (it == models_.end()) return;
  std::erase_if(it->second.model.adapters, [&](const EngineAdapter& adapter) {
    return adapter.adapter == order.adapter;
  });
}

void EngineState::StopRequest(std::int64_t ticket, RunOutcome outcome) {
  const auto it = running_.find(ticket);
  const Running& running = it->second;
  LoadedModel& held = models_.at(running.model);
  --held.model.running;
  held.running_kv_bytes -= running.kv_bytes;
  if (outcome == RunOutcome::kDone) held.prefixes.Insert(running.prompt);
  held.prefixes.EvictTo(held.model.kv_budget_bytes - held.running_kv_bytes);
  RequestRecord& run = record_.requests[running.run];
  run.ended_ms = WallMillis(clock_);
  run.outcome = outcome;
  running_.erase(it);
}

void EngineState::StopRequestsOf(const std::string& model, RunOutcome outcome) {
  std::vector<std::int64_t> tickets;
  for (const auto& [ticket, running] : running_) {
    if (running.model == model) tickets.push_back(ticket);
  }
  for (std::int64_t ticket : tickets) StopRequest(ticket, outcome);
}

void EngineState::RecordRefusal(const EngineOrder& order,
                                OrderVerdict verdict) {
  record_.refused_orders.push_back({WallMillis(clock_), order.model.value(),
                                    order.fence, std::string(NameOf(verdict))});
}

void EngineState::RecordMemoryUse(const std::string& cause) {
  const std::int64_t used = UsedBytes();
  record_.peak_used_bytes = std::max(record_.peak_used_bytes, used);
  if (used <= options_.memory_bytes) return;
  record_.overcommits.push_back({WallMillis(clock_), used, cause});
}

/** A model's KV cache counts as its whole budget, or as its size if that is
 * larger. */
std::int64_t EngineState::UsedBytes() const {
  std::int64_t used = 0;
  for (const auto& [name, held] : models_) {
    used += held.model.weight_bytes;
    for (const EngineAdapter& it : held.model.adapters) used += it.bytes;
    used += std::max(held.model.kv_budget_bytes,
                     held.running_kv_bytes + held.prefixes.bytes());
  }
  return used;
}

bool EngineState::IsUsable(const LoadedModel& held,
                           const std::string& id) const {
  return HasAdapter(held, id) && !held.loading_adapters.contains(id);
}

bool EngineState::HasAdapter(const LoadedModel& held,
                             const std::string& id) const {
  const auto& adapters = held.model.adapters;
  return std::any_of(
      adapters.begin(), adapters.end(),
      [&](const EngineAdapter& it) { return it.adapter.value() == id; });
}

}  // namespace sapphire::standin
