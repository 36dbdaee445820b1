/** @file plan.cc Computes what confirming an intent would change. */
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "contract/byte_size_func.h"
#include "contract/plan_func.h"

namespace sapphire::contract {

namespace {

/** Field name to value as text. */
using Fields = std::map<std::string, std::string, std::less<>>;

/** Every declared object by kind and name. */
using Objects = std::map<std::pair<Subject, std::string>, Fields>;

std::string Text(bool flag) { return flag ? "true" : "false"; }

Fields FieldsOf(const Service& service) {
  if (service.kind == ServiceKind::kModel) {
    return {{"kind", "model"},
            {"max_replicas", fmt::to_string(service.max_replicas)}};
  }
  return {{"kind", "plain"},
          {"max_concurrent", fmt::to_string(service.max_concurrent)},
          {"non_idempotent",
           fmt::format("[{}]", fmt::join(service.non_idempotent, ", "))}};
}

Fields FieldsOf(const Model& model) {
  return {{"service", model.service.value()},
          {"version", model.version},
          {"weight_bytes", FormatByteSize(model.weight_bytes)},
          {"kv_budget_bytes", FormatByteSize(model.kv_budget_bytes)},
          {"max_replicas", fmt::to_string(model.max_replicas)},
          {"max_concurrent", fmt::to_string(model.max_concurrent)},
          {"non_idempotent", Text(model.non_idempotent)}};
}

Fields FieldsOf(const Adapter& adapter) {
  return {{"version", adapter.version},
          {"bytes", FormatByteSize(adapter.bytes)}};
}

Objects ObjectsOf(const Intent& intent) {
  Objects things;
  things[{Subject::kDeployment, ""}] = {{"name", intent.deployment}};
  things[{Subject::kWeights, ""}] = {
      {"cold_start", fmt::to_string(intent.weights.cold_start)},
      {"idle", fmt::to_string(intent.weights.idle)}};
  things[{Subject::kWeightStore, ""}] = {
      {"loads_per_second", fmt::to_string(intent.loads_per_second)},
      {"at_once", fmt::to_string(intent.loads_at_once)}};
  for (const auto& [name, service] : intent.services) {
    things[{Subject::kService, name.value()}] = FieldsOf(service);
  }
  for (const auto& [name, model] : intent.models) {
    things[{Subject::kModel, name.value()}] = FieldsOf(model);
    for (const Adapter& adapter : model.adapters) {
      things[{Subject::kAdapter, name.value() + ":" + adapter.name.value()}] =
          FieldsOf(adapter);
    }
  }
  for (const auto& [name, owner] : intent.owners) {
    things[{Subject::kOwner, name.value()}] = {
        {"share", fmt::to_string(owner.share)}};
  }
  return things;
}

std::string Summary(const Fields& fields) {
  std::string text;
  for (const auto& [field, value] : fields) {
    if (!text.empty()) text += ", ";
    text += fmt::format("{} {}", field, value);
  }
  return text;
}

void DiffFields(Subject subject, const std::string& name, const Fields& before,
                const Fields& after, std::vector<Change>& changes) {
  std::set<std::string> keys;
  for (const auto& [key, value] : before) keys.insert(key);
  for (const auto& [key, value] : after) keys.insert(key);
  const auto value_in = [](const Fields& fields, const std::string& key) {
    const auto it = fields.find(key);
    return it == fields.end() ? std::string("none") : it->second;
  };
  for (const std::string& key : keys) {
    const std::string old_value = value_in(before, key);
    const std::string new_value = value_in(after, key);
    if (old_value == new_value) continue;
    changes.push_back(
        {ChangeKind::kChanged, subject, name, key, old_value, new_value});
  }
}

const Model* FindModel(const Intent& intent, const core::ModelId& name) {
  const auto it = intent.models.find(name);
  return it == intent.models.end() ? nullptr : &it->second;
}

const Adapter* FindAdapter(const Model& model, const core::AdapterId& name) {
  const auto it =
      std::ranges::lower_bound(model.adapters, name, {}, &Adapter::name);
  return it == model.adapters.end() || it->name != name ? nullptr : &*it;
}

/** @return True if the limits allow at least one replica of the model. */
bool IsOffered(const Intent& intent, const core::ModelId& name) {
  const Model* model = FindModel(intent, name);
  if (model == nullptr || model->max_replicas == 0) return false;
  const auto it = intent.services.find(model->service);
  return it != intent.services.end() && it->second.max_replicas > 0;
}

/** Counts replicas against the limits of one intent. */
class LimitCounter {
 public:
  explicit LimitCounter(const Intent& intent) : intent_(intent) {}

  /** Counts a replica. @return Why it is over a limit; empty if it is not. */
  std::string Admit(const core::ModelId& name) {
    const Model* model = FindModel(intent_, name);
    if (model == nullptr) return "the model is no longer offered";
    if (by_model_[name] >= model->max_replicas) {
      return fmt::format("over model.{}.max_replicas of {}", name.value(),
                         model->max_replicas);
    }
    const int limit = intent_.services.at(model->service).max_replicas;
    if (by_service_[model->service] >= limit) {
      return fmt::format("over service.{}.max_replicas of {}",
                         model->service.value(), limit);
    }
    ++by_model_[name];
    ++by_service_[model->service];
    return {};
  }

 private:
  const Intent& intent_;
  std::map<core::ModelId, int> by_model_;
  std::map<core::ServiceId, int> by_service_;
};

/** @return Why a replica of `before` must be reloaded; empty if it need not. */
std::string ReloadReason(const Model& before, const Model& after) {
  if (before.version != after.version) return "the model's version changes";
  if (before.service != after.service) return "the model's service changes";
  if (before.weight_bytes != after.weight_bytes ||
      before.kv_budget_bytes != after.kv_budget_bytes) {
    return "the model's memory changes";
  }
  return {};
}

/** Computes the effects of one plan. */
class EffectWriter {
 public:
  EffectWriter(const Intent& before, const Intent& after)
      : before_(before), after_(after) {}

  void AddServices() {
    for (const auto& [name, service] : before_.services) {
      if (service.kind == ServiceKind::kPlain && !IsPlain(after_, name)) {
        Add(EffectKind::kRefuse, name, "the service is no longer offered");
      }
    }
    for (const auto& [name, service] : after_.services) {
      if (service.kind == ServiceKind::kPlain && !IsPlain(before_, name)) {
        Add(EffectKind::kAccept, name, "the service is new");
      }
    }
  }

  void AddModels() {
    for (const auto& [name, model] : before_.models) {
      if (IsOffered(before_, name) && !IsOffered(after_, name)) {
        Add(EffectKind::kRefuse, model.service, name,
            FindModel(after_, name) == nullptr
                ? "the model is no longer offered"
                : "its limit on replicas is 0");
      }
    }
    for (const auto& [name, model] : after_.models) {
      if (!IsOffered(before_, name) && IsOffered(after_, name)) {
        Add(EffectKind::kAccept, model.service, name, "the model is offered");
      }
    }
  }

  /** Adds the removed adapters of models that are kept. */
  void AddAdapters() {
    for (const auto& [name, model] : before_.models) {
      const Model* wanted = FindModel(after_, name);
      if (wanted == nullptr) continue;
      for (const Adapter& adapter : model.adapters) {
        if (FindAdapter(*wanted, adapter.name) != nullptr) continue;
        Effect& effect = Add(EffectKind::kRefuse, model.service, name,
                             "the adapter is no longer offered");
        effect.adapter = adapter.name;
      }
    }
  }

  void AddReplica(const ObservedReplica& replica) {
    const Model* before = FindModel(before_, replica.model);
    const Model* after = FindModel(after_, replica.model);
    if (before == nullptr || after == nullptr) return;
    const std::string reason = ReloadReason(*before, *after);
    if (!reason.empty()) {
      AddAt(EffectKind::kReload, replica, reason);
      return;
    }
    for (const core::AdapterId& adapter : replica.adapters) {
      AddLoadedAdapter(replica, adapter, *before, *after);
    }
  }

  void AddExcess(const ExcessReplica& excess) {
    AddAt(EffectKind::kUnloadReplica, excess.replica, excess.reason);
  }

  std::vector<Effect> Take() { return std::move(effects_); }

 private:
  static bool IsPlain(const Intent& intent, const core::ServiceId& name) {
    const auto it = intent.services.find(name);
    return it != intent.services.end() &&
           it->second.kind == ServiceKind::kPlain;
  }

  void AddLoadedAdapter(const ObservedReplica& replica,
                        const core::AdapterId& name, const Model& before,
                        const Model& after) {
    const Adapter* old_one = FindAdapter(before, name);
    const Adapter* new_one = FindAdapter(after, name);
    if (new_one != nullptr && old_one != nullptr && *old_one == *new_one) {
      return;
    }
    Effect& effect =
        AddAt(EffectKind::kUnloadAdapter, replica,
              new_one == nullptr ? "the adapter is no longer offered"
                                 : "the adapter's version or size changes");
    effect.adapter = name;
  }

  void Add(EffectKind kind, const core::ServiceId& service,
           std::string reason) {
    Add(kind, service, core::ModelId(), std::move(reason));
  }

  Effect& Add(EffectKind kind, const core::ServiceId& service,
              const core::ModelId& model, std::string reason) {
    Effect effect;
    effect.kind = kind;
    effect.service = service;
    effect.model = model;
    effect.reason = std::move(reason);
    return effects_.emplace_back(std::move(effect));
  }

  Effect& AddAt(EffectKind kind, const ObservedReplica& replica,
                std::string reason) {
    const Model* model = FindModel(before_, replica.model);
    Effect& effect = Add(kind, model ? model->service : core::ServiceId(),
                         replica.model, std::move(reason));
    effect.endpoint = replica.endpoint;
    effect.running = replica.running;
    return effect;
  }

  const Intent& before_;
  const Intent& after_;
  std::vector<Effect> effects_;
};

}  // namespace

std::vector<Change> Diff(const Intent& before, const Intent& after) {
  const Objects old_things = ObjectsOf(before);
  const Objects new_things = ObjectsOf(after);
  std::vector<Change> changes;
  for (const auto& [key, fields] : old_things) {
    const auto it = new_things.find(key);
    if (it == new_things.end()) {
      changes.push_back({ChangeKind::kRemoved, key.first, key.second, "",
                         Summary(fields), ""});
    } else {
      DiffFields(key.first, key.second, fields, it->second, changes);
    }
  }
  for (const auto& [key, fields] : new_things) {
    if (old_things.contains(key)) continue;
    changes.push_back(
        {ChangeKind::kAdded, key.first, key.second, "", "", Summary(fields)});
  }
  std::ranges::stable_sort(changes, {}, [](const Change& change) {
    return std::tie(change.subject, change.name);
  });
  return changes;
}

std::vector<ExcessReplica> ExcessReplicas(
    const Intent& intent, std::span<const ObservedReplica> observed) {
  std::vector<const ObservedReplica*> order;
  for (const ObservedReplica& replica : observed) order.push_back(&replica);
  std::ranges::sort(order, {}, [](const ObservedReplica* replica) {
    return std::tuple(-replica->running, replica->endpoint, replica->model);
  });
  LimitCounter counter(intent);
  std::vector<ExcessReplica> excess;
  for (const ObservedReplica* replica : order) {
    std::string reason = counter.Admit(replica->model);
    if (!reason.empty()) excess.push_back({*replica, std::move(reason)});
  }
  return excess;
}

Plan MakePlan(core::PlanId id, const Config* base, const Intent& wanted,
              std::span<const ObservedReplica> observed) {
  static const Intent kNothing;
  const Intent& before = base == nullptr ? kNothing : base->intent;
  Plan plan{std::move(id),
            base == nullptr ? 0 : base->version,
            Diff(before, wanted),
            {}};
  const std::vector<ExcessReplica> excess = ExcessReplicas(wanted, observed);
  std::set<std::pair<core::EndpointId, core::ModelId>> unloaded;
  EffectWriter writer(before, wanted);
  writer.AddServices();
  writer.AddModels();
  writer.AddAdapters();
  for (const ExcessReplica& item : excess) {
    writer.AddExcess(item);
    unloaded.emplace(item.replica.endpoint, item.replica.model);
  }
  for (const ObservedReplica& replica : observed) {
    if (unloaded.contains({replica.endpoint, replica.model})) continue;
    writer.AddReplica(replica);
  }
  plan.effects = writer.Take();
  return plan;
}

}  // namespace sapphire::contract
