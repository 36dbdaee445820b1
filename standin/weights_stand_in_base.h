/** @file weights_stand_in_base.h Stand-in of the rate-limited weight store. */
#ifndef SAPPHIRE_STANDIN_WEIGHTS_STAND_IN_BASE_H_
#define SAPPHIRE_STANDIN_WEIGHTS_STAND_IN_BASE_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "standin/pacer_base.h"
#include "standin/stand_in_base.h"

namespace sapphire::standin {

struct WeightsOptions {
  /** How many transfers may start per second. */
  double loads_per_second = 3;
  /** How many transfers run at full speed; more than that share it. */
  int at_once = 4;
  /** Full speed of one transfer. */
  double bytes_per_second = 1e9;
};

/** Simulates the weight store. Fault: `slow_factor` (multiplies the time of
 * transfers). */
class WeightsStandIn final : public StandIn {
 public:
  WeightsStandIn(StandInContext context, WeightsOptions options);

 protected:
  core::Task<> Serve(const http::Request& request,
                     http::ResponseWriter& writer) override;
  [[nodiscard]] std::string RecordJson() const override;

 private:
  struct Transfer {
    std::string name;
    std::int64_t bytes = 0;
    std::int64_t requested_ms = 0;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
  };

  core::Task<> SimulateTransfer(std::int64_t bytes);
  void BeginTransfer();
  void RecordTransfer(const Transfer& transfer);
  double CurrentSpeed() const;

  const WeightsOptions options_;
  Pacer start_pacer_;
  mutable std::mutex mutex_;
  int active_ = 0;
  int peak_active_ = 0;
  std::vector<Transfer> transfers_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_WEIGHTS_STAND_IN_BASE_H_
