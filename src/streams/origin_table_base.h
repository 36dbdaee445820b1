/** @file origin_table_base.h Stores the origins of recent streams. */
#ifndef SAPPHIRE_STREAMS_ORIGIN_TABLE_BASE_H_
#define SAPPHIRE_STREAMS_ORIGIN_TABLE_BASE_H_

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

#include "core/clock_base.h"
#include "streams/stream_type.h"

namespace sapphire::streams {

/** The origins of recent streams, bounded in number and age. Not thread-safe.
 */
class OriginTable {
 public:
  /** An entry of a fleet that begins 50 streams a second at each entry keeps
   * 12,000: its own, and three times as many for its peers. */
  static constexpr std::size_t kMaxOrigins = 20'000;
  /** Callers and peers choose the names in an origin. */
  static constexpr std::size_t kMaxNameBytes = 256;

  /** @pre `clock` outlives the table. */
  explicit OriginTable(const core::Clock& clock) : clock_(clock) {}

  /** Adds the origin, or replaces an older one of the same stream. One with a
   * longer name than kMaxNameBytes is not kept. */
  void Put(StreamOrigin origin);

  /** @return The origin, unless it is older than `max_age`. */
  [[nodiscard]] std::optional<StreamOrigin> Find(const core::RequestId& attempt,
                                                 milliseconds max_age) const;

  /** Removes origins that are older than `max_age`. */
  void Expire(milliseconds max_age);

  /** @return All origins, in the order in which they were put. */
  [[nodiscard]] const std::list<StreamOrigin>& origins() const {
    return origins_;
  }

 private:
  const core::Clock& clock_;
  std::list<StreamOrigin> origins_;
  std::unordered_map<core::RequestId, std::list<StreamOrigin>::iterator>
      by_attempt_;
};

}  // namespace sapphire::streams

#endif  // SAPPHIRE_STREAMS_ORIGIN_TABLE_BASE_H_
