/** @file fleet_view.cc Endpoint views for the placement policy. */
#include <algorithm>
#include <utility>

#include "entry/endpoint_view_func.h"
#include "entry/fleet_view_base.h"
#include "policy/placement_func.h"

namespace sapphire::entry {

namespace {

/** Most prefix hashes remembered per replica. */
constexpr std::size_t kMaxPrefixes = 32;

/** An overdue load is estimated to need its elapsed time divided by this once
 * more. */
constexpr int kOverdueDivisor = 4;
constexpr core::Millis kMinReadyIn{50};

constexpr core::Millis kScanPause{20};
/** Expected time of a load that another entry ordered. */
constexpr core::Millis kDefaultLoadTime{2000};

core::Millis TimeLeft(core::Millis elapsed, core::Millis expected) {
  if (elapsed < expected) {
    return std::max(expected - elapsed, kMinReadyIn);
  }
  return std::max(elapsed / kOverdueDivisor, kMinReadyIn);
}

/** @return A copy without the lists of cached checkpoints, which are most of
 * the cost of a copy. Decisions among a model's own replicas do not need them.
 */
policy::EndpointView WithoutTiers(const policy::EndpointView& view) {
  policy::EndpointView copy;
  copy.id = view.id;
  copy.zone = view.zone;
  copy.memory_bytes = view.memory_bytes;
  copy.reserved_bytes = view.reserved_bytes;
  copy.leaving = view.leaving;
  copy.engine_up = view.engine_up;
  copy.replicas = view.replicas;
  copy.max_running = view.max_running;
  copy.reserved_for_suspect = view.reserved_for_suspect;
  return copy;
}

}  // namespace

std::set<core::ModelId> FleetView::Update(const KnownEndpoint& known) {
  const std::lock_guard lock(mutex_);
  Endpoint& endpoint = endpoints_[known.id];
  // Failure: the loss of a link and an older report arrive on two threads, the
  // loss first. The older report would revive the endpoint.
  if (known.revision < endpoint.known.revision) return {};
  std::set<core::ModelId> touched = ModelsIn(endpoint.known.report);
  touched.merge(ModelsIn(known.report));
  RemoveView(endpoint);
  plain_endpoints_[endpoint.known.report.kind].erase(known.id);
  endpoint.known = known;
  for (auto& [model, overlay] : endpoint.overlay) {
    overlay.placed_elsewhere = 0;
    overlay.ready = false;
    overlay.evicted = false;
    overlay.new_adapters.clear();
    touched.insert(model);
  }
  for (const gen::ReplicaReport& replica : known.report.replicas) {
    Overlay& overlay = endpoint.overlay[core::ModelId(replica.model)];
    overlay.placed_elsewhere = std::max(0, replica.running - overlay.slots);
    const bool loading = replica.state == gen::ReplicaState::LOADING;
    if (loading && overlay.loading_since == core::SteadyTime()) {
      overlay.loading_since = clock_.Now();
    }
    if (!loading && overlay.loads == 0) overlay.loading_since = {};
  }
  const std::set<core::ModelId> reported = ModelsIn(known.report);
  std::erase_if(endpoint.overlay, [&reported](const auto& item) {
    return item.second.slots == 0 && item.second.loads == 0 &&
           !reported.contains(item.first);
  });
  if (!known.connected) return touched;
  if (known.report.kind == kModelEndpointKind) {
    AddView(endpoint);
  } else {
    plain_endpoints_[known.report.kind].insert(known.id);
  }
  return touched;
}

void FleetView::Remove(const core::EndpointId& id) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  RemoveView(it->second);
  plain_endpoints_[it->second.known.report.kind].erase(id);
  endpoints_.erase(it);
}

void FleetView::SetServices(
    std::map<core::ModelId, core::ServiceId> service_of) {
  const std::lock_guard lock(mutex_);
  service_of_ = std::move(service_of);
  service_replicas_.clear();
  for (const policy::EndpointView& view : views_) {
    for (const policy::ReplicaView& replica : view.replicas) {
      const auto it = service_of_.find(replica.model);
      if (it != service_of_.end()) ++service_replicas_[it->second];
    }
  }
}

void FleetView::AddView(Endpoint& endpoint) {
  endpoint.index = views_.size();
  views_.push_back(ViewOf(endpoint.known.report, endpoint.known.leaving));
  for (policy::ReplicaView& replica : views_.back().replicas) {
    replica.service = ServiceOf(replica.model);
  }
  CountReplicas(views_.back(), 1);
  RefreshReplicas(endpoint);
}

void FleetView::RemoveView(Endpoint& endpoint) {
  if (!endpoint.index) return;
  const std::size_t index = *endpoint.index;
  CountReplicas(views_[index], -1);
  endpoint.index.reset();
  if (index + 1 < views_.size()) {
    views_[index] = std::move(views_.back());
    endpoints_[views_[index].id].index = index;
  }
  views_.pop_back();
}

void FleetView::CountReplicas(const policy::EndpointView& view, int sign) {
  for (const policy::ReplicaView& replica : view.replicas) {
    const auto it = service_of_.find(replica.model);
    if (it != service_of_.end()) service_replicas_[it->second] += sign;
    std::set<core::EndpointId>& holders = holders_[replica.model];
    if (sign > 0) {
      holders.insert(view.id);
    } else {
      holders.erase(view.id);
    }
    if (holders.empty()) holders_.erase(replica.model);
  }
}

void FleetView::RefreshReplicas(Endpoint& endpoint) {
  if (!endpoint.index) return;
  policy::EndpointView& view = views_[*endpoint.index];
  CountReplicas(view, -1);
  const gen::EndpointReport& report = endpoint.known.report;
  view.replicas = ReplicasOf(report);
  view.reserved_bytes = report.reserved_bytes;
  for (const auto& [model, overlay] : endpoint.overlay) {
    policy::ReplicaView* replica = FindReplica(endpoint, model);
    const bool on_its_way = overlay.loads > 0 || overlay.ready;
    if (replica == nullptr && on_its_way) {
      replica = &view.replicas.emplace_back();
      replica->model = model;
      replica->state = policy::ReplicaState::kLoading;
      replica->bytes = overlay.load_bytes;
      view.reserved_bytes += overlay.load_bytes;
    }
    if (replica == nullptr) continue;
    replica->service = ServiceOf(model);
    replica->ready_in = ReadyIn(overlay, kDefaultLoadTime);
    if (overlay.ready) replica->state = policy::ReplicaState::kReady;
    if (overlay.evicted) {
      replica->state = policy::ReplicaState::kUnloading;
      view.reserved_bytes -= replica->bytes;
    }
    replica->running = overlay.slots + overlay.placed_elsewhere;
    if (replica->running > 0) replica->idle = policy::Millis(0);
    replica->adapters.insert(overlay.new_adapters.begin(),
                             overlay.new_adapters.end());
    replica->prefixes.insert(overlay.prefixes.begin(), overlay.prefixes.end());
  }
  CountReplicas(view, 1);
}

policy::ReplicaView* FleetView::FindReplica(const Endpoint& endpoint,
                                            const core::ModelId& model) {
  if (!endpoint.index) return nullptr;
  for (policy::ReplicaView& replica : views_[*endpoint.index].replicas) {
    if (replica.model == model) return &replica;
  }
  return nullptr;
}

core::Millis FleetView::ReadyIn(const Overlay& overlay,
                                core::Millis expected) const {
  const auto elapsed = std::chrono::duration_cast<core::Millis>(
      clock_.Now() - overlay.loading_since);
  return TimeLeft(elapsed,
                  overlay.loads > 0 ? overlay.load_expected : expected);
}

void FleetView::PrepareHolders(const policy::PlacementRequest& request,
                               const policy::LoadTimes& loads) {
  const auto holders = holders_.find(request.model);
  if (holders == holders_.end()) return;
  for (const core::EndpointId& id : holders->second) {
    Endpoint& endpoint = endpoints_[id];
    policy::ReplicaView* replica = FindReplica(endpoint, request.model);
    if (replica == nullptr) continue;
    const Overlay& overlay = endpoint.overlay[request.model];
    // A suspect runs alone. Its endpoint looks full to all other requests,
    // which then wait for it instead of being refused.
    if (endpoint.suspects > 0 && !request.alone) {
      replica->running = std::max(replica->running, request.max_concurrent);
    }
    if (replica->state != policy::ReplicaState::kLoading) continue;
    const policy::Tier tier =
        policy::TierAt(views_[*endpoint.index], request.model);
    replica->ready_in = ReadyIn(overlay, policy::LoadTimeFrom(loads, tier));
  }
}

void FleetView::RestoreHolders(const core::ModelId& model) {
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) return;
  for (const core::EndpointId& id : holders->second) {
    Endpoint& endpoint = endpoints_[id];
    policy::ReplicaView* replica = FindReplica(endpoint, model);
    if (replica == nullptr || endpoint.suspects == 0) continue;
    const Overlay& overlay = endpoint.overlay[model];
    replica->running = overlay.slots + overlay.placed_elsewhere;
  }
}

core::ServiceId FleetView::ServiceOf(const core::ModelId& model) const {
  const auto it = service_of_.find(model);
  return it == service_of_.end() ? core::ServiceId() : it->second;
}

int FleetView::ServiceReplicas(const core::ServiceId& service) const {
  const auto it = service_replicas_.find(service);
  return it == service_replicas_.end() ? 0 : it->second;
}

policy::PlacementDecision FleetView::Decide(policy::PlacementRequest request,
                                            const core::ServiceId& service,
                                            const policy::LoadTimes& loads) {
  const std::lock_guard lock(mutex_);
  request.service = service;
  request.service_replicas = ServiceReplicas(service);
  PrepareHolders(request, loads);
  policy::PlacementDecision decision = DecidePrepared(request, loads);
  RestoreHolders(request.model);
  return decision;
}

policy::PlacementDecision FleetView::DecidePrepared(
    const policy::PlacementRequest& request, const policy::LoadTimes& loads) {
  const auto holders = holders_.find(request.model);
  if (holders == holders_.end()) {
    return policy::DecidePlacement(request, views_, loads);
  }
  // Most requests find a replica with a free slot, or a model at its replica
  // limit. Then only the model's own replicas matter, and the rest of the fleet
  // is not scanned.
  std::vector<policy::EndpointView> own;
  for (const core::EndpointId& id : holders->second) {
    own.push_back(WithoutTiers(views_[*endpoints_.at(id).index]));
  }
  const bool at_limit = static_cast<int>(own.size()) >= request.max_replicas;
  policy::PlacementDecision decision =
      policy::DecidePlacement(request, own, loads);
  const bool none_usable =
      decision.action == policy::PlacementAction::kRefuse &&
      decision.refusal == core::ErrorCode::kNoEndpoint;
  if (decision.action == policy::PlacementAction::kRun) return decision;
  if (at_limit && !none_usable) return decision;
  // In a burst behind busy replicas below the limit, the answer whether one
  // more replica is worth loading does not change with each request, and
  // finding it out costs a scan of the whole fleet.
  const core::SteadyTime now = clock_.Now();
  const bool waits = decision.action == policy::PlacementAction::kWait;
  if (waits && now < next_scan_[request.model]) return decision;
  decision = policy::DecidePlacement(request, views_, loads);
  if (decision.action == policy::PlacementAction::kWait) {
    next_scan_[request.model] = now + kScanPause;
  }
  return decision;
}

std::optional<core::EndpointId> FleetView::PickPlain(
    const core::ServiceId& service, const core::ZoneId& zone,
    const std::set<core::EndpointId>& avoid) const {
  const std::lock_guard lock(mutex_);
  const auto kind = plain_endpoints_.find(service.value());
  if (kind == plain_endpoints_.end()) return std::nullopt;
  const Endpoint* best = nullptr;
  const auto rank = [&zone](const Endpoint& endpoint) {
    const bool away = endpoint.known.report.zone != zone.value();
    return std::pair(away, endpoint.plain_slots);
  };
  for (const core::EndpointId& id : kind->second) {
    const Endpoint& endpoint = endpoints_.at(id);
    if (endpoint.known.leaving || !endpoint.known.report.engine_up) continue;
    if (avoid.contains(id)) continue;
    if (best == nullptr || rank(endpoint) < rank(*best)) best = &endpoint;
  }
  if (best == nullptr) return std::nullopt;
  return best->known.id;
}

void FleetView::AddSlot(const Slot& slot) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(slot.endpoint);
  if (it == endpoints_.end()) return;
  if (slot.model.empty()) {
    ++it->second.plain_slots;
    return;
  }
  Overlay& overlay = it->second.overlay[slot.model];
  ++overlay.slots;
  if (slot.alone) ++it->second.suspects;
  if (slot.prefix_hash != 0) {
    overlay.prefixes.push_back(slot.prefix_hash);
    if (overlay.prefixes.size() > kMaxPrefixes) overlay.prefixes.pop_front();
  }
  policy::ReplicaView* replica = FindReplica(it->second, slot.model);
  if (replica == nullptr) return;
  replica->running = overlay.slots + overlay.placed_elsewhere;
  replica->idle = policy::Millis(0);
  replica->prefixes = {overlay.prefixes.begin(), overlay.prefixes.end()};
}

void FleetView::RemoveSlot(const Slot& slot) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(slot.endpoint);
  if (it == endpoints_.end()) return;
  if (slot.model.empty()) {
    it->second.plain_slots = std::max(0, it->second.plain_slots - 1);
    return;
  }
  if (slot.alone) RemoveSuspect(it->second);
  const auto found = it->second.overlay.find(slot.model);
  if (found == it->second.overlay.end()) return;
  Overlay& overlay = found->second;
  overlay.slots = std::max(0, overlay.slots - 1);
  policy::ReplicaView* replica = FindReplica(it->second, slot.model);
  if (replica != nullptr) {
    replica->running = overlay.slots + overlay.placed_elsewhere;
  }
}

void FleetView::RemoveSuspect(Endpoint& endpoint) {
  // The endpoint may have been removed and added again since it was counted.
  endpoint.suspects = std::max(0, endpoint.suspects - 1);
}

void FleetView::Reserve(const core::EndpointId& id) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it != endpoints_.end()) ++it->second.suspects;
}

void FleetView::EndReserve(const core::EndpointId& id) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it != endpoints_.end()) RemoveSuspect(it->second);
}

void FleetView::BeginLoad(const LoadOrder& order) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(order.endpoint);
  if (it == endpoints_.end()) return;
  Overlay& overlay = it->second.overlay[order.model];
  ++overlay.loads;
  overlay.load_bytes = order.bytes;
  overlay.loading_since = clock_.Now();
  overlay.load_expected = order.expected;
  for (const core::ModelId& model : order.evict) {
    it->second.overlay[model].evicted = true;
  }
  RefreshReplicas(it->second);
}

void FleetView::EndLoad(const LoadOrder& order, bool ready) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(order.endpoint);
  if (it == endpoints_.end()) return;
  Overlay& overlay = it->second.overlay[order.model];
  overlay.loads = std::max(0, overlay.loads - 1);
  overlay.ready = ready;
  if (ready && !order.adapter.empty()) {
    overlay.new_adapters.insert(order.adapter);
  }
  if (!ready) {
    for (const core::ModelId& model : order.evict) {
      it->second.overlay[model].evicted = false;
    }
  }
  RefreshReplicas(it->second);
}

std::optional<std::string> FleetView::AddressOf(
    const core::EndpointId& id) const {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || !it->second.known.connected) {
    return std::nullopt;
  }
  return it->second.known.address;
}

policy::Tier FleetView::TierOf(const core::EndpointId& id,
                               const core::ModelId& model) const {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || !it->second.index) {
    return policy::Tier::kRemote;
  }
  return policy::TierAt(views_[*it->second.index], model);
}

std::size_t FleetView::ReplicasAt(const core::EndpointId& id) const {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || !it->second.index) return 1;
  const std::size_t held = views_[*it->second.index].replicas.size();
  return std::max<std::size_t>(held, 1);
}

bool FleetView::HasReplica(const core::EndpointId& id,
                           const core::ModelId& model) const {
  const std::lock_guard lock(mutex_);
  const auto it = holders_.find(model);
  return it != holders_.end() && it->second.contains(id);
}

bool FleetView::HasAdapter(const core::EndpointId& id,
                           const core::ModelId& model,
                           const core::AdapterId& adapter) {
  if (adapter.empty()) return true;
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return false;
  const policy::ReplicaView* replica = FindReplica(it->second, model);
  return replica != nullptr && replica->adapters.contains(adapter);
}

}  // namespace sapphire::entry
