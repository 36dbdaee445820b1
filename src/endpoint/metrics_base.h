/** @file metrics_base.h Metrics of an endpoint process. */
#ifndef SAPPHIRE_ENDPOINT_METRICS_BASE_H_
#define SAPPHIRE_ENDPOINT_METRICS_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/error_type.h"

namespace sapphire::endpoint {

/** Gauge values, read at each scrape. */
struct Levels {
  std::int64_t config_version = 0;
  std::int64_t memory_bytes = 0;
  std::int64_t reserved_bytes = 0;
  int running = 0;
  int replicas = 0;
  int grants_pending = 0;
  bool engine_up = false;
  bool leaving = false;
};

/** Counters, histograms and their text format. Thread-safe. */
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Records the time of a load, from its request until the replica is ready.
   * @param tier "memory", "disk" or "remote". */
  void RecordColdLoad(std::string_view tier, std::chrono::milliseconds took);
  void LoadFailed(core::ErrorCode code);
  void Unloaded();
  void RunEnded(std::string_view result);
  void Refused(core::ErrorCode code);
  /** Adds time that a loaded replica spent without a request. */
  void AddIdleTime(std::chrono::milliseconds time);
  void KeyValueCall(std::string_view kind, std::string_view outcome);

  /** @return All metrics in the Prometheus text format. */
  std::string Text(const Levels& levels);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_METRICS_BASE_H_
