/** @file usage_table_base.h Recent use of each quota, by the entry
 * that granted it. */
#ifndef SAPPHIRE_QUOTA_USAGE_TABLE_BASE_H_
#define SAPPHIRE_QUOTA_USAGE_TABLE_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "gen/link_types.h"
#include "quota/quota_type.h"
#include "quota/usage_window_base.h"

namespace sapphire::quota {

/**
 * Use of quotas over one window, by the entry that granted it. This entry's own
 * grants are exact, those received from other entries are summed up in time
 * steps. Not thread-safe.
 */
class UsageTable {
 public:
  /**
   * @param self This entry's name in the use sent to others.
   * @pre `clock` outlives the table.
   */
  UsageTable(std::string self, milliseconds window, const core::Clock& clock);

  void RecordGrant(const QuotaId& id, double units);
  void RecordGiveBack(const QuotaId& id, double units);

  /** Adopts the use that another entry sent. Per granting entry, a higher
   * sequence number replaces a lower one; this entry's own use is ignored. */
  void Merge(const QuotaId& id, const std::vector<gen::QuotaUsage>& usages);

  /** @return Units granted within the window by all entries. */
  [[nodiscard]] double Sum(const QuotaId& id);

  /** @return Units that this entry granted within the window. */
  [[nodiscard]] double OwnSum(const QuotaId& id);

  /** @return Time until the sum is below `units`, if nothing more is granted.
   */
  [[nodiscard]] milliseconds TimeUntilBelow(const QuotaId& id, double units);

  /** @return The use to send to others, of each entry that has granted units
   * within the window. */
  [[nodiscard]] std::vector<gen::QuotaUsage> Export(const QuotaId& id);

  /** @return The use of this entry only; empty if it has granted nothing within
   * the window. */
  [[nodiscard]] std::vector<gen::QuotaUsage> ExportOwn(const QuotaId& id);

  /** Removes use that is older than the window. */
  void Forget();

 private:
  struct Usage {
    /** Sequence number of the update that this came with. */
    std::int64_t number = 0;
    UsageWindow window;
  };
  using ByEntry = std::map<std::string, Usage>;

  gen::QuotaUsage ExportEntry(const std::string& entry,
                              const Usage& usage) const;
  [[nodiscard]] milliseconds StepLength() const;

  const std::string self_;
  const milliseconds window_;
  const core::Clock& clock_;
  std::map<QuotaId, ByEntry> quotas_;
  /** Counts changes of this entry's own use, over all quotas. */
  std::int64_t number_ = 0;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_USAGE_TABLE_BASE_H_
