/** @file intent_type.h The intent: what operators declare for a deployment. */
#ifndef SAPPHIRE_CONTRACT_INTENT_TYPE_H_
#define SAPPHIRE_CONTRACT_INTENT_TYPE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/id_type.h"

namespace sapphire::contract {

enum class ServiceKind { kModel, kPlain };

/** A service: a group of models with one ledger, or a plain service. */
struct Service {
  core::ServiceId name;
  ServiceKind kind = ServiceKind::kModel;
  /** Limit on loaded replicas of all the service's models together. */
  int max_replicas = 0;
  /** Plain services: "METHOD /path-prefix" of calls that run at most once. */
  std::vector<std::string> non_idempotent;
  /** Plain services: limit on requests in progress at one endpoint. */
  int max_concurrent = 16;

  friend bool operator==(const Service&, const Service&) = default;
};

struct Adapter {
  core::AdapterId name;
  std::string version = "1";
  std::int64_t bytes = 0;

  friend bool operator==(const Adapter&, const Adapter&) = default;
};

struct Model {
  core::ModelId name;
  core::ServiceId service;
  std::string version = "1";
  std::int64_t weight_bytes = 0;
  /** Memory for the KV cache and cached prefixes of one replica. */
  std::int64_t kv_budget_bytes = 0;
  int max_replicas = 1;
  /** Limit on requests in progress at one replica. */
  int max_concurrent = 8;
  /** True: every request for this model runs at most once. */
  bool non_idempotent = false;
  std::vector<Adapter> adapters;

  friend bool operator==(const Model&, const Model&) = default;
};

/** A caller organisation with a share of the capacity. */
struct Owner {
  core::OwnerId name;
  double share = 1.0;

  friend bool operator==(const Owner&, const Owner&) = default;
};

/** Weights of the two cost terms, cold starts and idle replicas. */
struct Weights {
  /** Cost of one second that a caller waits for a cold start. */
  double cold_start = 1.0;
  /** Cost of one second that an accelerator holds an idle model. */
  double idle = 1.0;

  friend bool operator==(const Weights&, const Weights&) = default;
};

/** Everything that operators configure for a deployment. */
struct Intent {
  std::string deployment;
  Weights weights;
  /** Fleet-wide limits on loads from the weight store. */
  double loads_per_second = 3.0;
  int loads_at_once = 4;
  std::map<core::ServiceId, Service> services;
  std::map<core::ModelId, Model> models;
  std::map<core::OwnerId, Owner> owners;

  friend bool operator==(const Intent&, const Intent&) = default;
};

/** A confirmed intent. Versions start at 1 and only increase. */
struct Config {
  std::int64_t version = 0;
  core::PlanId plan;
  Intent intent;
};

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_INTENT_TYPE_H_
