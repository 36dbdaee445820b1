/** @file refusal_recorder_base.h Counts and logs what a server's limits refuse.
 */
#ifndef SAPPHIRE_HTTP_REFUSAL_RECORDER_BASE_H_
#define SAPPHIRE_HTTP_REFUSAL_RECORDER_BASE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "http/server_base.h"

namespace sapphire::http {

/** One request or connection that a limit refused. */
struct Refusal {
  RefusalReason reason = RefusalReason::kHead;
  /** "ip:port" of the client. */
  std::string peer;
  /** Empty if it was not read. */
  std::string request_id;
  /** Bytes of the request that had been received. */
  std::size_t received = 0;
};

/** Logs at most one line a second for each reason. Thread-safe. */
class RefusalRecorder {
 public:
  /** @pre `log` outlives the recorder. */
  explicit RefusalRecorder(const core::Logger& log) : log_(log) {}

  void Record(const Refusal& refusal);
  [[nodiscard]] RefusalCounts counts() const;

 private:
  const core::Logger& log_;
  mutable std::mutex mutex_;
  RefusalCounts counts_{};
  std::array<core::SteadyTime, kRefusalReasons> logged_{};
};

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_REFUSAL_RECORDER_BASE_H_
