/** @file model_usage_base.h Which models of one engine are in use. */
#ifndef SAPPHIRE_FLEET_MODEL_USAGE_BASE_H_
#define SAPPHIRE_FLEET_MODEL_USAGE_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "core/clock_base.h"
#include "core/id_type.h"
#include "gen/link_types.h"

namespace sapphire::fleet {

/** Use of a model or adapter, over all entries. */
struct Usage {
  /** Requests in progress. */
  int running = 0;
  /** Requests begun a second, over the last quarter of a minute or so. */
  double demand = 0;
  /** When the last request began; nothing if none is known. */
  std::optional<core::SteadyTime> last_begun;
};

/** A model, or an adapter of it. */
struct UsedPart {
  core::ModelId model;
  core::AdapterId adapter;

  friend bool operator<(const UsedPart& a, const UsedPart& b) {
    return std::tie(a.model, a.adapter) < std::tie(b.model, b.adapter);
  }
};

/** Adds up what the entries say they send to one engine. One thread. */
class ModelUsage {
 public:
  /** @pre `clock` outlives it. */
  explicit ModelUsage(const core::Clock& clock);

  /** @param entry Names the sender; its report replaces its last one. */
  void Note(std::int64_t entry, const gen::UsageReport& report);

  /** The entry is gone: what it had in progress has ended. */
  void Forget(std::int64_t entry);

  /** A model was loaded for somebody who will now use it. */
  void NoteWanted(const UsedPart& part);

  [[nodiscard]] Usage Of(const UsedPart& part) const;

 private:
  struct Counts {
    int running = 0;
    std::int64_t begun = 0;
  };
  struct Demand {
    double per_second = 0;
    core::SteadyTime at;
    core::SteadyTime last_begun;
  };

  void AddDemand(const UsedPart& part, std::int64_t requests);
  [[nodiscard]] double Decayed(const Demand& demand) const;

  const core::Clock& clock_;
  std::map<std::int64_t, std::map<UsedPart, Counts>> entries_;
  std::map<UsedPart, Demand> demand_;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_MODEL_USAGE_BASE_H_
