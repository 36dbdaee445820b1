/** @file config_fetch_func.h Reads the configuration from the key-value
 * service.
 */
#ifndef SAPPHIRE_ENTRY_CONFIG_FETCH_FUNC_H_
#define SAPPHIRE_ENTRY_CONFIG_FETCH_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "contract/config_func.h"
#include "contract/part_cache_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"

namespace sapphire::entry {

inline constexpr std::string_view kHeadKey = "config/head";
inline constexpr std::string_view kPartPrefix = "config/parts/";

/** The configuration head as stored in the service. */
struct StoredHead {
  /** Version 0 and no parts if the key is absent. */
  contract::ConfigHead head;
  /** Revision of the key; 0 if it is absent. */
  std::int64_t revision = 0;
};

/** @return The key of a configuration part. */
std::string PartKey(std::string_view hash);

/** @throws core::Error kBadIntent, or an error of the service. */
core::Task<StoredHead> ReadHead(external::KeyValueStore& store);

/**
 * Puts the configuration of `head` in force unless the one in force is as new.
 * Fetches only the parts that `parts` lacks.
 * @return True if it came into force.
 * @throws core::Error kPlatformUnavailable if a part is missing because a newer
 *   head has replaced it; other errors of the service.
 */
core::Task<bool> AdoptHead(external::KeyValueStore& store,
                           contract::PartCache& parts,
                           contract::ConfigHead head);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CONFIG_FETCH_FUNC_H_
