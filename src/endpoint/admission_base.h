/** @file admission_base.h Interface for admitting requests at an endpoint. */
#ifndef SAPPHIRE_ENDPOINT_ADMISSION_BASE_H_
#define SAPPHIRE_ENDPOINT_ADMISSION_BASE_H_

#include <memory>

#include "core/clock_base.h"
#include "core/task_type.h"
#include "gen/link_types.h"

namespace sapphire::endpoint {

/** One request's slot at the engine; freed when the last copy is dropped. */
using RunSlot = std::shared_ptr<void>;

class Admission {
 public:
  virtual ~Admission() = default;

  /**
   * Gives the request a slot, or refuses it at once.
   * @throws core::Error if refused; the request did not run.
   */
  virtual core::Task<RunSlot> Admit(const gen::Run& run,
                                    core::SteadyTime deadline) = 0;

  /** Refuses all new work from now on. */
  virtual void Leave() = 0;

  /** Fills in replicas, memory and the number of running requests. */
  virtual void Describe(gen::EndpointReport& report) const = 0;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_ADMISSION_BASE_H_
