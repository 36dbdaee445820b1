/** @file config_store_base.h Saves and confirms configuration plans. */
#ifndef SAPPHIRE_ENTRY_CONFIG_STORE_BASE_H_
#define SAPPHIRE_ENTRY_CONFIG_STORE_BASE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "contract/part_cache_base.h"
#include "contract/plan_type.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/config_fetch_func.h"
#include "entry/plan_record_func.h"
#include "external/key_value_base.h"

namespace sapphire::entry {

struct ConfigStoreOptions {
  /** How long a confirmation retries to determine its outcome. */
  std::chrono::milliseconds confirm_timeout{5000};
  std::chrono::milliseconds retry_pause{100};
  /** A plan that is not confirmed within this time expires. */
  std::chrono::milliseconds plan_time_to_live{std::chrono::hours(24)};
};

/** A plan read back, with its intent. */
struct SavedPlan {
  contract::Plan plan;
  contract::Intent wanted;
  /** True if the plan's base is no longer in force, so that it can't be
   * confirmed any more. */
  bool stale = false;
  /** The version it was confirmed as; 0 if not known to be confirmed. */
  std::int64_t confirmed_version = 0;
};

/**
 * Saves plans and puts them in force by one compare-and-swap of `config/head`
 * against the plan's base version. Of two plans on the same base exactly one is
 * confirmed.
 */
class ConfigStore {
 public:
  /** @pre All references outlive the store. */
  ConfigStore(ConfigStoreOptions options, external::KeyValueStore& store,
              contract::ConfigHolder& holder, contract::PartCache& parts,
              const core::Clock& clock, const core::Logger& log);

  /**
   * Computes the changes from the newest configuration to `wanted` and saves
   * the plan. Nothing comes into force.
   * @throws core::Error kBadIntent, kIntentOverLimit, or an error of the
   * service.
   */
  core::Task<contract::Plan> SavePlan(
      contract::Intent wanted, std::vector<contract::ObservedReplica> observed);

  /**
   * @return The plan with its current effects.
   * @throws core::Error kUnknownPlan, or an error of the service.
   */
  core::Task<SavedPlan> ReadPlan(
      core::PlanId id, std::vector<contract::ObservedReplica> observed);

  /**
   * Puts a plan in force, in this entry immediately. Confirming it again
   * returns the same version and changes nothing.
   * @return The plan's version.
   * @throws core::Error kUnknownPlan; kPlanConflict: another plan was confirmed
   *   first and this one certainly never comes into force;
   *   kPlatformUnavailable: nothing was changed; kPlatformUnknownOutcome:
   *   confirm it again to learn the outcome.
   */
  core::Task<std::int64_t> Confirm(core::PlanId id);

 private:
  core::Task<> AdoptNewest();
  core::Task<> SaveRecord(PlanRecord record, contract::EncodedConfig encoded);
  core::Task<PlanRecord> ReadRecord(core::PlanId id);
  core::Task<StoredHead> ReadHeadAtLeast(std::int64_t version);
  core::Task<std::int64_t> PutInForce(PlanRecord record, StoredHead before);
  core::Task<contract::EncodedConfig> ReadParts(PlanRecord record,
                                                std::int64_t version);
  core::Task<std::vector<external::KvEntry>> ReadReplaced(
      contract::ConfigHead before, std::vector<std::string> kept_hashes);
  core::Task<> PutParts(contract::ConfigHead before,
                        contract::EncodedConfig encoded);
  core::Task<> PutPart(contract::Part part);
  core::Task<std::int64_t> SwapHead(StoredHead before,
                                    contract::ConfigHead next);
  core::Task<> CleanUpAfterConfirm(PlanRecord record,
                                   std::vector<external::KvEntry> replaced);

  const ConfigStoreOptions options_;
  external::KeyValueStore& store_;
  contract::ConfigHolder& holder_;
  contract::PartCache& parts_;
  const core::Clock& clock_;
  const core::Logger& log_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CONFIG_STORE_BASE_H_
