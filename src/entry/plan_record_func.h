/** @file plan_record_func.h Plans as they are kept in the platform. */
#ifndef SAPPHIRE_ENTRY_PLAN_RECORD_FUNC_H_
#define SAPPHIRE_ENTRY_PLAN_RECORD_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/id_type.h"

namespace sapphire::entry {

/** The value of a key `plans/ID`. Parts that the base lacks are kept beside it,
 * as a whole intent may be over the size of one value. */
struct PlanRecord {
  core::PlanId id;
  std::int64_t base_version = 0;
  std::vector<std::string> part_hashes;
  /** Its end deletes the plan and its parts. */
  std::string lease_id;
  /** The version it became; 0: not confirmed, as far as is known here. */
  std::int64_t confirmed_version = 0;
};

std::string ToJson(const PlanRecord& record);

/** @throws core::Error kUnknownPlan if the text is no record. */
PlanRecord PlanRecordFromJson(std::string_view text);

std::string PlanKey(const core::PlanId& id);

/** @return The key of a part that the plan's base lacks. */
std::string PlanPartKey(const core::PlanId& id, std::string_view hash);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_PLAN_RECORD_FUNC_H_
