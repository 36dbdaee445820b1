/** @file engine_registry.cc Keeps the list of engines from their entries in
 * the store. */
#include <set>
#include <utility>

#include "fleet/engine_registry_base.h"
#include "fleet/instance_func.h"

namespace sapphire::fleet {

using core::LogCategory;
using core::LogLevel;

EngineRegistry::EngineRegistry(RegistryOptions options,
                               const core::Clock& clock,
                               const core::Logger& log)
    : options_(options), clock_(clock), log_(log) {}

void EngineRegistry::MarkReplaced(const InstanceId& instance) {
  replaced_.insert_or_assign(instance, clock_.Now());
  Drop(instance, "replaced");
  // An entry deferred because of the replaced instance is valid now.
  const auto deferred = deferred_.find(EngineOf(instance));
  if (deferred == deferred_.end()) return;
  EngineEntry entry = std::move(deferred->second.entry);
  Accept(std::move(entry));
}

bool EngineRegistry::IsReplaced(const InstanceId& instance) const {
  const auto it = replaced_.find(instance);
  return it != replaced_.end() &&
         clock_.Now() - it->second < options_.replaced_for;
}

InstanceId EngineRegistry::KnownInstance(const EngineId& engine) const {
  const auto it = known_instances_.find(engine);
  return it == known_instances_.end() ? InstanceId() : it->second;
}

void EngineRegistry::Put(EngineEntry entry) {
  if (IsReplaced(entry.instance)) return;
  const EngineId engine = EngineOf(entry.instance);
  const InstanceId known = KnownInstance(engine);
  const auto known_start_time = StartTimeOf(known);
  const auto start_time = StartTimeOf(entry.instance);
  // An engine that reports its start time always does, so this entry was
  // written by something else.
  if (known_start_time && !start_time) {
    MarkUnreadable(engine);
    return;
  }
  if (known_start_time && *start_time < *known_start_time) {
    Defer(std::move(entry), known);
    return;
  }
  Accept(std::move(entry));
}

void EngineRegistry::Defer(EngineEntry entry, const InstanceId& known) {
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_doubted",
             {{"instance", entry.instance},
              {"known", known},
              {"draining", entry.draining}});
  // A draining notice takes effect at once, whichever instance wrote it. If the
  // known instance is alive, its next entry reverts this.
  if (entry.draining) {
    engines_.at(known).draining = true;
    ++generation_;
  }
  const EngineId engine = EngineOf(entry.instance);
  const auto [it, first] =
      deferred_.try_emplace(engine, DeferredEntry{entry, clock_.Now()});
  if (first) return;
  // Another entry of the deferred instance doesn't restart the wait, as the
  // known instance is still silent.
  if (it->second.entry.instance != entry.instance) {
    it->second.since = clock_.Now();
  }
  it->second.entry = std::move(entry);
}

void EngineRegistry::Accept(EngineEntry entry) {
  const EngineId engine = EngineOf(entry.instance);
  deferred_.erase(engine);
  const InstanceId known = KnownInstance(engine);
  if (!known.empty() && known != entry.instance) Drop(known, "restarted");
  ++generation_;
  missing_.erase(entry.instance);
  known_instances_.insert_or_assign(engine, entry.instance);
  const auto it = engines_.find(entry.instance);
  const bool is_known = it != engines_.end();
  if (!is_known || it->second.draining != entry.draining) {
    log_.Event(LogLevel::kInfo, LogCategory::kReplica,
               entry.draining ? "engine_draining" : "engine_known",
               {{"instance", entry.instance},
                {"service", entry.service},
                {"software_version", entry.software_version},
                {"address", entry.address},
                {"engine_zone", entry.zone}});
  }
  engines_.insert_or_assign(entry.instance, std::move(entry));
}

void EngineRegistry::MarkUnreadable(const EngineId& engine) {
  deferred_.erase(engine);
  Drop(KnownInstance(engine), "entry_unreadable");
}

void EngineRegistry::Remove(const EngineId& engine,
                            std::optional<core::SteadyTime> lapse_end) {
  deferred_.erase(engine);
  const InstanceId instance = KnownInstance(engine);
  if (lapse_end && engines_.contains(instance)) {
    KeepUntil(instance, *lapse_end);
    return;
  }
  Drop(instance, "entry_removed");
}

void EngineRegistry::ReplaceAll(std::vector<EngineEntry> entries,
                                std::optional<core::SteadyTime> lapse_end) {
  std::set<EngineId> listed;
  for (EngineEntry& entry : entries) {
    listed.insert(EngineOf(entry.instance));
    Put(std::move(entry));
  }
  std::vector<InstanceId> absent;
  for (const auto& [instance, entry] : engines_) {
    if (!listed.contains(EngineOf(instance))) absent.push_back(instance);
  }
  for (const InstanceId& instance : absent) {
    if (lapse_end) {
      KeepUntil(instance, *lapse_end);
    } else {
      Drop(instance, "not_listed");
    }
  }
}

void EngineRegistry::UpdateModels(const InstanceId& instance,
                                  std::vector<LoadedModel> models,
                                  CachedCheckpoints copies) {
  const auto it = engines_.find(instance);
  if (it == engines_.end()) return;
  it->second.models = std::move(models);
  it->second.copies = std::move(copies);
  ++generation_;
}

void EngineRegistry::Expire() {
  const core::SteadyTime now = clock_.Now();
  std::vector<InstanceId> gone;
  for (const auto& [instance, gone_at] : missing_) {
    if (now >= gone_at) gone.push_back(instance);
  }
  for (const InstanceId& instance : gone) Drop(instance, "not_back_in_time");
  std::vector<EngineEntry> due;
  for (const auto& [engine, deferred] : deferred_) {
    if (now - deferred.since >= options_.defer_for) {
      due.push_back(deferred.entry);
    }
  }
  for (EngineEntry& entry : due) Accept(std::move(entry));
  std::erase_if(replaced_, [&](const auto& it) {
    return now - it.second >= options_.replaced_for;
  });
}

const EngineEntry* EngineRegistry::Find(const InstanceId& instance) const {
  const auto it = engines_.find(instance);
  return it == engines_.end() ? nullptr : &it->second;
}

void EngineRegistry::KeepUntil(const InstanceId& instance,
                               core::SteadyTime gone_at) {
  if (!missing_.try_emplace(instance, gone_at).second) return;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      gone_at - clock_.Now());
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_held",
             {{"instance", instance}, {"left_ms", left}});
}

void EngineRegistry::Drop(const InstanceId& instance, std::string_view reason) {
  missing_.erase(instance);
  if (engines_.erase(instance) == 0) return;
  known_instances_.erase(EngineOf(instance));
  ++generation_;
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_gone",
             {{"instance", instance}, {"reason", reason}});
}

}  // namespace sapphire::fleet
