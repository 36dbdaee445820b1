/** @file plan_record_func.h Encodes plans for the key-value service. */
#ifndef SAPPHIRE_ENTRY_PLAN_RECORD_FUNC_H_
#define SAPPHIRE_ENTRY_PLAN_RECORD_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/id_type.h"

namespace sapphire::entry {

/** Value of a `plans/ID` key. Parts that the base lacks are stored under keys
 * of their own, as a whole intent may exceed the size limit of one value. */
struct PlanRecord {
  core::PlanId id;
  std::int64_t base_version = 0;
  std::vector<std::string> part_hashes;
  /** The plan and its parts are deleted when this lease ends. */
  std::string lease_id;
  /** The version it was confirmed as; 0 if not known to be confirmed. */
  std::int64_t confirmed_version = 0;
};

std::string ToJson(const PlanRecord& record);

/** @throws core::Error kUnknownPlan if the text is not a valid record. */
PlanRecord PlanRecordFromJson(std::string_view text);

std::string PlanKey(const core::PlanId& id);

/** @return The key of a part that the plan's base lacks. */
std::string PlanPartKey(const core::PlanId& id, std::string_view hash);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_PLAN_RECORD_FUNC_H_
