/** @file placer_base.h Gets an endpoint for a request from its primary entry.
 */
#ifndef SAPPHIRE_ENTRY_PLACER_BASE_H_
#define SAPPHIRE_ENTRY_PLACER_BASE_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/directory_base.h"
#include "entry/scheduler_base.h"
#include "gen/link_types.h"
#include "link/link_base.h"

namespace sapphire::entry {

/**
 * Requests a slot from a model's primary entry. If that entry is unreachable,
 * the next one in the ranking takes over its models. Requesting twice is
 * harmless, as an unused slot is freed when its call ends.
 */
class Placer {
 public:
  using Abandoned = std::function<bool()>;

  /** @pre All references outlive the placer and its placements. */
  Placer(const core::Executor& executor, core::VmId self, Directory& directory,
         Scheduler& scheduler, link::LinkNode& links, const core::Clock& clock,
         const core::Logger& log);

  /** @return The live entries ranked for `key`, its primary entry first. */
  [[nodiscard]] std::vector<KnownEntry> RankedEntries(
      std::string_view key) const;

  /**
   * @param run The request; one for a plain service is placed by this entry.
   * @param avoid Endpoints to exclude.
   * @param abandoned Returns true once the caller has disconnected; any thread.
   * @throws core::Error a refusal: nothing ran.
   * @pre The coroutine runs on a strand.
   */
  core::Task<std::unique_ptr<Placement>> Place(gen::Run run,
                                               std::set<core::EndpointId> avoid,
                                               core::SteadyTime deadline,
                                               Abandoned abandoned);

 private:
  core::Task<std::unique_ptr<Placement>> PlaceAt(KnownEntry entry,
                                                 gen::Place request,
                                                 core::SteadyTime deadline,
                                                 Abandoned abandoned);
  core::Task<gen::Message> AwaitPlaced(std::shared_ptr<link::Call> call,
                                       core::SteadyTime deadline,
                                       Abandoned abandoned);

  const core::Executor executor_;
  const core::VmId self_;
  Directory& directory_;
  Scheduler& scheduler_;
  link::LinkNode& links_;
  const core::Clock& clock_;
  const core::Logger& log_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_PLACER_BASE_H_
