/** @file usage_type.h Use of what engines hold. */
#ifndef SAPPHIRE_FLEET_USAGE_TYPE_H_
#define SAPPHIRE_FLEET_USAGE_TYPE_H_

#include <map>
#include <optional>
#include <tuple>

#include "core/clock_base.h"
#include "core/id_type.h"

namespace sapphire::fleet {

/** A model, or an adapter of it; both empty for a plain service. */
struct UsedPart {
  core::ModelId model;
  core::AdapterId adapter;

  friend bool operator<(const UsedPart& a, const UsedPart& b) {
    return std::tie(a.model, a.adapter) < std::tie(b.model, b.adapter);
  }
};

/** Use of a model or adapter. */
struct Usage {
  /** Requests in progress. */
  int running = 0;
  /** Requests begun a second, over the last quarter of a minute or so. */
  double demand = 0;
  /** When the last request began; nothing if none is known. */
  std::optional<core::SteadyTime> last_begun;
};

/** Use of all that one engine holds; what is missing is not used. */
using UsageTable = std::map<UsedPart, Usage>;

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_USAGE_TYPE_H_
