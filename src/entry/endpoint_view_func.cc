/** @file endpoint_view_func.cc Converts endpoint reports for the placement
 * policy. */
#include "entry/endpoint_view_func.h"

#include <string>
#include <vector>

namespace sapphire::entry {

namespace {

policy::ReplicaState StateOf(gen::ReplicaState::type state) {
  switch (state) {
    case gen::ReplicaState::LOADING:
      return policy::ReplicaState::kLoading;
    case gen::ReplicaState::READY:
      return policy::ReplicaState::kReady;
    case gen::ReplicaState::DRAINING:
      return policy::ReplicaState::kDraining;
    case gen::ReplicaState::UNLOADING:
      break;
  }
  return policy::ReplicaState::kUnloading;
}

std::set<core::ModelId> ToModels(const std::vector<std::string>& names) {
  std::set<core::ModelId> models;
  for (const std::string& name : names) models.emplace(name);
  return models;
}

policy::ReplicaView ViewOf(const gen::ReplicaReport& report) {
  policy::ReplicaView view;
  view.model = core::ModelId(report.model);
  view.state = StateOf(report.state);
  view.running = report.running;
  view.idle = policy::Millis(report.idle_ms);
  for (const std::string& name : report.adapters) view.adapters.emplace(name);
  view.bytes = report.bytes;
  return view;
}

}  // namespace

policy::EndpointView ViewOf(const gen::EndpointReport& report, bool leaving) {
  policy::EndpointView view;
  view.id = core::EndpointId(report.endpoint);
  view.zone = core::ZoneId(report.zone);
  view.memory_bytes = report.memory_bytes;
  view.reserved_bytes = report.reserved_bytes;
  view.leaving = leaving;
  view.engine_up = report.engine_up;
  view.max_running = report.max_running;
  view.replicas = ReplicasOf(report);
  view.memory_tier = ToModels(report.memory_tier);
  view.disk_tier = ToModels(report.disk_tier);
  return view;
}

std::vector<policy::ReplicaView> ReplicasOf(const gen::EndpointReport& report) {
  std::vector<policy::ReplicaView> replicas;
  replicas.reserve(report.replicas.size());
  for (const gen::ReplicaReport& replica : report.replicas) {
    replicas.push_back(ViewOf(replica));
  }
  return replicas;
}

std::set<core::ModelId> ModelsIn(const gen::EndpointReport& report) {
  std::set<core::ModelId> models;
  for (const gen::ReplicaReport& replica : report.replicas) {
    models.emplace(replica.model);
  }
  return models;
}

}  // namespace sapphire::entry
