/** @file refusal_levels_func.h Passes what a server's limits have refused on as
 * levels of a metric. */
#ifndef SAPPHIRE_HTTP_REFUSAL_LEVELS_FUNC_H_
#define SAPPHIRE_HTTP_REFUSAL_LEVELS_FUNC_H_

#include <cstddef>
#include <string>

#include "http/server_base.h"

namespace sapphire::http {

/** Calls `set` with the name of a level and its value, for each reason. */
template <typename Set>
void SetRefusalLevels(const RefusalCounts& counts, const Set& set) {
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    const std::string name =
        "refused_" + std::string(NameOf(static_cast<RefusalReason>(i)));
    set(name.c_str(), counts.at(i));
  }
}

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_REFUSAL_LEVELS_FUNC_H_
