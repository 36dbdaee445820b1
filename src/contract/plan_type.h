/** @file plan_type.h What confirming an intent would change. */
#ifndef SAPPHIRE_CONTRACT_PLAN_TYPE_H_
#define SAPPHIRE_CONTRACT_PLAN_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "contract/intent_type.h"

namespace sapphire::contract {

enum class ChangeKind { kAdded, kRemoved, kChanged };

/** The kind of object that a change applies to. */
enum class Subject {
  kDeployment,
  kWeights,
  kWeightStore,
  kService,
  kModel,
  kAdapter,
  kOwner,
};

/** One difference between two intents. */
struct Change {
  ChangeKind kind = ChangeKind::kChanged;
  Subject subject = Subject::kDeployment;
  /** Name of the object; "model:adapter" for an adapter; may be empty. */
  std::string name;
  /** Set for kChanged only, with both values as text. */
  std::string field;
  std::string before;
  std::string after;

  friend bool operator==(const Change&, const Change&) = default;
};

enum class EffectKind {
  kUnloadReplica,  ///< A loaded replica is drained and unloaded.
  kUnloadAdapter,  ///< A loaded adapter is unloaded.
  kReload,         ///< As kUnloadReplica; the new version loads on demand.
  kRefuse,         ///< Requests for this are refused from then on.
  kAccept,         ///< Requests for this are accepted from then on.
};

/** One consequence of the changes for the running fleet. */
struct Effect {
  EffectKind kind = EffectKind::kUnloadReplica;
  core::ServiceId service;
  core::ModelId model;
  core::AdapterId adapter;
  /** The endpoint concerned; empty for all. */
  core::EndpointId endpoint;
  /** Requests in progress that are finished first. */
  int running = 0;
  std::string reason;

  friend bool operator==(const Effect&, const Effect&) = default;
};

/** A replica as its endpoint last reported it. */
struct ObservedReplica {
  core::EndpointId endpoint;
  core::ModelId model;
  int running = 0;
  std::vector<core::AdapterId> adapters;
};

/** A replica beyond the limits of an intent. */
struct ExcessReplica {
  ObservedReplica replica;
  std::string reason;
};

/** The changes that a confirmation would make, and their effects. */
struct Plan {
  core::PlanId id;
  /** The version in force when the plan was made; 0: none. */
  std::int64_t base_version = 0;
  std::vector<Change> changes;
  std::vector<Effect> effects;
};

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_PLAN_TYPE_H_
