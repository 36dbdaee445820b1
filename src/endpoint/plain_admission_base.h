/** @file plain_admission_base.h Admits requests at a plain service. */
#ifndef SAPPHIRE_ENDPOINT_PLAIN_ADMISSION_BASE_H_
#define SAPPHIRE_ENDPOINT_PLAIN_ADMISSION_BASE_H_

#include <memory>
#include <mutex>

#include "contract/config_base.h"
#include "core/signal_base.h"
#include "endpoint/admission_base.h"

namespace sapphire::endpoint {

/** Admits requests up to the service's configured concurrency limit. */
class PlainAdmission final : public Admission {
 public:
  /** @pre `config` and `changed` outlive this. */
  PlainAdmission(core::ServiceId service, contract::ConfigHolder& config,
                 std::shared_ptr<core::Signal> changed);

  core::Task<RunSlot> Admit(const gen::Run& run,
                            core::SteadyTime deadline) override;
  void Leave() override;
  void Describe(gen::EndpointReport& report) const override;

 private:
  struct State {
    std::mutex mutex;
    int running = 0;
    bool leaving = false;
  };

  int MaxConcurrent() const;

  const core::ServiceId service_;
  contract::ConfigHolder& config_;
  const std::shared_ptr<core::Signal> changed_;
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_PLAIN_ADMISSION_BASE_H_
