/** @file testing_intent.h Random intents, for tests only. */
#ifndef SAPPHIRE_CONTRACT_TESTING_INTENT_H_
#define SAPPHIRE_CONTRACT_TESTING_INTENT_H_

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string>

#include "contract/intent_type.h"

namespace sapphire::contract::testing {

using Random = std::mt19937;

inline int Pick(Random& random, int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random);
}

inline std::vector<Adapter> RandomAdapters(Random& random, int max) {
  std::vector<Adapter> adapters;
  const int n = Pick(random, 0, max);
  adapters.reserve(n);
  for (int i = 0; i < n; ++i) {
    adapters.push_back({core::AdapterId(fmt::format("adapter-{:03}", i)),
                        fmt::to_string(Pick(random, 1, 3)),
                        Pick(random, 1, 1'000'000)});
  }
  return adapters;
}

inline Model RandomModel(Random& random, const std::string& name,
                         const core::ServiceId& service) {
  Model model;
  model.name = core::ModelId(name);
  model.service = service;
  model.version = fmt::format("v{}", Pick(random, 1, 4));
  model.weight_bytes = 1LL + Pick(random, 0, 1'000'000) * 1024LL;
  model.kv_budget_bytes = Pick(random, 0, 1'000'000);
  model.max_replicas = Pick(random, 0, 3);
  model.max_concurrent = Pick(random, 1, 32);
  model.non_idempotent = Pick(random, 0, 3) == 0;
  model.adapters = RandomAdapters(random, 4);
  return model;
}

/** @return A valid intent of about `models` models. */
inline Intent RandomIntent(Random& random, int models) {
  Intent intent;
  intent.deployment = "random";
  intent.weights.cold_start = Pick(random, 0, 100) / 8.0;
  intent.loads_per_second = Pick(random, 1, 100) / 4.0;
  for (const char* name : {"drafts", "answers"}) {
    Service& service = intent.services[core::ServiceId(name)];
    service.name = core::ServiceId(name);
    service.max_replicas = Pick(random, 0, 10);
  }
  Service& plain = intent.services[core::ServiceId("booth")];
  plain.name = core::ServiceId("booth");
  plain.kind = ServiceKind::kPlain;
  plain.non_idempotent = {"POST /confirmations", "PUT /seats"};
  plain.max_concurrent = Pick(random, 1, 64);
  for (int i = 0; i < models; ++i) {
    if (Pick(random, 0, 4) == 0) continue;
    const std::string name = fmt::format("model-{}", i);
    const core::ServiceId service(Pick(random, 0, 1) == 0 ? "drafts"
                                                          : "answers");
    intent.models[core::ModelId(name)] = RandomModel(random, name, service);
  }
  for (int i = Pick(random, 0, 3); i > 0; --i) {
    const core::OwnerId owner(fmt::format("owner-{}", i));
    intent.owners[owner] = {owner, Pick(random, 0, 40) / 4.0};
  }
  return intent;
}

/** Makes one random change: to a model, a service limit or a weight. */
inline void Mutate(Random& random, Intent& intent) {
  const int choice = Pick(random, 0, 5);
  const std::string name = fmt::format("model-{}", Pick(random, 0, 30));
  const core::ModelId id(name);
  if (choice == 0) {
    intent.models.erase(id);
  } else if (choice <= 3) {
    intent.models[id] = RandomModel(random, name, core::ServiceId("drafts"));
  } else if (choice == 4) {
    intent.services.at(core::ServiceId("drafts")).max_replicas =
        Pick(random, 0, 10);
  } else {
    intent.weights.idle = Pick(random, 0, 100) / 8.0;
  }
}

}  // namespace sapphire::contract::testing

#endif  // SAPPHIRE_CONTRACT_TESTING_INTENT_H_
