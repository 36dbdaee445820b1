/** @file engine_registry.cc Which engines there are, by their own entries. */
#include <set>
#include <utility>

#include "fleet/engine_registry_base.h"

namespace sapphire::fleet {

using core::LogCategory;
using core::LogLevel;

EngineRegistry::EngineRegistry(RegistryOptions options,
                               const core::Clock& clock,
                               const core::Logger& log)
    : options_(options), clock_(clock), log_(log) {}

void EngineRegistry::NoteReplaced(const InstanceId& instance) {
  replaced_.insert(instance);
  Drop(instance, "replaced");
}

void EngineRegistry::Put(EngineEntry entry) {
  if (replaced_.contains(entry.instance)) return;
  ++generation_;
  missing_.erase(entry.instance);
  const auto it = engines_.find(entry.instance);
  const bool known = it != engines_.end();
  if (!known || it->second.draining != entry.draining) {
    log_.Event(LogLevel::kInfo, LogCategory::kReplica,
               entry.draining ? "engine_draining" : "engine_known",
               {{"instance", entry.instance},
                {"service", entry.service},
                {"address", entry.address},
                {"engine_zone", entry.zone}});
  }
  engines_.insert_or_assign(entry.instance, std::move(entry));
}

void EngineRegistry::Remove(const InstanceId& instance, bool after_outage) {
  if (after_outage && engines_.contains(instance)) {
    missing_.try_emplace(instance, clock_.Now() + options_.return_grace);
    return;
  }
  Drop(instance, "entry_removed");
}

void EngineRegistry::Replace(std::vector<EngineEntry> entries,
                             bool after_outage) {
  std::set<InstanceId> listed;
  for (EngineEntry& entry : entries) {
    listed.insert(entry.instance);
    Put(std::move(entry));
  }
  std::vector<InstanceId> absent;
  for (const auto& [instance, entry] : engines_) {
    if (!listed.contains(instance)) absent.push_back(instance);
  }
  const core::SteadyTime gone_at = clock_.Now() + options_.return_grace;
  for (const InstanceId& instance : absent) {
    if (after_outage) {
      missing_.try_emplace(instance, gone_at);
    } else {
      Drop(instance, "not_listed");
    }
  }
}

void EngineRegistry::Expire() {
  std::vector<InstanceId> gone;
  for (const auto& [instance, gone_at] : missing_) {
    if (clock_.Now() >= gone_at) gone.push_back(instance);
  }
  for (const InstanceId& instance : gone) Drop(instance, "not_back_in_time");
}

const EngineEntry* EngineRegistry::Find(const InstanceId& instance) const {
  const auto it = engines_.find(instance);
  return it == engines_.end() ? nullptr : &it->second;
}

void EngineRegistry::Drop(const InstanceId& instance, std::string_view reason) {
  missing_.erase(instance);
  if (engines_.erase(instance) == 0) return;
  ++generation_;
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_gone",
             {{"instance", instance}, {"reason", reason}});
}

}  // namespace sapphire::fleet
