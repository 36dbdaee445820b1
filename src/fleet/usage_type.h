/** @file usage_type.h Use of the models and adapters that engines have
 * loaded. */
#ifndef SAPPHIRE_FLEET_USAGE_TYPE_H_
#define SAPPHIRE_FLEET_USAGE_TYPE_H_

#include <map>
#include <optional>
#include <tuple>

#include "core/clock_base.h"
#include "core/id_type.h"

namespace sapphire::fleet {

/** A model, or an adapter of it; both empty for a service without models. */
struct ModelOrAdapter {
  core::ModelId model;
  core::AdapterId adapter;

  friend bool operator<(const ModelOrAdapter& a, const ModelOrAdapter& b) {
    return std::tie(a.model, a.adapter) < std::tie(b.model, b.adapter);
  }
};

/** Use of a model or adapter. */
struct Usage {
  /** Requests in progress. */
  int running = 0;
  /** Requests begun per second, averaged over about the last 15 s. */
  double demand = 0;
  /** When the last request began; nothing if none is known. */
  std::optional<core::SteadyTime> last_begun;
};

/** Use of an engine's models and adapters; missing ones are not in use. */
using UsageByPart = std::map<ModelOrAdapter, Usage>;

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_USAGE_TYPE_H_
