/** @file kv_stand_in_base.h Stand-in of the platform's key-value service. */
#ifndef SAPPHIRE_STANDIN_KV_STAND_IN_BASE_H_
#define SAPPHIRE_STANDIN_KV_STAND_IN_BASE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/signal_base.h"
#include "standin/kv_store_base.h"
#include "standin/pacer_base.h"
#include "standin/stand_in_base.h"

namespace sapphire::standin {

struct KvOptions {
  /** How many past changes are kept for watches. */
  std::size_t history_limit = 1000;
  /** Calls beyond these rates are delayed; 0: no limit. */
  double reads_per_second = 0;
  double writes_per_second = 0;
};

/** Counts calls per second of the wall clock. */
struct RateMeter {
  std::int64_t second = 0;
  std::int64_t calls_in_second = 0;
  std::int64_t peak = 0;
};

/**
 * Simulates the key-value service. Faults: `lose_answers` (this many writes
 * take effect, but aren't answered), `late_writes` (this many writes aren't
 * answered and take effect `late_writes_ms` later, if their expected revision
 * is still current), `write_prefix` (limits these two to swaps and deletes of
 * keys with this prefix), `lapse_leases` (ends all leases), `watch_gap` (this
 * many watches report a gap), `show_old_key` (reads of this key return the
 * value before the newest).
 */
class KvStandIn final : public StandIn {
 public:
  KvStandIn(StandInContext context, KvOptions options);

 protected:
  core::Task<> Serve(const http::Request& request,
                     http::ResponseWriter& writer) override;
  [[nodiscard]] std::string RecordJson() const override;
  void OnFaultsSet() override;

 private:
  core::Task<> ServeRead(const http::Request& request,
                         http::ResponseWriter& writer);
  core::Task<> ServeWrite(const http::Request& request,
                          http::ResponseWriter& writer);
  core::Task<> ServeWatch(const http::Request& request,
                          http::ResponseWriter& writer);
  core::Task<> ApplyLate(http::Request request);
  std::string Apply(const http::Request& request);
  void CountCall(const std::string& path, bool is_write);
  void ReplaceWithPrevious(std::optional<external::KvEntry>& entry,
                           const std::string& key);
  std::chrono::milliseconds TimeUntilWake(core::SteadyTime deadline) const;

  Pacer read_pacer_;
  Pacer write_pacer_;
  mutable std::mutex mutex_;
  KvStore store_;
  std::map<std::string, std::int64_t> calls_;
  RateMeter reads_;
  RateMeter writes_;
  core::Signal changed_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_KV_STAND_IN_BASE_H_
