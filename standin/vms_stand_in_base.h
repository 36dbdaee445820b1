/** @file vms_stand_in_base.h Stand-in of the platform's lagging VM list. */
#ifndef SAPPHIRE_STANDIN_VMS_STAND_IN_BASE_H_
#define SAPPHIRE_STANDIN_VMS_STAND_IN_BASE_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "standin/stand_in_base.h"

namespace sapphire::standin {

/**
 * Simulates the VM list. `POST /vms` sets the whole list. Fault: `lag_ms`
 * (readers see the list as it was that long ago).
 */
class VmsStandIn final : public StandIn {
 public:
  explicit VmsStandIn(StandInContext context);

 protected:
  core::Task<> Serve(const http::Request& request,
                     http::ResponseWriter& writer) override;
  [[nodiscard]] std::string RecordJson() const override;

 private:
  struct Version {
    core::SteadyTime since;
    std::string list;
  };

  void Set(const std::string& list);
  std::string ListAsOf(core::SteadyTime time);

  mutable std::mutex mutex_;
  /** Oldest first; never empty. */
  std::deque<Version> versions_;
  std::int64_t reads_ = 0;
  std::int64_t changes_ = 0;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_VMS_STAND_IN_BASE_H_
