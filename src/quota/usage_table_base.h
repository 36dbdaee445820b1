/** @file usage_table_base.h What entries have granted of each quota lately. */
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
 * Use of quotas over one window, by the entry that granted it: exactly what
 * this entry granted, in steps what others told of. One thread.
 */
class UsageTable {
 public:
  /**
   * @param self This entry, as others are told.
   * @pre `clock` outlives the table.
   */
  UsageTable(std::string self, milliseconds window, const core::Clock& clock);

  void NoteGranted(const QuotaId& id, double units);
  void NoteGivenBack(const QuotaId& id, double units);

  /** Takes what another entry knows; of two words of one entry the later. */
  void Learn(const QuotaId& id, const std::vector<gen::QuotaUsage>& usages);

  /** @return Units granted within the window, by all. */
  [[nodiscard]] double Sum(const QuotaId& id);

  /** @return Units that this entry granted within the window. */
  [[nodiscard]] double OwnSum(const QuotaId& id);

  /** @return Until the sum is below `units`, if nothing is granted. */
  [[nodiscard]] milliseconds TimeUntilBelow(const QuotaId& id, double units);

  /** @return What is known, of all that have granted within the window. */
  [[nodiscard]] std::vector<gen::QuotaUsage> Tell(const QuotaId& id);

  /** @return What this entry itself has granted; nothing if that is none. */
  [[nodiscard]] std::vector<gen::QuotaUsage> TellOwn(const QuotaId& id);

  /** Drops what is older than the window. */
  void Forget();

 private:
  struct Usage {
    /** Of the word that it is from; a later one has a higher number. */
    std::int64_t number = 0;
    UsageWindow window;
  };
  using ByEntry = std::map<std::string, Usage>;

  gen::QuotaUsage TellOne(const std::string& entry, const Usage& usage) const;
  [[nodiscard]] milliseconds Step() const;

  const std::string self_;
  const milliseconds window_;
  const core::Clock& clock_;
  std::map<QuotaId, ByEntry> quotas_;
  /** Counts changes of what this entry granted, of all quotas. */
  std::int64_t number_ = 0;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_USAGE_TABLE_BASE_H_
