/** @file endpoint_service_base.h Answers the entries' calls about one engine.
 */
#ifndef SAPPHIRE_ORDERS_ENDPOINT_SERVICE_BASE_H_
#define SAPPHIRE_ORDERS_ENDPOINT_SERVICE_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "link/link_base.h"
#include "orders/engine_desk_base.h"

namespace sapphire::orders {

struct EndpointServiceOptions {
  /** A change is told this long after it, with what else changes meanwhile. */
  std::chrono::milliseconds gather{100};
  /** Without a change the state is told again after this long. */
  std::chrono::milliseconds report_interval{500};
  /** How busy the engine is changes all the time: it is told this often, and
   * less often the more entries there are, so that what a process beside an
   * engine sends does not grow with them; entries go by reports of 1.5 s. */
  std::chrono::milliseconds load_gap{250};
  std::chrono::milliseconds load_gap_an_entry{10};
  std::chrono::milliseconds most_load_gap{1000};
};

/** One thread. */
class EndpointService {
 public:
  /** @pre All references outlive the service and its calls. */
  EndpointService(EndpointServiceOptions options, EngineDesk& desk,
                  const core::Executor& executor, const core::Clock& clock,
                  const core::Logger& log);

  /** The handler of a link: takes Subscribe and EnsureModel. */
  core::Task<> Answer(std::shared_ptr<link::Call> call, gen::Message first);

  /** @return Entries that follow the endpoint. */
  [[nodiscard]] int entries() const { return entries_; }

 private:
  core::Task<> Report(std::shared_ptr<link::Call> call);
  const gen::EndpointReport& Newest();
  [[nodiscard]] std::chrono::milliseconds LoadGap() const;
  core::Task<> TakeUsage(std::shared_ptr<link::Call> call, std::int64_t entry);
  core::Task<> Ensure(std::shared_ptr<link::Call> call, gen::EnsureModel wish);

  const EndpointServiceOptions options_;
  EngineDesk& desk_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::int64_t next_entry_ = 1;
  int entries_ = 0;
  /** One snapshot for all entries, until the desk has changed. */
  std::uint64_t newest_epoch_ = 0;
  std::optional<gen::EndpointReport> newest_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ENDPOINT_SERVICE_BASE_H_
